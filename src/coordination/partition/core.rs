//! State that a partition's handles and its driver share under one lock.

use super::reader::turn_in;
use super::{CommitError, LogHealth, PartitionConfig, PartitionEvent};
use crate::coordination::commit::{Committed, GroupCommit, Ticket};
use crate::coordination::ownership::Claimant;
use crate::ids::{Epoch, Offset};
use crate::protocol::record::{Entry, Record};
use crate::state::history::BodyCache;
use crate::state::partition::{Applied, PartitionState};
use crate::state::snapshot::is_body_referenced;
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Channel that receives the result of a push.
type Waiter = Sender<Result<Offset, CommitError>>;

/// State behind the lock of `Shared`.
///
/// Invariant: every unresolved push of `group_commit` has exactly one waiter.
pub(super) struct Core {
    /// State folded from the stream.
    pub(super) state: PartitionState,
    /// Next offset to read.
    pub(super) next_offset: Offset,
    /// Whether the stream has been read to its end. It becomes `false` at a restart, and when a claim
    /// was appended but not applied at once.
    pub(super) caught_up: bool,
    /// Whether this node should own the partition.
    pub(super) should_own: bool,
    /// Commit queue of the epoch in which this node is the owner; `None` while it is not.
    pub(super) group_commit: Option<GroupCommit>,
    /// Whether the release of the partition is queued, so that new pushes are refused.
    pub(super) is_releasing: bool,
    /// Cache of turn bodies.
    pub(super) cache: BodyCache,
    /// Channels of the subscribers; a closed one is removed at the next event.
    pub(super) subscribers: Vec<Sender<PartitionEvent>>,
    /// Time of the first append failure since the last success.
    pub(super) append_failing_since: Option<Instant>,
    /// Time of the first read failure since the last success.
    pub(super) read_failing_since: Option<Instant>,
    /// Channels of the unresolved pushes.
    waiters: HashMap<Ticket, Waiter>,
}

impl Core {
    /// Creates the state before any record has been read.
    pub(super) fn new(config: &PartitionConfig) -> Self {
        Self {
            state: PartitionState::new(),
            next_offset: 0,
            caught_up: false,
            should_own: false,
            group_commit: None,
            is_releasing: false,
            cache: BodyCache::new(config.cache_bytes),
            subscribers: Vec::new(),
            append_failing_since: None,
            read_failing_since: None,
            waiters: HashMap::new(),
        }
    }

    /// Queues entries and returns the channel that receives their result.
    pub(super) fn push(
        &mut self,
        entries: Vec<Entry>,
    ) -> Result<Receiver<Result<Offset, CommitError>>, CommitError> {
        if self.is_releasing {
            return Err(CommitError::NotOwner);
        }
        let commit = self.group_commit.as_mut().ok_or(CommitError::NotOwner)?;
        let ticket = commit.push(entries)?;
        let (tx, rx) = async_channel::bounded(1);
        self.waiters.insert(ticket, tx);
        Ok(rx)
    }

    /// Returns the epoch in which pushes are accepted.
    pub(super) fn epoch(&self) -> Option<Epoch> {
        if self.is_releasing {
            return None;
        }
        self.group_commit.as_ref().map(GroupCommit::epoch)
    }

    /// Returns whether the log answers, judged by appends and reads.
    pub(super) fn log_health(&self) -> LogHealth {
        match self
            .append_failing_since
            .into_iter()
            .chain(self.read_failing_since)
            .min()
        {
            Some(since) => LogHealth::Down { since },
            None => LogHealth::Up,
        }
    }

    /// Returns the number and the estimated bytes of uncommitted entries.
    pub(super) fn backlog(&self) -> (usize, usize) {
        self.group_commit
            .as_ref()
            .map_or((0, 0), GroupCommit::backlog)
    }

    /// Restarts from another state, for example after records were trimmed.
    pub(super) fn restart(&mut self, state: PartitionState, from: Offset) {
        self.state = state;
        self.next_offset = from;
        self.caught_up = false;
        self.cache.clear();
    }

