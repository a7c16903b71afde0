//! Group commit: entries of many callers go to the log in one batch, one batch at a time.

use crate::ids::{Epoch, Offset};
use crate::protocol::log::LogError;
use crate::protocol::record::{Batch, Entry, Record};
use crate::state::program::EntryError;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Names what one caller pushed.
pub type Ticket = u64;

/// Bytes of an entry besides its texts, about.
const ENTRY_OVERHEAD_BYTES: usize = 160;

/// Bounds of a [`GroupCommit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CommitLimits {
    /// A batch is closed when its entries weigh so much.
    pub batch_bytes: usize,
    /// Entries that wait are refused over this number.
    pub backlog_entries: usize,
    /// Entries that wait are refused over this weight.
    pub backlog_bytes: usize,
    /// Mean time between two appends, at the least.
    pub append_interval: Duration,
    /// Appends that may follow each other at once after a pause.
    pub append_burst: u32,
    /// Wait before a batch is appended again after a lost answer.
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

/// The backlog is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitEffect {
    /// Append these bytes, then call [`GroupCommit::appended`].
    Append(Vec<u8>),
    /// Read the stream to its end, then call [`GroupCommit::caught_up`].
    Read,
    /// Nothing before this time.
    Wait(Instant),
    /// Nothing before the next input.
    Idle,
}

/// A push that was committed, and those of its entries that the fold ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The push.
    pub ticket: Ticket,
    /// Offset of the batch.
    pub offset: Offset,
    /// The first ignored entry's reason.
    pub ignored: Option<EntryError>,
}

/// Entries of one caller that go into one batch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Push {
    ticket: Ticket,
    entries: Vec<Entry>,
    weight_bytes: usize,
}

/// What is known about the append of the outstanding batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It is under way.
    Sent,
    /// The log took it at this offset; it has not been read yet.
    Taken(Offset),
    /// No answer: it may stand in the stream. The stream is to be read first.
    Unsettled,
    /// The stream has been read and does not have it; it is sent again at this time.
    Resend(Instant),
}

/// The batch that is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Outstanding {
    sequence: u64,
    bytes: Vec<u8>,
    /// Entries that stand before the first push.
    front: usize,
    pushes: Vec<Push>,
    phase: Phase,
}

/// Commits entries in batches of one epoch.
///
/// Invariants: at most one batch is outstanding; batches and the entries in them keep the order
/// of the pushes; a push ends exactly once, as committed or as taken back by
/// [`GroupCommit::end`].
///
/// ```
/// use galenapick::{CommitEffect, CommitLimits, Entry, GroupCommit};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut commit = GroupCommit::new(7, CommitLimits::default(), now);
/// let ticket = commit.push(vec![Entry::Released]).unwrap();
/// assert!(matches!(commit.poll(now, 0, Vec::new), CommitEffect::Append(_)));
/// commit.appended(now, Ok(8));
/// let done = commit.accepted(7, 1, 8, &[]);
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
    /// Time at which the append budget would be whole again.
    budget_whole_at: Instant,
}

impl GroupCommit {
    /// Starts an epoch.
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
            budget_whole_at: now,
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Entries and their weight that are not committed, the outstanding batch included.
    pub fn backlog(&self) -> (usize, usize) {
        let outstanding = self.outstanding.iter().flat_map(|batch| &batch.pushes);
        outstanding.fold((self.queued_entries, self.queued_bytes), |sum, push| {
            (sum.0 + push.entries.len(), sum.1 + push.weight_bytes)
        })
    }

    /// Whether what became of the outstanding batch is to be read from the stream.
    pub fn wants_read(&self) -> bool {
        let phase = self.outstanding.as_ref().map(|batch| batch.phase);
        matches!(phase, Some(Phase::Taken(_) | Phase::Unsettled))
    }

