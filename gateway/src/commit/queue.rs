//! Records that wait for the next append.
//!
//! A record that may wait goes with one that must not: each call of the store is paid for, and in
//! a partition they go one after the other.

use crate::dialect::Offset;
use futures_lite::future;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Records in one append; the store's limit on a call's bytes is far above what they hold.
pub(super) const MAX_APPEND_RECORDS: usize = 256;

/// Bytes in one append; half of what the store takes in a call.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Bytes that may wait: some seconds of a busy gateway's turns.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// A record that waits.
pub(super) struct QueuedRecord {
    pub(super) key: String,
    pub(super) value: Option<Vec<u8>>,
    /// When it must be on its way at the latest.
    due: Instant,
    /// Who is told its place.
    pub(super) offset_sender: Option<async_channel::Sender<Offset>>,
}

impl QueuedRecord {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Waiting records in the order in which they came.
#[derive(Default)]
pub(super) struct CommitQueue {
    records: RefCell<VecDeque<QueuedRecord>>,
    /// Sum over `waiting`.
    bytes: Cell<usize>,
    changed: event_listener::Event,
}

impl CommitQueue {
    /// Adds a record that may wait for so long.
    pub(super) fn push(
        &self,
        key: String,
        value: Option<Vec<u8>>,
        delay: Duration,
        offset_sender: Option<async_channel::Sender<Offset>>,
    ) {
        let record = QueuedRecord {
            key,
            value,
            due: Instant::now() + delay,
            offset_sender,
        };
        self.bytes.set(self.bytes.get() + record.bytes());
        self.records.borrow_mut().push_back(record);
        self.changed.notify(usize::MAX);
    }

    pub(super) fn is_full(&self) -> bool {
        self.bytes.get() > MAX_QUEUED_BYTES
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    /// Waits until a record is due, and takes those that wait, as many as one append holds.
    pub(super) async fn next_batch(&self) -> Vec<QueuedRecord> {
        loop {
            let listener = self.changed.listen();
            let due = self.records.borrow().iter().map(|record| record.due).min();
            match due {
                Some(due) if due <= Instant::now() => return self.take_batch(),
                Some(due) => {
                    let is_due = async {
                        Timer::at(due).await;
                    };
                    future::or(listener, is_due).await;
                }
                None => listener.await,
            }
        }
    }

    fn take_batch(&self) -> Vec<QueuedRecord> {
        let mut records = self.records.borrow_mut();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = records.front() {
            let size = next.bytes();
            if batch.len() >= MAX_APPEND_RECORDS
                || !batch.is_empty() && bytes + size > MAX_APPEND_BYTES
            {
                break;
            }
            bytes += size;
            batch.extend(records.pop_front());
        }
        self.bytes.set(self.bytes.get() - bytes);
        batch
    }
}
