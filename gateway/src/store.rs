//! Connection to the platform's store; each task that calls it has one of its own.

#[cfg(test)]
mod tests;

use crate::dialect::StoreCall;
use crate::http::{BodyDecoder, Wire};
use crate::net::{connect, within};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time to connect; several round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long calls may fail before the store counts as lost: longer than one lost packet or
/// answer takes to be noticed and repeated.
const LOST_AFTER: Duration = Duration::from_millis(900);

/// How long calls must have failed for entries to lapse meanwhile; far below the time after which
/// silent endpoints are dropped, since some are dropped at once.
const LAPSE_AFTER: Duration = Duration::from_millis(300);

/// How long after its return entries that lapsed while the store was lost come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// Whether the store answers, as all calls of this process see it.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Cell<Option<Instant>>,
    /// End of the last spell of failures in which entries may have lapsed.
    regained_at: Cell<Option<Instant>>,
}

impl StoreHealth {
    /// Notes an answer; returns how long the store had been lost, if it had been.
    pub(crate) fn succeeded(&self, now: Instant) -> Option<Duration> {
        let since = self.failing_since.take()?;
        let lost_for = now.saturating_duration_since(since);
        if lost_for >= LAPSE_AFTER {
            self.regained_at.set(Some(now));
        }
        (lost_for >= LOST_AFTER).then_some(lost_for)
    }

    /// Notes a call without an answer or a refused one.
    pub(crate) fn failed(&self, now: Instant) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// Tells whether calls have failed for so long that new work should not rely on the store.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let since = self.failing_since.get();
        since.is_some_and(|since| now.saturating_duration_since(since) >= LOST_AFTER)
    }

    /// Returns until when an entry that vanished may come back by itself; `None` if it is gone.
    ///
    /// The time runs from the store's return, not from when the entry was missed: whoever leaves
    /// after the return is gone at once, or soon after.
    pub(crate) fn doubtful_until(&self, now: Instant) -> Option<Instant> {
        let until = self.regained_at.get()? + LAPSE_GRACE;
        (until > now).then_some(until)
    }
}

/// One connection to the store, opened anew after each failure.
#[derive(Debug)]
pub(crate) struct StoreLink {
    address: Rc<Cell<SocketAddr>>,
    health: Rc<StoreHealth>,
    wire: Option<Wire>,
}

impl StoreLink {
    /// Makes a link that is opened by the first call.
    pub(crate) fn new(address: Rc<Cell<SocketAddr>>, health: Rc<StoreHealth>) -> Self {
        Self {
            address,
            health,
            wire: None,
        }
    }

    /// Makes a call; returns status and body of the answer.
    ///
    /// After an error the call may have been executed, or may be executed later.
    pub(crate) async fn call(
        &mut self,
        call: &StoreCall,
        timeout: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        // Taken out, so that a call that is dropped midway leaves no connection behind.
        let wire = self.wire.take();
        let answer = within(timeout, exchange(self.address.get(), wire, call)).await;
        match answer {
            Ok((status, body, wire)) => {
                self.wire = wire;
                let is_refused = status >= 500 || status == 429;
                if is_refused {
                    self.health.failed(Instant::now());
                } else if let Some(lost_for) = self.health.succeeded(Instant::now()) {
                    crate::event!("store_regained", "lost_for_ms" => lost_for.as_millis());
                }
                Ok((status, body))
            }
            Err(error) => {
                self.health.failed(Instant::now());
                crate::event!("store_call_failed",
                    "target" => call.target.as_str(), "error" => error.to_string());
                Err(error)
            }
        }
    }
}

async fn exchange(
    address: SocketAddr,
    wire: Option<Wire>,
    call: &StoreCall,
) -> io::Result<(u16, Vec<u8>, Option<Wire>)> {
    let mut wire = match wire {
        Some(wire) => wire,
        None => Wire::new(within(CONNECT_TIMEOUT, connect(address)).await?),
    };
    let mut request = format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n",
        call.method,
        call.target,
        call.body.len()
    )
    .into_bytes();
    request.extend_from_slice(&call.body);
    wire.write_all(&request).await?;
    let head = wire.read_response().await?;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    while !decoder.is_done() {
        let read = wire.read_body(&mut decoder, &mut body).await;
        read.map_err(|error| io::Error::other(error.to_string()))?;
    }
    let is_clean = head.keep_alive && wire.unread().is_empty();
    Ok((head.status, body, is_clean.then_some(wire)))
}
