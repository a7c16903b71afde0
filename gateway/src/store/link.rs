//! Connections to the platform's store. Each task that calls it has its own.

#[cfg(test)]
mod tests;

use crate::dialect::StoreCall;
use crate::limits::MAX_STORE_ANSWER_BYTES;
use crate::net::{connect, io_with_timeout};
use crate::serve::http::{BodyDecoder, Connection};
use futures_lite::future;
use smallvec::SmallVec;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connection timeout, which allows for several round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time of continuous failures after which the store counts as lost. It is longer than the
/// detection and repetition of one lost packet or answer.
const LOST_AFTER: Duration = Duration::from_millis(900);

/// Minimum duration of an outage in which endpoints' entries may have expired. It is far below the
/// time after which silent endpoints are removed, because some are removed immediately.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(300);

/// Time after the store's recovery within which endpoints whose entries expired during the outage
/// register again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_100);

/// Interval between calls while the store is lost. One caller probes for all, because refused calls
/// have a cost too and hundreds of them delay the recovery of the store.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);

/// Time after a failed call for which a relay gets no more calls if there is another one.
const AVOID_RELAY_FOR: Duration = Duration::from_secs(1);

/// Availability of the store, as seen by all calls of this process.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    failing_since: Cell<Option<Instant>>,
    /// End of the last outage in which endpoints' entries may have expired.
    recovered_at: Cell<Option<Instant>>,
}

impl StoreHealth {
    /// Records an answer. Returns the duration of the outage if the store was lost.
    pub(crate) fn record_success(&self, now: Instant) -> Option<Duration> {
        let since = self.failing_since.take()?;
        let lost_for = now.saturating_duration_since(since);
        if lost_for >= MIN_EXPIRY_OUTAGE {
            self.recovered_at.set(Some(now));
        }
        (lost_for >= LOST_AFTER).then_some(lost_for)
    }

    /// Records a call that was refused or got no answer.
    pub(crate) fn record_failure(&self, now: Instant) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// Returns whether the last call failed.
    fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
    }

    /// Returns whether calls have failed for so long that new work must not rely on the store.
    pub(crate) fn is_lost(&self, now: Instant) -> bool {
        let since = self.failing_since.get();
        since.is_some_and(|since| now.saturating_duration_since(since) >= LOST_AFTER)
    }

    /// Returns the time until which an endpoint whose entry has expired may register again, or `None`
    /// if it must be removed now.
    ///
    /// The period starts at the store's recovery rather than when the entry was found missing. An
    /// endpoint that leaves after the recovery is therefore removed immediately or soon afterwards.
    pub(crate) fn grace_until(&self, now: Instant) -> Option<Instant> {
        let until = self.recovered_at.get()? + REREGISTRATION_GRACE;
        (until > now).then_some(until)
    }
}

/// The available paths to the store: its own address, and peers that relay calls to it.
#[derive(Debug)]
pub(crate) struct StorePaths {
    store: Cell<SocketAddr>,
    /// Whether calls to the store's own address fail.
    is_direct_lost: Cell<bool>,
    /// Time of the last answer from the store's own address.
    direct_answer_at: Cell<Option<Instant>>,
    /// Peers that recently reported that they reach the store.
    relays: RefCell<Vec<SocketAddr>>,
    /// Times at which calls to relays last failed, also of those that claim meanwhile not to reach the
    /// store.
    relay_failures: RefCell<HashMap<SocketAddr, Instant>>,
    health: StoreHealth,
    /// Earliest time of the next call while the store is lost.
    next_probe_at: Cell<Option<Instant>>,
    /// Notified when an answer ends a series of failures.
    recovered: event_listener::Event,
}

impl StorePaths {
    /// Creates the paths to a store that has not been called yet.
    pub(crate) fn new(store: SocketAddr) -> Self {
        Self {
            store: Cell::new(store),
            is_direct_lost: Cell::new(false),
            direct_answer_at: Cell::new(None),
            recovered: event_listener::Event::new(),
            relays: RefCell::default(),
            relay_failures: RefCell::default(),
            health: StoreHealth::default(),
            next_probe_at: Cell::new(None),
        }
    }

