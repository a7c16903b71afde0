//! One partition of the turns topic: the read position, the state derived from its records, and the
//! records that wait to be appended.
//!
//! All records of a program are in one partition, so that their order decides on the program's
//! budget. A gateway reads only the partitions that it serves.

mod ended;
mod queued;

use crate::dialect::{Dialect, Offset, PartitionNumber, Topic};
use crate::net::with_timeout;
use crate::turns::commit::Committer;
use crate::turns::index::TurnIndex;
use ended::EndedTurns;
use galenapick::stable_hash;
use queued::QueuedReservations;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Number of partitions of the turns topic; it must be the same on all gateways and must never
/// change. Each partition has one append in flight, which takes about 6 ms and contains all records
/// that arrived during the previous one. Four partitions make at most 700 calls per second, which
/// is below half of what the store of a large site accepts, and carry thousands of records.
pub(crate) const PARTITION_COUNT: PartitionNumber = 4;

/// A set of partitions, stored as one bit per partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartitionSet(u64);

impl PartitionSet {
    pub(crate) fn contains(self, number: PartitionNumber) -> bool {
        self.0 & 1 << number != 0
    }

    pub(crate) fn len(self) -> u64 {
        u64::from(self.0.count_ones())
    }
}

impl FromIterator<PartitionNumber> for PartitionSet {
    fn from_iter<I: IntoIterator<Item = PartitionNumber>>(numbers: I) -> Self {
        Self(numbers.into_iter().fold(0, |set, number| set | 1 << number))
    }
}

/// Returns the partition that contains a program's records.
pub(crate) fn partition_of(program: &str) -> PartitionNumber {
    (stable_hash(program) % u64::from(PARTITION_COUNT)) as PartitionNumber
}

/// State of a partition on one gateway.
pub(crate) struct Partition<D> {
    pub(crate) number: PartitionNumber,
    /// Records of this gateway that wait to be appended.
    pub(crate) committer: Committer<D>,
    /// State derived from the records read so far.
    pub(crate) index: RefCell<TurnIndex>,
    /// Reservations of this gateway between their submission and the time at which the index
    /// contains them; some may already be there.
    queued_reservations: RefCell<QueuedReservations>,
    /// Turns whose end this gateway has written, also before the index contains it.
    ended_turns: RefCell<EndedTurns>,
    /// Whether the partition was once read completely.
    is_loaded: Cell<bool>,
    /// Offset of the next record to apply. If the partition is loaded, all earlier records have
    /// been applied.
    next_offset: Cell<Offset>,
    /// Number of reads started so far, which is also the number of the latest read.
    reads_started: Cell<u64>,
    /// Highest number of a read that reached the end of the partition.
    last_complete_read: Cell<u64>,
    is_read_requested: Cell<bool>,
    /// Time of the last local use.
    last_used_at: Cell<Instant>,
    read_requested: event_listener::Event,
    advanced: event_listener::Event,
}

impl<D: Dialect> Partition<D> {
    /// Creates a partition that has not been read.
    pub(crate) fn new(number: PartitionNumber) -> Self {
        Self {
            number,
            committer: Committer::new(Topic::Turns(number)),
            index: RefCell::default(),
            queued_reservations: RefCell::default(),
            ended_turns: RefCell::default(),
            is_loaded: Cell::new(false),
            next_offset: Cell::new(0),
            reads_started: Cell::new(0),
            last_complete_read: Cell::new(0),
            is_read_requested: Cell::new(false),
            last_used_at: Cell::new(Instant::now()),
            read_requested: event_listener::Event::new(),
            advanced: event_listener::Event::new(),
        }
    }

    /// Counts a reservation that has been submitted, until the index contains it.
    pub(crate) fn queue_reservation(&self, turn: &str, program: &str, max_tokens: u64) {
        let mut queued = self.queued_reservations.borrow_mut();
        queued.push(Instant::now(), turn, program, max_tokens);
    }

    /// Remembers that the end of a turn has been submitted.
    pub(crate) fn mark_ended(&self, turn: &str) {
        let mut ended = self.ended_turns.borrow_mut();
        ended.insert(Instant::now(), turn);
    }

