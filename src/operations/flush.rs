//! Appends to the operations stream and follows it.

use super::{Operations, Pending, lock, unix_ms};
use crate::protocol::log::{Log, LogError, ReadLimit};
use crate::protocol::operations::{
    EventKind, OPERATIONS_STREAM, OperationsRecord, OperationsUpdate,
};
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum size of one read.
const READ_MAX_BYTES: usize = 4 << 20;

/// Longest interval between two checkpoints, so that a new entry has little to read.
const MAX_CHECKPOINT_INTERVAL_MS: u64 = 6 * 3600 * 1_000;

/// Smallest number of checkpoints within the retention time of the log.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// When a checkpoint is due, an entry writes it at each flush with a probability of one in this
/// number, so that several entries rarely write at the same time.
const CHECKPOINT_ODDS: usize = 8;

/// Shortest outage of the log that is recorded as an event.
const MIN_OUTAGE: Duration = Duration::from_secs(2);

impl<L: Log> Operations<L> {
    /// Appends records and follows the stream until the future is dropped.
    pub(crate) async fn run(self) {
        futures_lite::future::zip(self.clone().follow(), self.flush_periodically()).await;
    }

    /// Appends the pending counts and events. Also called at shutdown.
    pub(crate) async fn flush(&self) {
        self.clear_confirmed_update();
        let Some(update) = self.next_update() else {
            return;
        };
        if let Err(error) = self.append(&OperationsRecord::Update(update)).await {
            log::debug!(target: "operations", "operations: cannot append the pending counts: {error}; retrying at the next flush");
        }
    }

    async fn flush_periodically(self) {
        loop {
            Timer::after(self.0.config.flush_interval).await;
            self.flush().await;
            self.write_due_checkpoint().await;
        }
    }

    async fn follow(self) {
        loop {
            self.follow_once().await;
        }
    }

    async fn follow_once(&self) {
        let read = lock(&self.0.tail).next_read();
        if read.pause > Duration::ZERO {
            Timer::after(read.pause).await;
        }
        let limit = ReadLimit {
            max_bytes: READ_MAX_BYTES,
            wait: read.wait,
        };
        let started_at = Instant::now();
        let page = self.0.log.read(OPERATIONS_STREAM, read.from, limit).await;
        let down = matches!(page, Err(LogError::Unavailable(_)));
        self.track_outage(down, started_at);
        let mut tail = lock(&self.0.tail);
        match page {
            Ok(page) => tail.on_page(&page),
            Err(error) => tail.on_error(&error),
        }
    }

    /// Tracks whether the log is unavailable; records an outage when it ends.
    fn track_outage(&self, down: bool, started_at: Instant) {
        let mut since = lock(&self.0.log_down_since);
        match (*since, down) {
            (None, true) => *since = Some(started_at),
            (Some(began), false) => {
                *since = None;
                drop(since);
                self.record_outage(began.elapsed());
            }
            _ => {}
        }
    }

    fn record_outage(&self, outage: Duration) {
        if outage < MIN_OUTAGE {
            return;
        }
        let down_ms = outage.as_millis() as u64;
        let began = self.event_at(unix_ms().saturating_sub(down_ms), EventKind::LogDown);
        lock(&self.0.pending).events.push(began);
        self.record_event(EventKind::LogUp { down_ms });
    }

    /// Clears the update in flight once it has been read back from the stream.
    fn clear_confirmed_update(&self) {
        let last_read = lock(&self.0.tail)
            .fold
            .last_sequence(&self.0.config.node, self.0.config.incarnation);
        let mut pending = lock(&self.0.pending);
        pending.in_flight = pending
            .in_flight
            .take()
            .filter(|update| update.sequence > last_read);
    }

    /// Returns the update in flight, to be sent again, or a new one with the pending data.
    fn next_update(&self) -> Option<OperationsUpdate> {
        let root = lock(&self.0.tail).fold.root();
        let mut pending = lock(&self.0.pending);
        if pending.in_flight.is_none() {
            pending.in_flight = self.take_pending(&mut pending, root);
        }
        pending.in_flight.clone()
    }

    fn take_pending(&self, pending: &mut Pending, root: u64) -> Option<OperationsUpdate> {
        let now_ms = unix_ms();
        for ((environment, code), count) in std::mem::take(&mut pending.refusals) {
            let kind = EventKind::Refusals {
                environment,
                code,
                count,
            };
            pending.events.push(self.event_at(now_ms, kind));
        }
        if pending.table.is_empty() && pending.events.is_empty() {
            return None;
        }
        pending.sequence += 1;
        Some(OperationsUpdate {
            node: self.0.config.node.clone(),
            incarnation: self.0.config.incarnation,
            sequence: pending.sequence,
            root,
            minutes: std::mem::take(&mut pending.table).minutes(),
            events: std::mem::take(&mut pending.events),
        })
    }

    async fn write_due_checkpoint(&self) {
        let Some(record) = self.due_checkpoint() else {
            return;
        };
        if let Err(error) = self.append(&record).await {
            log::warn!(target: "operations", "operations: cannot append the checkpoint: {error}; it is written again when due");
        }
    }

    fn due_checkpoint(&self) -> Option<OperationsRecord> {
        let tail = lock(&self.0.tail);
        let since_ms = match tail.fold.referenced_checkpoint() {
            Some(checkpoint) => checkpoint.at_ms,
            None => tail.fold.table().oldest_ms()?,
        };
        let interval_ms =
            MAX_CHECKPOINT_INTERVAL_MS.min(self.0.config.retention_ms / CHECKPOINTS_PER_RETENTION);
        let is_due = unix_ms().saturating_sub(since_ms) > interval_ms;
        if !is_due || !tail.is_following() || fastrand::usize(..CHECKPOINT_ODDS) != 0 {
            return None;
        }
        Some(OperationsRecord::Checkpoint {
            root: tail.fold.root(),
            image: tail.fold.image(),
        })
    }

    async fn append(&self, record: &OperationsRecord) -> Result<u64, LogError> {
        let mut data = Vec::new();
        if let Err(error) = ciborium::into_writer(record, &mut data) {
            return Err(LogError::Unavailable(error.to_string()));
        }
        self.0.log.append(OPERATIONS_STREAM, data).await
    }
}
