//! Group commit: entries of many callers are appended to the log in one batch, one batch at a time.

use crate::ids::{Epoch, Offset};
use crate::protocol::log::LogError;
use crate::protocol::record::{Batch, Entry, Record};
use crate::state::program::EntryError;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Identifies one push within an epoch.
pub type Ticket = u64;

/// Estimated bytes of an entry without its texts.
const ENTRY_OVERHEAD_BYTES: usize = 160;

/// Limits of a [`GroupCommit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommitLimits {
    /// Estimated bytes at which a batch is closed. A single larger push gets a batch of its own.
    pub batch_bytes: usize,
    /// Maximum number of uncommitted entries; further pushes are refused.
    pub backlog_entries: usize,
    /// Maximum estimated bytes of uncommitted entries; further pushes are refused.
    pub backlog_bytes: usize,
    /// Minimum mean time between two appends.
    pub append_interval: Duration,
    /// Number of appends that may follow each other without delay after a pause.
    pub append_burst: u32,
    /// Delay before a batch is appended again after its answer was lost.
    pub resend_after: Duration,
}

impl Default for CommitLimits {
    fn default() -> Self {
        Self {
            batch_bytes: 1 << 20,
            backlog_entries: 20_000,
            backlog_bytes: 64 << 20,
            append_interval: Duration::from_millis(40),
            append_burst: 4,
            resend_after: Duration::from_millis(200),
        }
    }
}

/// Error of a push that exceeds the limits of the backlog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BacklogFull;

/// Next step of the driver of a [`GroupCommit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitEffect {
    /// Append these bytes, then call [`GroupCommit::on_append_result`].
    Append(Vec<u8>),
    /// Read the stream to its end, then call [`GroupCommit::on_read_to_end`].
    Read,
    /// Poll again at this time.
    Wait(Instant),
    /// Poll again after the next input.
    Idle,
}

/// Result of a push whose batch is in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// Ticket of the push.
    pub ticket: Ticket,
    /// Offset of the batch in the log.
    pub offset: Offset,
    /// Reason why applying the batch ignored an entry of the push; that of the first such entry.
    pub ignored: Option<EntryError>,
}

/// Entries of one caller. They are written in the same batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Push {
    ticket: Ticket,
    entries: Vec<Entry>,
    size_bytes: usize,
}

/// State of the append of the outstanding batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The append is in flight.
    InFlight,
    /// The log acknowledged the append at this offset, but the record has not been read yet.
    Appended(Offset),
    /// The append got no answer, so the stream may contain the batch. It must be read to its end
    /// before the batch may be sent again.
    Unconfirmed,
    /// The stream does not contain the batch. It is sent again at this time.
    Resend(Instant),
}

/// The batch that has been sent and is not committed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Outstanding {
    sequence: u64,
    bytes: Vec<u8>,
    /// Number of entries before those of the first push.
    leading_count: usize,
    pushes: Vec<Push>,
    phase: Phase,
}

/// Commits entries in batches of one epoch.
///
/// Invariants: at most one batch is outstanding. Batches and the entries in them keep the order of
/// the pushes. Each push ends exactly once, either as committed or in the result of
/// [`GroupCommit::into_uncommitted`].
///
/// ```
/// use galenapick::{CommitEffect, CommitLimits, Entry, GroupCommit};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut commit = GroupCommit::new(7, CommitLimits::default(), now);
/// let ticket = commit.push(vec![Entry::Released]).unwrap();
/// assert!(matches!(commit.poll(now, 0, Vec::new), CommitEffect::Append(_)));
/// commit.on_append_result(now, Ok(8));
/// let done = commit.on_batch_accepted(7, 1, 8, &[]);
/// assert_eq!(done[0].ticket, ticket);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupCommit {
    epoch: Epoch,
    limits: CommitLimits,
    sequence: u64,
    next_ticket: Ticket,
    queue: VecDeque<Push>,
    queued_entries: usize,
    queued_bytes: usize,
    outstanding: Option<Outstanding>,
    /// Time at which the budget for bursts of appends will be full again.
    budget_full_at: Instant,
}

impl GroupCommit {
    /// Creates an empty queue for a new epoch.
    pub fn new(epoch: Epoch, limits: CommitLimits, now: Instant) -> Self {
        Self {
            epoch,
            limits,
            sequence: 0,
            next_ticket: 1,
            queue: VecDeque::new(),
            queued_entries: 0,
            queued_bytes: 0,
            outstanding: None,
            budget_full_at: now,
        }
    }