    /// Whether nothing waits and nothing is outstanding.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.outstanding.is_none()
    }

    /// Puts entries in line; they go into one batch together.
    pub fn push(&mut self, entries: Vec<Entry>) -> Result<Ticket, Full> {
        let weight_bytes: usize = entries.iter().map(entry_weight).sum();
        let (waiting, waiting_bytes) = self.backlog();
        if waiting + entries.len() > self.limits.backlog_entries
            || waiting_bytes + weight_bytes > self.limits.backlog_bytes
        {
            return Err(Full);
        }
        Ok(self.push_unbounded(entries))
    }

    /// Puts entries in line whatever the backlog, such as the last ones of the epoch.
    pub(crate) fn push_unbounded(&mut self, entries: Vec<Entry>) -> Ticket {
        let weight_bytes = entries.iter().map(entry_weight).sum();
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.queued_entries += entries.len();
        self.queued_bytes += weight_bytes;
        self.queue.push_back(Push {
            ticket,
            entries,
            weight_bytes,
        });
        ticket
    }

    /// Says what to do now.
    ///
    /// When a batch can be closed, `front` is asked for entries to stand before the waiting ones:
    /// at that moment every batch before has been applied. The batch names `root`.
    pub fn poll(
        &mut self,
        now: Instant,
        root: Offset,
        front: impl FnOnce() -> Vec<Entry>,
    ) -> CommitEffect {
        match self.outstanding.as_ref().map(|batch| batch.phase) {
            None => self.close(now, root, front),
            Some(Phase::Sent) => CommitEffect::Idle,
            Some(Phase::Taken(_) | Phase::Unsettled) => CommitEffect::Read,
            Some(Phase::Resend(at)) if at > now => CommitEffect::Wait(at),
            Some(Phase::Resend(_)) => self.resend(now),
        }
    }

    /// Takes the answer to an append.
    pub fn appended(&mut self, now: Instant, answer: Result<Offset, LogError>) {
        let Some(batch) = &mut self.outstanding else {
            return;
        };
        if batch.phase != Phase::Sent {
            return;
        }
        batch.phase = match answer {
            Ok(offset) => Phase::Taken(offset),
            Err(LogError::Throttled { retry_after }) => Phase::Resend(now + retry_after),
            Err(_) => Phase::Unsettled,
        };
    }

    /// Learns that the stream has been read to its end, up to and without `next`, by a read that
    /// began after the append was answered.
    pub fn caught_up(&mut self, now: Instant, next: Offset) {
        let resend_at = now + self.limits.resend_after;
        let Some(batch) = &mut self.outstanding else {
            return;
        };
        batch.phase = match batch.phase {
            Phase::Unsettled => Phase::Resend(resend_at),
            Phase::Taken(offset) if offset < next => Phase::Resend(resend_at),
            other => other,
        };
    }

    /// Learns that the fold has accepted a batch; returns what that commits.
    pub fn accepted(
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
        let mut start = batch.front;
        let mut done = Vec::new();
        for push in &batch.pushes {
            let range = start..start + push.entries.len();
            start = range.end;
            let found = ignored.iter().find(|(index, _)| range.contains(index));
            done.push(Committed {
                ticket: push.ticket,
                offset,
                ignored: found.map(|(_, why)| *why),
            });
        }
        done
    }

    /// Ends the epoch and returns what is not committed, in order.
    ///
    /// If the fold has met the claim that superseded the epoch, the log does not have it and
    /// never will: a batch that stands behind that claim is void.
    pub fn end(self) -> Vec<(Ticket, Vec<Entry>)> {
        let outstanding = self.outstanding.into_iter().flat_map(|batch| batch.pushes);
        outstanding
            .chain(self.queue)
            .map(|push| (push.ticket, push.entries))
            .collect()
    }

    fn close(
        &mut self,
        now: Instant,
        root: Offset,
        front: impl FnOnce() -> Vec<Entry>,
    ) -> CommitEffect {
        let allowed_at = self.allowed_at();
        if allowed_at > now {
            return CommitEffect::Wait(allowed_at);
        }
        let mut entries = front();
        let front = entries.len();
        let pushes = self.take_pushes();
        if front == 0 && pushes.is_empty() {
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
            front,
            pushes,
            phase: Phase::Sent,
        });
        self.charge(now);
        CommitEffect::Append(bytes)
    }

    fn resend(&mut self, now: Instant) -> CommitEffect {
        let allowed_at = self.allowed_at();
        if allowed_at > now {
            return CommitEffect::Wait(allowed_at);
        }
        self.charge(now);
        let Some(batch) = &mut self.outstanding else {
            return CommitEffect::Idle;
        };
        batch.phase = Phase::Sent;
        CommitEffect::Append(batch.bytes.clone())
    }

    /// Takes pushes for one batch from the line.
    fn take_pushes(&mut self) -> Vec<Push> {
        let mut pushes = Vec::new();
        let mut bytes = 0;
        while let Some(push) = self.queue.front() {
            if bytes > 0 && bytes + push.weight_bytes > self.limits.batch_bytes {
                break;
            }
            bytes += push.weight_bytes;
            self.queued_entries -= push.entries.len();
            self.queued_bytes -= push.weight_bytes;
            pushes.extend(self.queue.pop_front());
        }
        pushes
    }

    /// When the append budget allows the next append.
    fn allowed_at(&self) -> Instant {
        let burst = self.limits.append_interval * self.limits.append_burst.saturating_sub(1);
        self.budget_whole_at
            .checked_sub(burst)
            .unwrap_or(self.budget_whole_at)
    }

    fn charge(&mut self, now: Instant) {
        self.budget_whole_at = self.budget_whole_at.max(now) + self.limits.append_interval;
    }
}

/// Encodes a record for the log.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(record, &mut bytes).expect("a vector takes every record");
    bytes
}

/// Decodes a record of the log; `None` if it is not one.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record> {
    ciborium::from_reader(bytes).ok()
}

/// Bytes that an entry takes, about.
pub(crate) fn entry_weight(entry: &Entry) -> usize {
    use crate::protocol::record::{ActionResult, Snapshot};
    let texts = match entry {
        Entry::Created(created) => created.client_account.len() + created.environment.len(),
        Entry::Turn(turn) | Entry::Superseded(turn) => {
            turn.messages.iter().map(|m| m.content.len() + 32).sum()
        }
        Entry::Intent(intent) => intent.request.body.len() + intent.service.len(),
        Entry::Outcome(outcome) => match &outcome.result {
            ActionResult::Done(reply) => reply.body.len(),
            ActionResult::NotRun(why) | ActionResult::Unknown(why) => why.len(),
        },
        Entry::Snapshot(Snapshot::Relocated(carried)) => entry_weight(carried),
        Entry::Ended(_) | Entry::Snapshot(_) | Entry::Reserved(_) | Entry::Released => 0,
    };
    ENTRY_OVERHEAD_BYTES + texts
}