    /// Returns whether a turn has ended, so that its tokens must not be reserved any more: the store
    /// keeps the newest record of a key, and a reservation would replace the end.
    pub(crate) fn has_ended(&self, turn: &str) -> bool {
        self.ended_turns.borrow().contains(turn) || self.index.borrow().has_ended(turn)
    }

    /// Forgets the queued reservations that the index contains.
    pub(crate) fn forget_applied_reservations(&self) {
        let index = self.index.borrow();
        let mut queued = self.queued_reservations.borrow_mut();
        queued.forget(Instant::now(), |turn| index.contains(turn));
    }

    /// Returns the tokens that count against a program's budget, queued reservations included.
    pub(crate) fn charged_tokens(&self, program: &str) -> u64 {
        self.forget_applied_reservations();
        let queued_tokens = self.queued_reservations.borrow().tokens(program);
        self.index.borrow().charged_tokens(program) + queued_tokens
    }

    pub(crate) fn topic(&self) -> Topic {
        Topic::Turns(self.number)
    }

    /// Whether the partition was once read completely.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.get()
    }

    /// Offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> Offset {
        self.next_offset.get()
    }

    /// Whether a caller waits for a read.
    pub(crate) fn is_read_requested(&self) -> bool {
        self.is_read_requested.get()
    }

    /// Time since the last local use.
    pub(crate) fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_used_at.get())
    }

    /// Marks all records before an offset as loaded.
    pub(crate) fn mark_loaded(&self, next_offset: Offset) {
        self.is_loaded.set(true);
        self.advance(next_offset);
    }

    /// Discards the state. The next use loads the partition again.
    pub(crate) fn unload(&self) {
        self.is_loaded.set(false);
        self.next_offset.set(0);
        self.index.take();
    }

    /// Marks all records before an offset as applied.
    pub(crate) fn advance(&self, next_offset: Offset) {
        self.next_offset
            .set(self.next_offset.get().max(next_offset));
    }

    /// Marks this gateway's own records as applied, `count` records starting at `first_offset`. No
    /// read is needed if no other gateway wrote before them.
    pub(crate) fn advance_past_own(&self, first_offset: Offset, count: usize) {
        if self.is_loaded() && self.next_offset() == first_offset {
            self.advance(first_offset + count as Offset);
            self.advanced.notify(usize::MAX);
        }
    }

    /// Starts a read and returns its number.
    pub(crate) fn begin_read(&self) -> u64 {
        self.is_read_requested.set(false);
        self.reads_started.set(self.reads_started.get() + 1);
        self.reads_started.get()
    }

    /// Ends a read. The argument is its number if it reached the end of the partition.
    pub(crate) fn end_read(&self, last_complete_read: Option<u64>) {
        if let Some(number) = last_complete_read {
            self.last_complete_read.set(number);
        }
        self.advanced.notify(usize::MAX);
    }

    /// Waits until the partition is loaded.
    pub(crate) async fn wait_until_loaded(&self) {
        self.last_used_at.set(Instant::now());
        while !self.is_loaded() {
            let listener = self.advanced.listen();
            self.request_read();
            listener.await;
        }
    }

    /// Waits until a read that started after this call has reached the end of the partition.
    pub(crate) async fn read_to_end(&self) {
        self.wait_until_loaded().await;
        self.request_read();
        let target = self.reads_started.get() + 1;
        while self.last_complete_read.get() < target {
            let listener = self.advanced.listen();
            self.request_read();
            listener.await;
        }
    }

    /// Waits until the record at an offset has been applied.
    pub(crate) async fn wait_for_offset(&self, offset: Offset) {
        self.wait_until_loaded().await;
        while self.next_offset.get() <= offset {
            let listener = self.advanced.listen();
            self.request_read();
            listener.await;
        }
    }

    /// Waits until a read is requested, at most for `limit`.
    pub(crate) async fn wait_for_read_request(&self, limit: Duration) {
        let listener = self.read_requested.listen();
        if self.is_read_requested.get() {
            return;
        }
        with_timeout(limit, listener).await;
    }

    fn request_read(&self) {
        self.is_read_requested.set(true);
        self.read_requested.notify(usize::MAX);
    }
}
