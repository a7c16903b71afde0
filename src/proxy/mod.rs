//! A TCP proxy that injects faults, for tests and the demo.

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

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// A way through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowDirection {
    /// From the one that dialled.
    Request,
    /// To the one that dialled.
    Answer,
}

/// Faults in force.
#[derive(Debug)]
struct Faults {
    target: SocketAddr,
    refuse: bool,
    /// Delays of the two directions; each connection draws its own for every chunk, so that
    /// connections overtake each other.
    request_delay: Range<Duration>,
    answer_delay: Range<Duration>,
    /// So many answers are dropped and their connections cut.
    lose_answers: u32,
    rng: fastrand::Rng,
    connections: Vec<Weak<Connection>>,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    /// Chunks are swallowed, by direction.
    silent_request: AtomicBool,
    silent_answer: AtomicBool,
    /// Dropping the sender ends the connection.
    cut: Mutex<Option<Sender<Infallible>>>,
    over: Receiver<Infallible>,
}

/// A running proxy on a loopback port. Dropping it cuts everything.
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
    faults: Arc<Mutex<Faults>>,
    accept: Option<smol::Task<()>>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a port that the system chooses.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(Faults {
            target,
            refuse: false,
            request_delay: Duration::ZERO..Duration::ZERO,
            answer_delay: Duration::ZERO..Duration::ZERO,
            lose_answers: 0,
            rng: fastrand::Rng::with_seed(seed),
            connections: Vec::new(),
        }));
        let accept = smol::spawn(accept_all(listener, Arc::clone(&faults)));
        Ok(Self {
            address,
            faults,
            accept: Some(accept),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        lock(&self.faults).target = target;
    }

    /// Closes new connections at once while `true`.
    pub fn refuse(&self, refuse: bool) {
        lock(&self.faults).refuse = refuse;
    }

    /// Cuts every open connection.
    pub fn cut(&self) {
        for connection in self.open() {
            connection.end();
        }
    }

    /// Open connections swallow what comes, for good; new ones work.
    pub fn silence(&self) {
        self.silence_direction(FlowDirection::Request);
        self.silence_direction(FlowDirection::Answer);
    }

    /// As [`Self::silence`], one way only.
    pub fn silence_direction(&self, direction: FlowDirection) {
        for connection in self.open() {
            connection.silent(direction).store(true, Ordering::Relaxed);
        }
    }

    /// Delays every chunk of a direction by a random time.
    pub fn delay(&self, direction: FlowDirection, delay: Range<Duration>) {
        let mut faults = lock(&self.faults);
        match direction {
            FlowDirection::Request => faults.request_delay = delay,
            FlowDirection::Answer => faults.answer_delay = delay,
        }
    }

    /// Drops the next `count` answers after their requests went through, and cuts the connections.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.faults).lose_answers = count;
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open().len()
    }

    fn open(&self) -> Vec<Arc<Connection>> {
        let mut faults = lock(&self.faults);
        faults
            .connections
            .retain(|connection| connection.strong_count() > 0);
        faults
            .connections
            .iter()
            .filter_map(Weak::upgrade)
            .collect()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        drop(self.accept.take());
        self.cut();
    }
}

impl Connection {
    fn new() -> Self {
        let (cut, over) = async_channel::bounded(1);
        Self {
            silent_request: AtomicBool::new(false),
            silent_answer: AtomicBool::new(false),
            cut: Mutex::new(Some(cut)),
            over,
        }
    }

    fn silent(&self, direction: FlowDirection) -> &AtomicBool {
        match direction {
            FlowDirection::Request => &self.silent_request,
            FlowDirection::Answer => &self.silent_answer,
        }
    }

    fn end(&self) {
        lock(&self.cut).take();
    }
}

async fn accept_all(listener: TcpListener, faults: Arc<Mutex<Faults>>) {
    while let Ok((stream, _)) = listener.accept().await {
        if lock(&faults).refuse {
            continue;
        }
        smol::spawn(carry(stream, Arc::clone(&faults))).detach();
    }
}

/// Carries one connection until either end closes it or it is cut.
async fn carry(near: TcpStream, faults: Arc<Mutex<Faults>>) {
    let target = lock(&faults).target;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let connection = Arc::new(Connection::new());
    lock(&faults).connections.push(Arc::downgrade(&connection));
    let cut = async {
        let _ = connection.over.recv().await;
    };
    let requests = pump(
        near.clone(),
        far.clone(),
        FlowDirection::Request,
        &connection,
        &faults,
    );
    let answers = pump(far, near, FlowDirection::Answer, &connection, &faults);
    let both = smol::future::zip(requests, answers);
    async {
        both.await;
    }
    .or(cut)
    .await;
}

/// Copies one direction.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: FlowDirection,
    connection: &Connection,
    faults: &Mutex<Faults>,
) {
    let mut buf = vec![0; READ_BYTES];
    loop {
        let len = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(len) => len,
        };
        if direction == FlowDirection::Answer && lock(faults).take_answer() {
            connection.end();
            return;
        }
        let delay = lock(faults).draw_delay(direction);
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        if connection.silent(direction).load(Ordering::Relaxed) {
            continue;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    if connection.silent(direction).load(Ordering::Relaxed) {
        // A silent connection says nothing of its end either.
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

impl Faults {
    fn draw_delay(&mut self, direction: FlowDirection) -> Duration {
        let range = match direction {
            FlowDirection::Request => &self.request_delay,
            FlowDirection::Answer => &self.answer_delay,
        };
        let spread = range.end.saturating_sub(range.start);
        range.start + spread.mul_f64(self.rng.f64())
    }

    /// Whether the answer is to be dropped.
    fn take_answer(&mut self) -> bool {
        let lose = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lose
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
