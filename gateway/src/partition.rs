//! One partition of the turns' topic: how far it has been read, and the records on their way to it.
//!
//! All records of a program stand in one partition, so that its order decides on the program's
//! budget. A partition executes one append after the other; several of them keep the wait short
//! where many gateways append.

use crate::commit::Committer;
use crate::dialect::{Dialect, Offset, PartitionNumber, Topic};
use futures_lite::future;
use smol::Timer;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Partitions of the topic. At 3 ms an append and two records a turn, four take some 600 turns a
/// second; each costs every gateway reads. The same at all gateways, always.
pub(crate) const PARTITIONS: PartitionNumber = 4;

/// The partition of a program's records.
pub(crate) fn partition_of(program: &str) -> PartitionNumber {
    // The hasher has fixed keys: all gateways of a version agree.
    let mut hasher = DefaultHasher::new();
    program.hash(&mut hasher);
    (hasher.finish() % u64::from(PARTITIONS)) as PartitionNumber
}

/// A partition as one gateway sees it.
pub(crate) struct Partition<D> {
    number: PartitionNumber,
    /// Records of this gateway that wait for the store.
    pub(crate) committer: Committer<D>,
    /// Offset of the next record to fold; all before it have been folded.
    position: Cell<Offset>,
    /// Number of the newest read.
    begun: Cell<u64>,
    /// The highest number of a read that reached the end.
    reached: Cell<u64>,
    is_wanted: Cell<bool>,
    wanted: event_listener::Event,
    advanced: event_listener::Event,
}

impl<D: Dialect> Partition<D> {
    /// Makes a partition of which nothing has been read.
    pub(crate) fn new(number: PartitionNumber) -> Self {
        Self {
            number,
            committer: Committer::new(Topic::Turns(number)),
            position: Cell::new(0),
            begun: Cell::new(0),
            reached: Cell::new(0),
            is_wanted: Cell::new(false),
            wanted: event_listener::Event::new(),
            advanced: event_listener::Event::new(),
        }
    }

    pub(crate) fn topic(&self) -> Topic {
        Topic::Turns(self.number)
    }

    /// Whether all that it held at some time has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.reached.get() > 0
    }

    /// Offset of the next record to fold.
    pub(crate) fn position(&self) -> Offset {
        self.position.get()
    }

    /// Notes that all records before an offset have been folded.
    pub(crate) fn advance(&self, position: Offset) {
        self.position.set(self.position.get().max(position));
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

    /// Asks for a read that begins from now on; returns its number.
    pub(crate) fn want_all(&self) -> u64 {
        self.want();
        self.begun.get() + 1
    }

    /// Waits until a read of at least this number has reached the end.
    pub(crate) async fn reached_end(&self, due: u64) {
        while self.reached.get() < due {
            let listener = self.advanced.listen();
            self.want();
            listener.await;
        }
    }

    /// Waits until the record at an offset has been folded.
    pub(crate) async fn read_through(&self, offset: Offset) {
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
        let enough = async {
            Timer::after(limit).await;
        };
        future::or(listener, enough).await;
    }

    fn want(&self) {
        self.is_wanted.set(true);
        self.wanted.notify(usize::MAX);
    }
}
