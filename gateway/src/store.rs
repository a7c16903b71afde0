//! Connection to the platform's store; each task that calls it has one of its own.

#[cfg(test)]
mod tests;

use crate::dialect::StoreCall;
use crate::http::{BodyDecoder, Connection};
use crate::net::{connect, io_with_timeout};
use futures_lite::future;
use smol::Timer;
use std::cell::{Cell, RefCell};
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

/// Pause between two calls while the store is lost: one caller tries for all, since refused calls
/// cost too, and hundreds of them hold a store up that comes back.
const TRY_PAUSE: Duration = Duration::from_millis(60);

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

    /// Tells whether the last call failed.
    fn is_failing(&self) -> bool {
        self.failing_since.get().is_some()
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

/// The ways to the store: its own address, and other gateways that reach it.
#[derive(Debug)]
pub(crate) struct StoreWays {
    store: Cell<SocketAddr>,
    /// Set while calls at the store's own address fail.
    is_direct_lost: Cell<bool>,
    /// Last answer at the store's own address.
    direct_answer_at: Cell<Option<Instant>>,
    /// Gateways that said of late that they reach the store.
    relays: RefCell<Vec<SocketAddr>>,
    health: StoreHealth,
    /// When the next call may be made while the store is lost.
    next_try_at: Cell<Option<Instant>>,
    /// Told when an answer ends a spell of failures.
    regained: event_listener::Event,
}

impl StoreWays {
    /// Makes the ways to a store that has not been called yet.
    pub(crate) fn new(store: SocketAddr) -> Self {
        Self {
            store: Cell::new(store),
            is_direct_lost: Cell::new(false),
            direct_answer_at: Cell::new(None),
            regained: event_listener::Event::new(),
            relays: RefCell::default(),
            health: StoreHealth::default(),
            next_try_at: Cell::new(None),
        }
    }

    /// Waits for a caller's turn to try a store that is lost, or for its return.
    async fn turn_to_try(&self) {
        while self.health.is_lost(Instant::now()) {
            let now = Instant::now();
            match self.next_try_at.get() {
                Some(at) if at > now => {
                    let its_turn = async {
                        Timer::at(at).await;
                    };
                    future::or(self.regained(), its_turn).await;
                }
                _ => {
                    self.next_try_at.set(Some(now + TRY_PAUSE));
                    return;
                }
            }
        }
    }

    /// Whether the store answers, on any way.
    pub(crate) fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Whether the store answers at its own address.
    pub(crate) fn is_direct(&self) -> bool {
        !self.is_direct_lost.get()
    }

    /// Takes the store's own address.
    pub(crate) fn set_store(&self, store: SocketAddr) {
        self.store.set(store);
    }

    /// Takes the gateways that reach the store.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.relays.replace(relays);
    }

    /// Chooses where the next call goes.
    fn next_address(&self) -> SocketAddr {
        let relays = self.relays.borrow();
        if self.is_direct() || relays.is_empty() {
            return self.store.get();
        }
        relays[fastrand::usize(..relays.len())]
    }

    /// Waits until the store answers after a spell of failures.
    pub(crate) async fn regained(&self) {
        self.regained.listen().await;
    }

    fn answered(&self, address: SocketAddr) {
        let now = Instant::now();
        if address == self.store.get() {
            self.direct_answer_at.set(Some(now));
            if self.is_direct_lost.replace(false) {
                crate::event!("store_direct");
                self.regained.notify(usize::MAX);
            }
        }
        let was_failing = self.health.is_failing();
        if let Some(lost_for) = self.health.succeeded(now) {
            crate::event!("store_regained", "lost_for_ms" => lost_for.as_millis());
        }
        if was_failing {
            self.regained.notify(usize::MAX);
        }
    }

    /// Takes a call that failed, unless the way has answered another one since it began.
    fn failed(&self, address: SocketAddr, began_at: Instant) {
        let is_direct = address == self.store.get();
        let answered_at = self.direct_answer_at.get();
        if is_direct && answered_at.is_some_and(|at| at > began_at) {
            return;
        }
        if is_direct && !self.is_direct_lost.replace(true) {
            crate::event!("store_not_direct", "relays" => self.relays.borrow().len());
        }
        self.relays.borrow_mut().retain(|relay| *relay != address);
        self.health.failed(Instant::now());
    }
}

/// One connection to the store, opened anew after each failure.
#[derive(Debug)]
pub(crate) struct StoreLink {
    ways: Rc<StoreWays>,
    /// Whether only the store's own address is called.
    is_direct_only: bool,
    open: Option<(SocketAddr, Connection)>,
}

impl StoreLink {
    /// Makes a link that is opened by the first call.
    pub(crate) fn new(ways: Rc<StoreWays>) -> Self {
        Self {
            ways,
            is_direct_only: false,
            open: None,
        }
    }

    /// Makes a link that never goes over another gateway.
    pub(crate) fn direct(ways: Rc<StoreWays>) -> Self {
        Self {
            is_direct_only: true,
            ..Self::new(ways)
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
        if !self.is_direct_only {
            self.ways.turn_to_try().await;
        }
        let address = if self.is_direct_only {
            self.ways.store.get()
        } else {
            self.ways.next_address()
        };
        // Taken out, so that a call that is dropped midway leaves no connection behind.
        let open = self.open.take().filter(|(open, _)| *open == address);
        let connection = open.map(|(_, connection)| connection);
        let began_at = Instant::now();
        // A connection from before the store's return may stay silent for good.
        let begun_anew = async {
            self.ways.regained().await;
            Err(io::ErrorKind::Interrupted.into())
        };
        let answer = future::or(exchange(address, connection, call), begun_anew);
        match io_with_timeout(timeout, answer).await {
            Ok((status, body, connection)) => {
                self.open = connection.map(|connection| (address, connection));
                if is_refusal(status) {
                    self.ways.failed(address, began_at);
                    crate::event!("store_call_refused", "address" => address.to_string(),
                        "target" => call.target.as_str(), "status" => status);
                } else {
                    self.ways.answered(address);
                }
                Ok((status, body))
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Err(error),
            Err(error) => {
                self.ways.failed(address, began_at);
                crate::event!("store_call_failed", "address" => address.to_string(),
                    "target" => call.target.as_str(), "error" => error.to_string());
                Err(error)
            }
        }
    }
}

/// Tells whether a status means that the store did nothing, and may do it later.
fn is_refusal(status: u16) -> bool {
    status >= 500 || status == 429
}

async fn exchange(
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
    }
    let is_clean = head.keep_alive && connection.unread().is_empty();
    Ok((head.status, body, is_clean.then_some(connection)))
}
