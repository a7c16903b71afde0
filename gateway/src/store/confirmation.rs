//! Reads the configuration on demand, before a request is refused for good by the one in force.
//!
//! A gateway may have stood still, so neither the age of its last read nor what peers said tells whether
//! its configuration is still the newest. Only a read that began after the request came does.

use crate::dialect::{Dialect, Offset, ReadOutcome, Topic};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::serve::reply::Refusal;
use event_listener::Event;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time for which a refusal waits for a read.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// Minimum time between two reads; refusals that come meanwhile share the next one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Reads of the configuration on demand.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    /// Whether a request waits for a read that has not begun.
    is_demanded: Cell<bool>,
    demanded: Event,
    finished: Event,
    /// Start of the last read, and whether it reached the end of the topic.
    last_read: Cell<Option<(Instant, bool)>>,
    /// Offset from which the next read continues.
    next_offset: Cell<Offset>,
}

impl Confirmations {
    /// Records how far the configuration has been read.
    pub(crate) fn set_next_offset(&self, next_offset: Offset) {
        self.next_offset.set(next_offset);
    }

    /// Waits for a read that begins after this call. Returns whether it reached the end of the topic.
    async fn wait(&self) -> bool {
        let asked_at = Instant::now();
        loop {
            let finished = self.finished.listen();
            if let Some((started_at, is_read)) = self.last_read.get()
                && started_at >= asked_at
            {
                return is_read;
            }
            self.is_demanded.set(true);
            self.demanded.notify(usize::MAX);
            finished.await;
        }
    }

    /// Waits until a read is needed, and records that it begins.
    async fn begin_read(&self) -> Instant {
        loop {
            let demanded = self.demanded.listen();
            if self.is_demanded.take() {
                return Instant::now();
            }
            demanded.await;
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Makes the reads until the process ends.
    pub(crate) async fn confirm_configuration(self: Rc<Self>) {
        let mut link = self.store_link();
        loop {
            let started_at = self.confirmations.begin_read().await;
            let from = self.confirmations.next_offset.get();
            let read = self.read(&mut link, Topic::Configuration, from, Duration::ZERO);
            let is_read = match read.await {
                Some(ReadOutcome::Records { records, end }) => {
                    self.apply_configuration(&records);
                    from + records.len() as Offset >= end
                }
                _ => false,
            };
            self.confirmations
                .last_read
                .set(Some((started_at, is_read)));
            self.confirmations.finished.notify(usize::MAX);
            crate::event!("configuration_checked", "read" => is_read,
                "version" => self.configuration_version(),
                "took_ms" => started_at.elapsed().as_millis());
            Timer::after(MIN_READ_INTERVAL).await;
        }
    }

    /// Returns what the newest configuration allows, or its refusal. A final refusal by the one in force
    /// is given only once the store has no newer one.
    pub(crate) async fn by_newest_configuration<T>(
        &self,
        attempt: impl Fn() -> Result<T, Refusal>,
    ) -> Result<T, Refusal> {
        match attempt() {
            Err(refusal) if refusal.is_final() => {
                if !self.is_newest_configuration().await {
                    return Err(self.refuse_unconfirmed());
                }
                attempt()
            }
            decided => decided,
        }
    }

    /// Reads the store. Returns whether the newest configuration is in force now.
    async fn is_newest_configuration(&self) -> bool {
        let confirmed = with_timeout(CONFIRM_TIMEOUT, self.confirmations.wait());
        confirmed.await.unwrap_or(false)
    }
}
