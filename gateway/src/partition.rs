//! One partition of the turns' topic: how far it has been read, what it amounts to, and the
//! records on their way to it.
//!
//! All records of a program stand in one partition, so that its order decides on the program's
//! budget. A gateway reads only the partitions that it serves.

use crate::commit::Committer;
use crate::dialect::{Dialect, Offset, PartitionNumber, Topic};
use crate::net::with_timeout;
use crate::stable_hash::stable_hash;
use crate::turns::TurnIndex;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Partitions of the topic. One append at a time is under way in each, some 6 ms long, and takes
/// all that came meanwhile: four make at most 700 calls a second, below half of what a store of a
/// large site takes, and carry thousands of records. The same at all gateways, always.
pub(crate) const PARTITIONS: PartitionNumber = 4;

/// A set of partitions, one bit for each.
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

/// The partition of a program's records.
pub(crate) fn partition_of(program: &str) -> PartitionNumber {
    (stable_hash(program) % u64::from(PARTITIONS)) as PartitionNumber
}

/// A partition as one gateway sees it.
pub(crate) struct Partition<D> {
    pub(crate) number: PartitionNumber,
    /// Records of this gateway that wait for the store.
    pub(crate) committer: Committer<D>,
    /// What the records that have been read amount to.
    pub(crate) index: RefCell<TurnIndex>,
    /// Whether all that stood in it at some time has been folded.
    is_loaded: Cell<bool>,
    /// Offset of the next record to fold; all before it have been folded if it is loaded.
    position: Cell<Offset>,
    /// Number of the newest read.
    begun: Cell<u64>,
    /// The highest number of a read that reached the end.
    reached: Cell<u64>,
    is_wanted: Cell<bool>,
    /// When something was last asked of it here.
    used_at: Cell<Instant>,
    wanted: event_listener::Event,
    advanced: event_listener::Event,
}

impl<D: Dialect> Partition<D> {
    /// Makes a partition of which nothing has been read.
    pub(crate) fn new(number: PartitionNumber) -> Self {
        Self {
            number,
            committer: Committer::new(Topic::Turns(number)),
            index: RefCell::default(),
            is_loaded: Cell::new(false),
            position: Cell::new(0),
            begun: Cell::new(0),
            reached: Cell::new(0),
            is_wanted: Cell::new(false),
            used_at: Cell::new(Instant::now()),
            wanted: event_listener::Event::new(),
            advanced: event_listener::Event::new(),
        }
    }

    pub(crate) fn topic(&self) -> Topic {
        Topic::Turns(self.number)
    }

    /// Whether all that it held at some time has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.get()
    }

    /// Offset of the next record to fold.
    pub(crate) fn position(&self) -> Offset {
        self.position.get()
    }

    /// Whether a read is asked for.
    pub(crate) fn is_wanted(&self) -> bool {
        self.is_wanted.get()
    }

    /// How long nothing has been asked of it here.
    pub(crate) fn unused_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.used_at.get())
    }

    /// Notes that it has been loaded up to an offset.
    pub(crate) fn load(&self, position: Offset) {
        self.is_loaded.set(true);
        self.advance(position);
    }

    /// Forgets what was read; it is loaded again when it is asked for.
    pub(crate) fn unload(&self) {
        self.is_loaded.set(false);
        self.position.set(0);
        self.index.take();
    }

    /// Notes that all records before an offset have been folded.
    pub(crate) fn advance(&self, position: Offset) {
        self.position.set(self.position.get().max(position));
    }

    /// Takes own records that stand in it from an offset on, and have been folded; nothing is left
    /// to read if no other gateway wrote before them.
    pub(crate) fn advance_over(&self, first: Offset, count: usize) {
        if self.is_loaded() && self.position() == first {
            self.advance(first + count as Offset);
            self.advanced.notify(usize::MAX);
        }
    }

    /// Begins a read and returns its number.
    pub(crate) fn begin_read(&self) -> u64 {
        self.is_wanted.set(false);
        self.begun.set(self.begun.get() + 1);
        self.begun.get()
    }

    /// Ends a read; its number is given if it reached the end.
    pub(crate) fn end_read(&self, reached: Option<u64>) {
        if let Some(number) = reached {
            self.reached.set(number);
        }
        self.advanced.notify(usize::MAX);
    }

    /// Waits until it has been loaded.
    pub(crate) async fn loaded(&self) {
        self.used_at.set(Instant::now());
        while !self.is_loaded() {
            let listener = self.advanced.listen();
            self.want();
            listener.await;
        }
    }

    /// Waits until it has been read to an end that it reached after this call.
    pub(crate) async fn read_to_end(&self) {
        self.loaded().await;
        self.want();
        let due = self.begun.get() + 1;
        while self.reached.get() < due {
            let listener = self.advanced.listen();
            self.want();
            listener.await;
        }
    }

    /// Waits until the record at an offset has been folded.
    pub(crate) async fn read_through(&self, offset: Offset) {
        self.loaded().await;
        while self.position.get() <= offset {
            let listener = self.advanced.listen();
            self.want();
            listener.await;
        }
    }

    /// Waits until a read is wanted, or for so long.
    pub(crate) async fn pause(&self, limit: Duration) {
        let listener = self.wanted.listen();
        if self.is_wanted.get() {
            return;
        }
        with_timeout(limit, listener).await;
    }

    fn want(&self) {
        self.is_wanted.set(true);
        self.wanted.notify(usize::MAX);
    }
}