    /// Returns when the caller may probe a lost store, or when the store has recovered.
    async fn wait_for_probe_slot(&self) {
        while self.health.is_lost(Instant::now()) {
            let now = Instant::now();
            match self.next_probe_at.get() {
                Some(at) if at > now => {
                    let slot_timer = async {
                        Timer::at(at).await;
                    };
                    future::or(self.recovered(), slot_timer).await;
                }
                _ => {
                    self.next_probe_at.set(Some(now + PROBE_INTERVAL));
                    return;
                }
            }
        }
    }

    /// Availability of the store over any path.
    pub(crate) fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Whether the store answers at its own address.
    pub(crate) fn is_direct(&self) -> bool {
        !self.is_direct_lost.get()
    }

    /// Sets the store's own address.
    pub(crate) fn set_store(&self, store: SocketAddr) {
        self.store.set(store);
    }

    /// Returns whether the store's own address has answered, and has not failed since.
    pub(crate) fn has_reached_store(&self) -> bool {
        self.is_direct() && self.direct_answer_at.get().is_some()
    }

    /// Sets the peers that reach the store.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        let now = Instant::now();
        let mut failures = self.relay_failures.borrow_mut();
        failures.retain(|_, at| now.saturating_duration_since(*at) < AVOID_RELAY_FOR);
        self.relays.replace(relays);
    }

    /// Number of peers that may be called in place of the store.
    pub(crate) fn relay_count(&self) -> usize {
        self.relays.borrow().len()
    }

    /// Selects the address for the next call.
    fn next_address(&self) -> SocketAddr {
        let relays = self.relays.borrow();
        if self.is_direct() || relays.is_empty() {
            return self.store.get();
        }
        let now = Instant::now();
        let failures = self.relay_failures.borrow();
        let is_avoided = |relay: &SocketAddr| {
            let failed_at = failures.get(relay);
            failed_at.is_some_and(|at| now.saturating_duration_since(*at) < AVOID_RELAY_FOR)
        };
        let preferred: SmallVec<[SocketAddr; 16]> = relays
            .iter()
            .copied()
            .filter(|relay| !is_avoided(relay))
            .collect();
        let chosen = fastrand::choice(preferred.iter()).or_else(|| fastrand::choice(relays.iter()));
        chosen.copied().unwrap_or_else(|| self.store.get())
    }

    /// Waits until the store answers after a series of failures.
    pub(crate) async fn recovered(&self) {
        self.recovered.listen().await;
    }

    fn record_answer(&self, address: SocketAddr) {
        let now = Instant::now();
        if address == self.store.get() {
            self.direct_answer_at.set(Some(now));
            if self.is_direct_lost.replace(false) {
                crate::event!("store_direct");
                self.recovered.notify(usize::MAX);
            }
        }
        let was_failing = self.health.is_failing();
        if let Some(lost_for) = self.health.record_success(now) {
            crate::event!("store_regained", "lost_for_ms" => lost_for.as_millis());
        }
        if was_failing {
            self.recovered.notify(usize::MAX);
        }
    }

    /// Records a failed call, unless the store's own address has answered another call since this
    /// one started.
    fn record_failure(&self, address: SocketAddr, started_at: Instant) {
        let is_direct_call = address == self.store.get();
        let answered_at = self.direct_answer_at.get();
        if is_direct_call && answered_at.is_some_and(|at| at > started_at) {
            return;
        }
        if is_direct_call && !self.is_direct_lost.replace(true) {
            crate::event!("store_not_direct", "relays" => self.relays.borrow().len());
        }
        let now = Instant::now();
        if self.relays.borrow().contains(&address) {
            self.relay_failures.borrow_mut().insert(address, now);
        }
        self.health.record_failure(now);
    }
}

/// A connection to the store, which is reopened after each failure.
#[derive(Debug)]
pub(crate) struct StoreLink {
    paths: Rc<StorePaths>,
    /// Whether calls go only to the store's own address.
    is_direct_only: bool,
    /// Whether the last call was interrupted by a recovery. The next one is not, since other calls
    /// may fail and succeed in turn faster than the store answers.
    was_interrupted: bool,
    idle: Option<(SocketAddr, Connection)>,
}

impl StoreLink {
    /// Creates a link that the first call opens.
    pub(crate) fn new(paths: Rc<StorePaths>) -> Self {
        Self {
            paths,
            is_direct_only: false,
            was_interrupted: false,
            idle: None,
        }
    }

