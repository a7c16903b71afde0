//! Appending to the operations stream and following it.

use super::{Operations, Pending, lock, unix_ms};
use crate::protocol::log::{Log, LogError, ReadLimit};
use crate::protocol::operations::{
    EventKind, OPERATIONS_STREAM, OperationsRecord, OperationsUpdate,
};
use smol::Timer;
use std::time::{Duration, Instant};

/// Bytes of one read.
const READ_MAX_BYTES: usize = 4 << 20;

/// Everything is carried over at least this often, so that a new entry reads little.
const CARRY_MAX_MS: u64 = 6 * 3600 * 1_000;

/// Parts of the retention after which everything is carried over again.
const CARRY_RETENTION_PARTS: u64 = 4;

/// One entry of so many carries over at each look, so that they rarely do it together.
const CARRY_ODDS: usize = 8;

/// The log counts as down after so long without an answer.
const DOWN_AFTER: Duration = Duration::from_secs(2);

impl<L: Log> Operations<L> {
    /// Appends and follows until it is dropped.
    pub(crate) async fn run(self) {
        futures_lite::future::zip(self.clone().follow(), self.flush_often()).await;
    }

    /// Appends what is pending. Called once more at shutdown.
    pub(crate) async fn flush(&self) {
        self.settle_in_flight();
        let Some(news) = self.next_news() else {
            return;
        };
        if let Err(error) = self.append(&OperationsRecord::Update(news)).await {
            log::debug!(target: "operations", "operations: not appended: {error}");
        }
    }

    async fn flush_often(self) {
        loop {
            Timer::after(self.0.config.flush_interval).await;
            self.flush().await;
            self.carry_over().await;
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
        let asked_at = Instant::now();
        let page = self.0.log.read(OPERATIONS_STREAM, read.from, limit).await;
        let down = matches!(page, Err(LogError::Unavailable(_)));
        self.note_log(down, asked_at);
        let mut tail = lock(&self.0.tail);
        match page {
            Ok(page) => tail.on_page(&page),
            Err(error) => tail.on_error(&error),
        }
    }

    /// Records the beginning and the end of an outage.
    fn note_log(&self, down: bool, asked_at: Instant) {
        let mut since = lock(&self.0.log_down_since);
        match (*since, down) {
            (None, true) => *since = Some(asked_at),
            (Some(began), false) => {
                *since = None;
                drop(since);
                self.note_outage(began.elapsed());
            }
            _ => {}
        }
    }

    fn note_outage(&self, lasted: Duration) {
        if lasted < DOWN_AFTER {
            return;
        }
        let down_ms = lasted.as_millis() as u64;
        let began = self.event_at(unix_ms().saturating_sub(down_ms), EventKind::LogDown);
        lock(&self.0.pending).events.push(began);
        self.event(EventKind::LogUp { down_ms });
    }

    /// Forgets the record in flight once the fold has met it.
    fn settle_in_flight(&self) {
        let met = lock(&self.0.tail)
            .fold
            .last_sequence(&self.0.config.node, self.0.config.incarnation);
        let mut pending = lock(&self.0.pending);
        pending.in_flight = pending.in_flight.take().filter(|news| news.sequence > met);
    }

    /// Returns the record in flight to be sent again, or a new one of what is pending.
    fn next_news(&self) -> Option<OperationsUpdate> {
        let root = lock(&self.0.tail).fold.root();
        let mut pending = lock(&self.0.pending);
        if pending.in_flight.is_none() {
            pending.in_flight = self.collect(&mut pending, root);
        }
        pending.in_flight.clone()
    }

    fn collect(&self, pending: &mut Pending, root: u64) -> Option<OperationsUpdate> {
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

    async fn carry_over(&self) {
        let Some(record) = self.due_carry_over() else {
            return;
        };
        if let Err(error) = self.append(&record).await {
            log::warn!(target: "operations", "operations: not carried over: {error}");
        }
    }

    fn due_carry_over(&self) -> Option<OperationsRecord> {
        let tail = lock(&self.0.tail);
        let since_ms = match tail.fold.referenced_checkpoint() {
            Some(named) => named.at_ms,
            None => tail.fold.table().oldest_ms()?,
        };
        let every_ms = CARRY_MAX_MS.min(self.0.config.retention_ms / CARRY_RETENTION_PARTS);
        let due = unix_ms().saturating_sub(since_ms) > every_ms;
        if !due || !tail.is_following() || fastrand::usize(..CARRY_ODDS) != 0 {
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