    /// Returns the epoch in which the entries are committed.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number and the estimated bytes of uncommitted entries, including the outstanding
    /// batch.
    pub fn backlog(&self) -> (usize, usize) {
        let outstanding = self.outstanding.iter().flat_map(|batch| &batch.pushes);
        outstanding.fold((self.queued_entries, self.queued_bytes), |sum, push| {
            (sum.0 + push.entries.len(), sum.1 + push.size_bytes)
        })
    }

    /// Returns whether the stream must be read to learn the fate of the outstanding batch.
    pub fn needs_read(&self) -> bool {
        let phase = self.outstanding.as_ref().map(|batch| batch.phase);
        matches!(phase, Some(Phase::Appended(_) | Phase::Unconfirmed))
    }

    /// Returns whether no push is queued and no batch is outstanding.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.outstanding.is_none()
    }

    /// Queues entries to be written together in one batch.
    pub fn push(&mut self, entries: Vec<Entry>) -> Result<Ticket, BacklogFull> {
        let size_bytes: usize = entries.iter().map(estimated_entry_bytes).sum();
        let (backlog_entries, backlog_bytes) = self.backlog();
        if backlog_entries + entries.len() > self.limits.backlog_entries
            || backlog_bytes + size_bytes > self.limits.backlog_bytes
        {
            return Err(BacklogFull);
        }
        Ok(self.push_unbounded(entries))
    }

    /// Queues entries regardless of the backlog, for example the last ones of an epoch.
    pub(crate) fn push_unbounded(&mut self, entries: Vec<Entry>) -> Ticket {
        let size_bytes = entries.iter().map(estimated_entry_bytes).sum();
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queued_entries += entries.len();
        self.queued_bytes += size_bytes;
        self.queue.push_back(Push {
            ticket,
            entries,
            size_bytes,
        });
        ticket
    }

    /// Returns the next step of the driver.
    ///
    /// When a batch can be closed, `leading_entries` is called for entries to write before the
    /// queued ones. All previous batches have been applied at that time. The batch refers to the
    /// snapshot at `root`.
    pub fn poll(
        &mut self,
        now: Instant,
        root: Offset,
        leading_entries: impl FnOnce() -> Vec<Entry>,
    ) -> CommitEffect {
        match self.outstanding.as_ref().map(|batch| batch.phase) {
            None => self.close_batch(now, root, leading_entries),
            Some(Phase::InFlight) => CommitEffect::Idle,
            Some(Phase::Appended(_) | Phase::Unconfirmed) => CommitEffect::Read,
            Some(Phase::Resend(at)) if at > now => CommitEffect::Wait(at),
            Some(Phase::Resend(_)) => self.resend(now),
        }
    }

    /// Handles the result of the append in flight.
    pub fn on_append_result(&mut self, now: Instant, result: Result<Offset, LogError>) {
        let Some(batch) = &mut self.outstanding else {
            return;
        };
        if batch.phase != Phase::InFlight {
            return;
        }
        batch.phase = match result {
            Ok(offset) => Phase::Appended(offset),
            Err(LogError::Throttled { retry_after }) => Phase::Resend(now + retry_after),
            Err(_) => Phase::Unconfirmed,
        };
    }

    /// Handles that the stream has been read to its end, which is before offset `next`. The read
    /// must have started after the append was answered; an earlier one may have missed the batch.
    pub fn on_read_to_end(&mut self, now: Instant, next: Offset) {
        let resend_at = now + self.limits.resend_after;
        let Some(batch) = &mut self.outstanding else {
            return;
        };
        batch.phase = match batch.phase {
            Phase::Unconfirmed => Phase::Resend(resend_at),
            Phase::Appended(offset) if offset < next => Phase::Resend(resend_at),
            other => other,
        };
    }

    /// Handles that a batch was read from the stream and accepted. Returns the pushes that it
    /// commits; `ignored` lists its ignored entries by their index in the batch.
    pub fn on_batch_accepted(
        &mut self,
        epoch: Epoch,
        sequence: u64,
        offset: Offset,
        ignored: &[(usize, EntryError)],
    ) -> Vec<Committed> {
        let expected = self.outstanding.as_ref().map(|batch| batch.sequence);
        if epoch != self.epoch || expected != Some(sequence) {
            return Vec::new();
        }
        let Some(batch) = self.outstanding.take() else {
            return Vec::new();
        };
        let mut start = batch.leading_count;
        let mut committed = Vec::new();
        for push in &batch.pushes {
            let range = start..start + push.entries.len();
            start = range.end;
            let first_ignored = ignored.iter().find(|(index, _)| range.contains(index));
            committed.push(Committed {
                ticket: push.ticket,
                offset,
                ignored: first_ignored.map(|(_, error)| *error),
            });
        }
        committed
    }

    /// Ends the epoch and returns the uncommitted pushes in order.
    ///
    /// If the claim that superseded the epoch has been read, the log does not contain these entries
    /// and never will: any batch of the epoch after that claim is rejected.
    pub fn into_uncommitted(self) -> Vec<(Ticket, Vec<Entry>)> {
        let outstanding = self.outstanding.into_iter().flat_map(|batch| batch.pushes);
        outstanding
            .chain(self.queue)
            .map(|push| (push.ticket, push.entries))
            .collect()
    }

    fn close_batch(
        &mut self,
        now: Instant,
        root: Offset,
        leading_entries: impl FnOnce() -> Vec<Entry>,
    ) -> CommitEffect {
        let allowed_at = self.next_append_at();
        if allowed_at > now {
            return CommitEffect::Wait(allowed_at);
        }
        let mut entries = leading_entries();
        let leading_count = entries.len();
        let pushes = self.take_pushes();
        if leading_count == 0 && pushes.is_empty() {
            return CommitEffect::Idle;
        }
        entries.extend(pushes.iter().flat_map(|push| push.entries.iter().cloned()));
        self.sequence += 1;
        let bytes = encode(&Record::Batch(Batch {
            epoch: self.epoch,
            sequence: self.sequence,
            root,
            entries,
        }));
        self.outstanding = Some(Outstanding {
            sequence: self.sequence,
            bytes: bytes.clone(),
            leading_count,
            pushes,
            phase: Phase::InFlight,
        });
        self.charge_append(now);
        CommitEffect::Append(bytes)
    }

    fn resend(&mut self, now: Instant) -> CommitEffect {
        let allowed_at = self.next_append_at();
        if allowed_at > now {
            return CommitEffect::Wait(allowed_at);
        }
        self.charge_append(now);
        let Some(batch) = &mut self.outstanding else {
            return CommitEffect::Idle;
        };
        batch.phase = Phase::InFlight;
        CommitEffect::Append(batch.bytes.clone())
    }

    /// Removes the pushes for one batch from the queue.
    fn take_pushes(&mut self) -> Vec<Push> {
        let mut pushes = Vec::new();
        let mut bytes = 0;
        while let Some(push) = self.queue.front() {
            if bytes > 0 && bytes + push.size_bytes > self.limits.batch_bytes {
                break;
            }
            bytes += push.size_bytes;
            self.queued_entries -= push.entries.len();
            self.queued_bytes -= push.size_bytes;
            pushes.extend(self.queue.pop_front());
        }
        pushes
    }

    /// Returns the earliest time at which the append budget allows an append.
    fn next_append_at(&self) -> Instant {
        let burst = self.limits.append_interval * self.limits.append_burst.saturating_sub(1);
        self.budget_full_at
            .checked_sub(burst)
            .unwrap_or(self.budget_full_at)
    }

    fn charge_append(&mut self, now: Instant) {
        self.budget_full_at = self.budget_full_at.max(now) + self.limits.append_interval;
    }
}

/// Encodes a record for the log.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("writing a record to a vector cannot fail");
    bytes
}

/// Decodes a record of the log, or returns `None` if the bytes are not a record.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record> {
    ciborium::from_reader(bytes).ok()
}

/// Estimates the bytes of an encoded entry.
pub(crate) fn estimated_entry_bytes(entry: &Entry) -> usize {
    use crate::protocol::record::{ActionResult, Snapshot};
    let text_bytes = match entry {
        Entry::Created(created) => created.client_account.len() + created.environment.len(),
        Entry::Turn(turn) | Entry::Superseded(turn) => {
            turn.messages.iter().map(|m| m.content.len() + 32).sum()
        }
        Entry::Intent(intent) => intent.request.body.len() + intent.service.len(),
        Entry::Outcome(outcome) => match &outcome.result {
            ActionResult::Done(reply) => reply.body.len(),
            ActionResult::NotRun(reason) | ActionResult::Unknown(reason) => reason.len(),
        },
        Entry::Snapshot(Snapshot::Relocated(entry)) => estimated_entry_bytes(entry),
        Entry::Ended(_) | Entry::Snapshot(_) | Entry::Reserved(_) | Entry::Released => 0,
    };
    ENTRY_OVERHEAD_BYTES + text_bytes
}