    /// Creates a link that never uses a relay.
    pub(crate) fn direct(paths: Rc<StorePaths>) -> Self {
        Self {
            is_direct_only: true,
            ..Self::new(paths)
        }
    }

    /// Makes a call. Returns the status and body of the answer.
    ///
    /// After an error, the store may have executed the call or may still execute it later.
    pub(crate) async fn call(
        &mut self,
        call: &StoreCall,
        timeout: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        if !self.is_direct_only {
            self.paths.wait_for_probe_slot().await;
        }
        let address = if self.is_direct_only {
            self.paths.store.get()
        } else {
            self.paths.next_address()
        };
        // Taken out so that a cancelled call does not leave a connection with a pending answer
        // behind.
        let idle = self
            .idle
            .take()
            .filter(|(idle_address, _)| *idle_address == address);
        let connection = idle.and_then(|(_, connection)| {
            // Answers name no call, so that unread bytes would be taken for this call's answer.
            let is_reusable = connection.is_reusable();
            if !is_reusable {
                crate::event!("store_connection_dropped", "address" => address.to_string());
            }
            is_reusable.then_some(connection)
        });
        let started_at = Instant::now();
        // A connection from before the recovery may stay silent forever. Calls that are made for peers
        // are not interrupted: their links are too short-lived to remember an interruption, and peers
        // give up silent calls themselves.
        let may_interrupt = !self.was_interrupted && !self.is_direct_only;
        let reconnect = async {
            if !may_interrupt {
                future::pending::<()>().await;
            }
            self.paths.recovered().await;
            Err(io::ErrorKind::Interrupted.into())
        };
        let answer = future::or(exchange(address, connection, call), reconnect);
        let answer = io_with_timeout(timeout, answer).await;
        let error_kind = answer.as_ref().err().map(io::Error::kind);
        self.was_interrupted = error_kind == Some(io::ErrorKind::Interrupted);
        match answer {
            Ok((status, body, connection)) => {
                self.idle = connection.map(|connection| (address, connection));
                if is_refusal(status) {
                    self.paths.record_failure(address, started_at);
                    crate::event!("store_call_refused", "address" => address.to_string(),
                        "target" => call.target.as_str(), "status" => status);
                } else {
                    self.paths.record_answer(address);
                }
                Ok((status, body))
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                crate::event!("store_call_interrupted", "address" => address.to_string(),
                    "target" => call.target.as_str(),
                    "after_ms" => started_at.elapsed().as_millis());
                Err(error)
            }
            Err(error) => {
                self.paths.record_failure(address, started_at);
                crate::event!("store_call_failed", "address" => address.to_string(),
                    "target" => call.target.as_str(), "error" => error.to_string(),
                    "after_ms" => started_at.elapsed().as_millis());
                Err(error)
            }
        }
    }
}

/// Returns whether a status means that the store did not execute the call but may accept it later.
pub(crate) fn is_refusal(status: u16) -> bool {
    status >= 500 || status == 429
}

/// Makes a call on a connection, or on a new one. Returns the status and body of the answer, and the
/// connection if it can be used again.
pub(crate) async fn exchange(
    address: SocketAddr,
    connection: Option<Connection>,
    call: &StoreCall,
) -> io::Result<(u16, Vec<u8>, Option<Connection>)> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection::new(io_with_timeout(CONNECT_TIMEOUT, connect(address)).await?),
    };
    let mut request = format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n",
        call.method,
        call.target,
        call.body.len()
    )
    .into_bytes();
    request.extend_from_slice(&call.body);
    connection.write_all(&request).await?;
    let head = connection.read_response().await?;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    while !decoder.is_done() {
        let read = connection.read_body(&mut decoder, &mut body).await;
        read.map_err(|error| io::Error::other(error.to_string()))?;
        if body.len() > MAX_STORE_ANSWER_BYTES {
            crate::event!("store_answer_too_large", "address" => address.to_string(),
                "status" => head.status);
            return Err(io::ErrorKind::FileTooLarge.into());
        }
    }
    let is_clean = head.keep_alive && connection.unread().is_empty();
    Ok((head.status, body, is_clean.then_some(connection)))
}
