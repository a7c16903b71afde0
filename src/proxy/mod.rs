//! A TCP proxy that injects network faults, for tests and the demo.

#[cfg(test)]
mod tests;

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

/// Size of the read buffer.
const READ_BYTES: usize = 16 << 10;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Direction of the data through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowDirection {
    /// From the connecting side to the target.
    Request,
    /// From the target to the connecting side.
    Answer,
}

/// The current faults and the open connections.
#[derive(Debug)]
struct ProxyState {
    target: SocketAddr,
    refuse: bool,
    /// Delay ranges of the two directions. Each chunk has its own random delay, so that data on one
    /// connection can overtake data on another.
    request_delay: Range<Duration>,
    answer_delay: Range<Duration>,
    /// Number of further answers to drop; the connection of each is closed.
    lose_answers: u32,
    rng: fastrand::Rng,
    connections: Vec<Weak<Connection>>,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    /// Whether data is discarded, by direction.
    discards_requests: AtomicBool,
    discards_answers: AtomicBool,
    /// Dropping the sender closes the connection.
    close_tx: Mutex<Option<Sender<Infallible>>>,
    close_rx: Receiver<Infallible>,
}

/// A running proxy on a loopback port. Dropping it stops the proxy and closes all connections.
///
/// ```
/// use galenapick::{FaultProxy, FlowDirection};
/// use std::time::Duration;
///
/// smol::block_on(async {
///     let server = smol::net::TcpListener::bind("127.0.0.1:0").await?;
///     let proxy = FaultProxy::start(server.local_addr()?, 1).await?;
///     proxy.delay(FlowDirection::Answer, Duration::ZERO..Duration::from_millis(5));
///     proxy.silence();
///     assert_ne!(proxy.address(), server.local_addr()?);
///     std::io::Result::Ok(())
/// })?;
/// # std::io::Result::Ok(())
/// ```
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
    accept_task: Option<smol::Task<()>>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free port. `seed` determines the random delays.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ProxyState {
            target,
            refuse: false,
            request_delay: Duration::ZERO..Duration::ZERO,
            answer_delay: Duration::ZERO..Duration::ZERO,
            lose_answers: 0,
            rng: fastrand::Rng::with_seed(seed),
            connections: Vec::new(),
        }));
        let accept_task = smol::spawn(accept_all(listener, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            accept_task: Some(accept_task),
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the target of new connections.
    pub fn retarget(&self, target: SocketAddr) {
        lock(&self.state).target = target;
    }

    /// Sets whether new connections are closed immediately.
    pub fn refuse(&self, refuse: bool) {
        lock(&self.state).refuse = refuse;
    }

    /// Closes all open connections.
    pub fn cut(&self) {
        for connection in self.live_connections() {
            connection.close();
        }
    }

    /// Discards all further data of the open connections, in both directions. New connections are not
    /// affected.
    pub fn silence(&self) {
        self.silence_direction(FlowDirection::Request);
        self.silence_direction(FlowDirection::Answer);
    }

    /// Like [`Self::silence`], in one direction only.
    pub fn silence_direction(&self, direction: FlowDirection) {
        for connection in self.live_connections() {
            connection
                .discard_flag(direction)
                .store(true, Ordering::Relaxed);
        }
    }

    /// Delays each chunk of a direction by a random time from the range.
    pub fn delay(&self, direction: FlowDirection, delay: Range<Duration>) {
        let mut state = lock(&self.state);
        match direction {
            FlowDirection::Request => state.request_delay = delay,
            FlowDirection::Answer => state.answer_delay = delay,
        }
    }

    /// Drops the next `count` answers, whose requests have reached the target, and closes their
    /// connections.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.state).lose_answers = count;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.live_connections().len()
    }

    fn live_connections(&self) -> Vec<Arc<Connection>> {
        let mut state = lock(&self.state);
        state
            .connections
            .retain(|connection| connection.strong_count() > 0);
        state.connections.iter().filter_map(Weak::upgrade).collect()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        drop(self.accept_task.take());
        self.cut();
    }
}

impl Connection {
    fn new() -> Self {
        let (close_tx, close_rx) = async_channel::bounded(1);
        Self {
            discards_requests: AtomicBool::new(false),
            discards_answers: AtomicBool::new(false),
            close_tx: Mutex::new(Some(close_tx)),
            close_rx,
        }
    }

    fn discard_flag(&self, direction: FlowDirection) -> &AtomicBool {
        match direction {
            FlowDirection::Request => &self.discards_requests,
            FlowDirection::Answer => &self.discards_answers,
        }
    }

    fn close(&self) {
        lock(&self.close_tx).take();
    }
}

async fn accept_all(listener: TcpListener, state: Arc<Mutex<ProxyState>>) {
    loop {
        match listener.accept().await {
            Ok(_) if lock(&state).refuse => {}
            Ok((stream, _)) => smol::spawn(forward(stream, Arc::clone(&state))).detach(),
            Err(error) => {
                log::warn!(target: "proxy", "proxy: failed to accept a connection: {error}; retrying after a pause");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Forwards one connection until both ends or the proxy close it.
async fn forward(client: TcpStream, state: Arc<Mutex<ProxyState>>) {
    let target = lock(&state).target;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let connection = Arc::new(Connection::new());
    lock(&state).connections.push(Arc::downgrade(&connection));
    let closed = async {
        let _ = connection.close_rx.recv().await;
    };
    let requests = copy(
        client.clone(),
        server.clone(),
        FlowDirection::Request,
        &connection,
        &state,
    );
    let answers = copy(server, client, FlowDirection::Answer, &connection, &state);
    let both = smol::future::zip(requests, answers);
    async {
        both.await;
    }
    .or(closed)
    .await;
}

/// Copies the data of one direction, with the current faults.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: FlowDirection,
    connection: &Connection,
    state: &Mutex<ProxyState>,
) {
    let mut buf = vec![0; READ_BYTES];
    loop {
        let len = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        if direction == FlowDirection::Answer && lock(state).drop_next_answer() {
            connection.close();
            return;
        }
        let delay = lock(state).random_delay(direction);
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        if connection.discard_flag(direction).load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    if connection.discard_flag(direction).load(Ordering::Relaxed) {
        // A silent connection does not forward the end of the stream either.
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

impl ProxyState {
    fn random_delay(&mut self, direction: FlowDirection) -> Duration {
        let range = match direction {
            FlowDirection::Request => &self.request_delay,
            FlowDirection::Answer => &self.answer_delay,
        };
        let spread = range.end.saturating_sub(range.start);
        range.start + spread.mul_f64(self.rng.f64())
    }

    /// Tells whether to drop an answer, and counts it.
    fn drop_next_answer(&mut self) -> bool {
        let is_dropped = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_dropped
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
