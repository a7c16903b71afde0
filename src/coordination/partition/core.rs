//! What a partition's handles and its driver share under one lock.

use super::reader::turn_of;
use super::{Change, CommitError, LogHealth, PartitionConfig};
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

/// Where the result of a push goes.
type Waiter = Sender<Result<Offset, CommitError>>;

/// The shared part.
///
/// Invariant: every unresolved push of `commit` has one waiter.
pub(super) struct Core {
    /// The fold.
    pub(super) state: PartitionState,
    /// The next offset to read.
    pub(super) from: Offset,
    /// Whether the stream has been read to its end since the last start.
    pub(super) caught_up: bool,
    /// Whether this node should own the partition.
    pub(super) wanted: bool,
    /// Commits of the epoch that this node owns.
    pub(super) commit: Option<GroupCommit>,
    /// Whether the partition is being handed over.
    pub(super) releasing: bool,
    /// Turn bodies.
    pub(super) cache: BodyCache,
    /// Subscribers.
    pub(super) listeners: Vec<Sender<Change>>,
    /// The first append of a run of failures.
    pub(super) append_down: Option<Instant>,
    /// The first read of a run of failures.
    pub(super) read_down: Option<Instant>,
    waiters: HashMap<Ticket, Waiter>,
}

impl Core {
    /// Makes the shared part before anything was read.
    pub(super) fn new(config: &PartitionConfig) -> Self {
        Self {
            state: PartitionState::new(),
            from: 0,
            caught_up: false,
            wanted: false,
            commit: None,
            releasing: false,
            cache: BodyCache::new(config.cache_bytes),
            listeners: Vec::new(),
            append_down: None,
            read_down: None,
            waiters: HashMap::new(),
        }
    }

    /// Puts entries in line.
    pub(super) fn push(
        &mut self,
        entries: Vec<Entry>,
    ) -> Result<Receiver<Result<Offset, CommitError>>, CommitError> {
        if self.releasing {
            return Err(CommitError::NotOwner);
        }
        let commit = self.commit.as_mut().ok_or(CommitError::NotOwner)?;
        let ticket = commit.push(entries)?;
        let (tx, rx) = async_channel::bounded(1);
        self.waiters.insert(ticket, tx);
        Ok(rx)
    }

    /// The epoch in which pushes are taken.
    pub(super) fn epoch(&self) -> Option<Epoch> {
        if self.releasing {
            return None;
        }
        self.commit.as_ref().map(GroupCommit::epoch)
    }

    /// Whether the log answers.
    pub(super) fn health(&self) -> LogHealth {
        match self.append_down.into_iter().chain(self.read_down).min() {
            Some(since) => LogHealth::Down { since },
            None => LogHealth::Up,
        }
    }

    /// Entries and their weight that are not committed.
    pub(super) fn backlog(&self) -> (usize, usize) {
        self.commit.as_ref().map_or((0, 0), GroupCommit::backlog)
    }

    /// Starts the fold again.
    pub(super) fn restart(&mut self, state: PartitionState, from: Offset) {
        self.state = state;
        self.from = from;
        self.caught_up = false;
        self.cache.clear();
    }

    /// Applies a record, settles what it commits, and tells the subscribers.
    pub(super) fn apply(&mut self, offset: Offset, record: Record) -> Applied {
        let applied = self.state.apply(offset, &record);
        self.from = offset + 1;
        if let (Applied::Accepted(ignored), Record::Batch(batch)) = (&applied, &record) {
            self.keep_bodies(offset, &batch.entries);
            let commit = self.commit.as_mut();
            let done = commit.map(|c| c.accepted(batch.epoch, batch.sequence, offset, ignored));
            self.resolve(done.unwrap_or_default());
        }
        self.tell(Change::Applied {
            offset,
            record: Arc::new(record),
            applied: Arc::new(applied.clone()),
        });
        applied
    }

    /// Starts commits when this node has become the owner and has read everything.
    pub(super) fn gain(&mut self, claimant: &Claimant, config: &PartitionConfig, now: Instant) {
        let ready = self.caught_up && !self.state.is_partial();
        if self.commit.is_some() || !ready || !claimant.owns(&self.state) {
            return;
        }
        let epoch = self.state.epoch();
        self.commit = Some(GroupCommit::new(epoch, config.commit, now));
        self.releasing = false;
        self.tell(Change::Gained(epoch));
    }

    /// Ends commits when this node is no longer the owner. Returns the epoch that ended.
    ///
    /// `seamless` tells whether the fold has met every record since the last commit.
    pub(super) fn lose(&mut self, claimant: &Claimant, seamless: bool) -> Option<Epoch> {
        let epoch = self.commit.as_ref()?.epoch();
        if self.state.epoch() == epoch && claimant.owns(&self.state) {
            return None;
        }
        self.releasing = false;
        for (ticket, entries) in self.commit.take()?.end() {
            let error = if seamless {
                CommitError::Superseded(entries)
            } else {
                CommitError::Uncertain(entries)
            };
            self.answer(ticket, Err(error));
        }
        self.tell(Change::Lost(epoch));
        Some(epoch)
    }

    /// Settles the outstanding batch after a restart of the fold has skipped over it.
    pub(super) fn reconcile(&mut self) {
        let (epoch, sequence) = (self.state.epoch(), self.state.sequence());
        let accepted = self.state.last_accepted_offset();
        let commit = self.commit.as_mut();
        let done = commit.map(|c| c.accepted(epoch, sequence, accepted, &[]));
        self.resolve(done.unwrap_or_default());
    }

    /// Begins the handover.
    pub(super) fn release(&mut self) {
        if let Some(commit) = &mut self.commit
            && !self.releasing
        {
            self.releasing = true;
            commit.push_unbounded(vec![Entry::Released]);
        }
    }

    fn resolve(&mut self, done: Vec<Committed>) {
        for committed in done {
            let result = match committed.ignored {
                Some(why) => Err(CommitError::Ignored(why)),
                None => Ok(committed.offset),
            };
            self.answer(committed.ticket, result);
        }
    }

    fn answer(&mut self, ticket: Ticket, result: Result<Offset, CommitError>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The pusher may have stopped waiting.
            let _ = waiter.try_send(result);
        }
    }

    fn tell(&mut self, change: Change) {
        self.listeners
            .retain(|listener| listener.try_send(change.clone()).is_ok());
    }

    /// Caches the bodies of turns that the fold took.
    fn keep_bodies(&mut self, offset: Offset, entries: &[Entry]) {
        for entry in entries {
            if let Some(turn) = turn_of(entry)
                && is_body_referenced(&self.state, offset, entry)
            {
                self.cache.insert(Arc::new(turn.clone()));
            }
        }
    }
}