    /// Applies a record, resolves the pushes that it commits, and notifies the subscribers.
    pub(super) fn apply(&mut self, offset: Offset, record: Record) -> Applied {
        let applied = self.state.apply(offset, &record);
        self.next_offset = offset + 1;
        if let (Applied::Accepted(ignored), Record::Batch(batch)) = (&applied, &record) {
            self.cache_turns(offset, &batch.entries);
            let commit = self.group_commit.as_mut();
            let committed =
                commit.map(|c| c.on_batch_accepted(batch.epoch, batch.sequence, offset, ignored));
            if self.epoch() == Some(batch.epoch) {
                // The log has stored this node's append, even if its answer was lost.
                self.append_failing_since = None;
            }
            self.resolve_pushes(committed.unwrap_or_default());
        }
        self.notify_subscribers(PartitionEvent::Applied {
            offset,
            record: Arc::new(record),
            applied: Arc::new(applied.clone()),
        });
        applied
    }

    /// Starts an epoch of commits if this node has become the owner and has read the whole stream.
    pub(super) fn start_epoch_if_owner(
        &mut self,
        claimant: &Claimant,
        config: &PartitionConfig,
        now: Instant,
    ) {
        let ready = self.caught_up && !self.state.is_partial();
        if self.group_commit.is_some() || !ready || !claimant.owns(&self.state) {
            return;
        }
        let epoch = self.state.epoch();
        self.group_commit = Some(GroupCommit::new(epoch, config.commit, now));
        self.is_releasing = false;
        self.notify_subscribers(PartitionEvent::OwnershipGained(epoch));
    }

    /// Ends the epoch of commits if this node is no longer the owner. Returns the epoch that ended.
    ///
    /// `is_gapless` tells whether every record since the last commit has been applied. If not, the
    /// log may contain the uncommitted entries.
    pub(super) fn end_epoch_if_superseded(
        &mut self,
        claimant: &Claimant,
        is_gapless: bool,
    ) -> Option<Epoch> {
        let epoch = self.group_commit.as_ref()?.epoch();
        if self.state.epoch() == epoch && claimant.owns(&self.state) {
            return None;
        }
        self.is_releasing = false;
        for (ticket, entries) in self.group_commit.take()?.into_uncommitted() {
            let error = if is_gapless {
                CommitError::EpochEnded(entries)
            } else {
                CommitError::Uncertain(entries)
            };
            self.send_result(ticket, Err(error));
        }
        self.notify_subscribers(PartitionEvent::OwnershipLost(epoch));
        Some(epoch)
    }

    /// Resolves the outstanding batch after a restart from a snapshot has skipped over it.
    pub(super) fn resolve_skipped_batch(&mut self) {
        let (epoch, sequence) = (self.state.epoch(), self.state.sequence());
        let accepted = self.state.last_accepted_offset();
        let commit = self.group_commit.as_mut();
        let committed = commit.map(|c| c.on_batch_accepted(epoch, sequence, accepted, &[]));
        self.resolve_pushes(committed.unwrap_or_default());
    }

    /// Starts to release the partition: refuses new pushes and queues the release entry.
    pub(super) fn begin_release(&mut self) {
        if let Some(commit) = &mut self.group_commit
            && !self.is_releasing
        {
            self.is_releasing = true;
            commit.push_unbounded(vec![Entry::Released]);
        }
    }

    fn resolve_pushes(&mut self, committed: Vec<Committed>) {
        for push in committed {
            let result = match push.ignored {
                Some(reason) => Err(CommitError::Ignored(reason)),
                None => Ok(push.offset),
            };
            self.send_result(push.ticket, result);
        }
    }

    fn send_result(&mut self, ticket: Ticket, result: Result<Offset, CommitError>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The caller may have dropped its `Commit`.
            let _ = waiter.try_send(result);
        }
    }

    fn notify_subscribers(&mut self, event: PartitionEvent) {
        self.subscribers
            .retain(|subscriber| subscriber.try_send(event.clone()).is_ok());
    }

    /// Caches the bodies of turns that the state refers to.
    fn cache_turns(&mut self, offset: Offset, entries: &[Entry]) {
        for entry in entries {
            if let Some(turn) = turn_in(entry)
                && is_body_referenced(&self.state, offset, entry)
            {
                self.cache.insert(Arc::new(turn.clone()));
            }
        }
    }
}
