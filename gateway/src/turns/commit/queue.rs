//! Records that wait for the next append.
//!
//! A record that may wait is sent together with one that must not. Each call to the store has a
//! cost, and the calls of a partition run one after another.

use crate::dialect::Offset;
use futures_lite::future;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of records per append. Their size is far below the store's limit per call.
pub(super) const MAX_APPEND_RECORDS: usize = 256;

/// Maximum size of an append, half of what the store accepts per call.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Maximum size of the queue, which corresponds to a few seconds of turns on a busy gateway.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// A queued record.
pub(super) struct QueuedRecord {
    pub(super) key: String,
    pub(super) value: Option<Vec<u8>>,
    /// Latest time at which the record must be sent.
    due: Instant,
    /// Receives the offset of the record.
    pub(super) offset_sender: Option<async_channel::Sender<Offset>>,
}

impl QueuedRecord {
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Queued records in order of arrival.
#[derive(Default)]
pub(super) struct CommitQueue {
    records: RefCell<VecDeque<QueuedRecord>>,
    /// Total size of `records`.
    bytes: Cell<usize>,
    changed: event_listener::Event,
}

impl CommitQueue {
    /// Queues a record that may wait for others, at most for `delay`.
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

    /// Waits until a record is due. Returns the queued records, up to the limits of one append.
    pub(super) async fn next_batch(&self) -> Vec<QueuedRecord> {
        loop {
            let listener = self.changed.listen();
            let due = self.records.borrow().iter().map(|record| record.due).min();
            match due {
                Some(due) if due <= Instant::now() => return self.take_batch(),
                Some(due) => {
                    let due_timer = async {
                        Timer::at(due).await;
                    };
                    future::or(listener, due_timer).await;
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
