//! Links: one connection between two processes that carries requests in both directions.
//!
//! Each request opens a stream of events that ends with one reply. Each stream has its own
//! credit-based flow control, so that a slow reader stalls only its own stream. An end that receives
//! nothing for [`LinkTiming::silence_timeout`] treats the link as failed and closes it.

mod connection;
mod exchange;
#[cfg(test)]
mod tests;
mod traffic;

pub(crate) use connection::{Context, accept, dial};
pub(crate) use exchange::{Exchange, Inbound, RequesterGone, Responder};
pub(crate) use traffic::Traffic;

use crate::transport::handshake::Remote;
use async_channel::Sender;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Flow-control window of a stream: events that may be in flight before the reader grants more.
const WINDOW_EVENTS: u32 = 64;

/// Largest encoded frame that an end sends.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// The message types that a link carries.
pub(crate) trait Protocol: Send + Sync + 'static {
    /// Opens a stream.
    type Request: Serialize + DeserializeOwned + Send + 'static;
    /// One message of a response, sent before its reply.
    type Event: Serialize + DeserializeOwned + Send + 'static;
    /// The last message of a response.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// Handles requests from the other end of a link.
pub(crate) trait RequestHandler<P: Protocol>: Clone + Send + Sync + 'static {
    /// Handles one request and sends the response through `responder`.
    fn handle(
        &self,
        from: Remote,
        request: P::Request,
        responder: Responder<P>,
    ) -> impl Future<Output = ()> + Send;
}

/// Heartbeat intervals and timeouts of a link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkTiming {
    /// Time without outgoing messages after which an end sends a heartbeat, while a stream is open.
    pub(crate) heartbeat_interval: Duration,
    /// Time without incoming messages after which an end closes the link, while a stream is open.
    pub(crate) silence_timeout: Duration,
    /// While no stream is open, `heartbeat_interval` is multiplied by this factor and
    /// `silence_timeout` by half of it.
    pub(crate) idle_factor: u32,
    /// Longest back-off after failed dials.
    pub(crate) max_redial_backoff: Duration,
    /// Time limit for connecting and the handshake together.
    pub(crate) connect_timeout: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(2_000),
            idle_factor: 8,
            max_redial_backoff: Duration::from_secs(2),
            connect_timeout: Duration::from_millis(1_000),
        }
    }
}

/// The reason why an exchange ended without a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// The link could not be opened; nothing was sent.
    Unreachable(String),
    /// The link broke after it had accepted the request; the request may have been handled.
    Broken,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::Broken => write!(f, "link broke"),
        }
    }
}

impl std::error::Error for LinkError {}

#[derive(Serialize, Deserialize)]
enum Frame<Q, E, R> {
    Open {
        stream: u64,
        request: Q,
    },
    Event {
        stream: u64,
        sequence: u32,
        event: E,
    },
    Reply {
        stream: u64,
        sequence: u32,
        reply: R,
    },
    Credit {
        stream: u64,
        events: u32,
    },
    Reset {
        stream: u64,
    },
    Heartbeat,
}

type FrameOf<P> = Frame<<P as Protocol>::Request, <P as Protocol>::Event, <P as Protocol>::Reply>;

/// A stream that this end opened.
///
/// Invariant: `sequence` is the number of messages received; a message out of sequence breaks the
/// link.
struct LocalStream<P: Protocol> {
    tx: Sender<Inbound<P>>,
    sequence: u32,
}

/// State that the tasks and the streams of one link share.
struct Shared<P: Protocol> {
    remote: Remote,
    outgoing: Sender<Vec<u8>>,
    next_stream: AtomicU64,
    local_streams: Mutex<HashMap<u64, LocalStream<P>>>,
    remote_streams: Mutex<HashMap<u64, Sender<u32>>>,
    last_received: Mutex<Instant>,
}

impl<P: Protocol> Shared<P> {
    fn local_streams(&self) -> MutexGuard<'_, HashMap<u64, LocalStream<P>>> {
        self.local_streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn remote_streams(&self) -> MutexGuard<'_, HashMap<u64, Sender<u32>>> {
        self.remote_streams
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, frame: &FrameOf<P>) -> Result<(), LinkError> {
        let mut buf = Vec::with_capacity(128);
        if ciborium::into_writer(frame, &mut buf).is_err() || buf.len() > MAX_FRAME_BYTES {
            return Err(LinkError::Unreachable("message too large".to_string()));
        }
        self.outgoing.try_send(buf).map_err(|_| LinkError::Broken)
    }

    /// Tells whether a stream is open in either direction.
    fn is_active(&self) -> bool {
        !self.local_streams().is_empty() || !self.remote_streams().is_empty()
    }

    fn close(&self) {
        self.outgoing.close();
        self.local_streams().clear();
        self.remote_streams().clear();
    }
}

/// A connection to another process. Clones share the connection.
pub(crate) struct Link<P: Protocol>(Arc<Shared<P>>);

impl<P: Protocol> Clone for Link<P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Protocol> Link<P> {
    /// Returns the identity of the other end.
    pub(crate) fn remote(&self) -> &Remote {
        &self.0.remote
    }

    /// Tells whether the link has been closed; a closed link accepts no requests.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.outgoing.is_closed()
    }

    /// Returns the time since the last message from the other end.
    pub(crate) fn silence(&self) -> Duration {
        let last_received = self
            .0
            .last_received
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_received.elapsed()
    }

    fn mark_received(&self) {
        let mut last_received = self
            .0
            .last_received
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_received = Instant::now();
    }

    /// Closes the link. Its open streams end with [`LinkError::Broken`].
    pub(crate) fn close(&self) {
        self.0.close();
    }

    /// Sends a request and returns the stream of its response.
    pub(crate) fn open(&self, request: P::Request) -> Result<Exchange<P>, LinkError> {
        let stream = self.0.next_stream.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::unbounded();
        self.0
            .local_streams()
            .insert(stream, LocalStream { tx, sequence: 0 });
        if let Err(e) = self.0.send(&Frame::Open { stream, request }) {
            self.0.local_streams().remove(&stream);
            return Err(match e {
                LinkError::Broken => LinkError::Unreachable("link closed".to_string()),
                other => other,
            });
        }
        Ok(Exchange::new(self.0.clone(), stream, rx))
    }

    /// Sends a request and waits for its reply; events are discarded.
    pub(crate) async fn ask(&self, request: P::Request) -> Result<P::Reply, LinkError> {
        let mut exchange = self.open(request)?;
        loop {
            if let Inbound::Reply(reply) = exchange.next().await? {
                return Ok(reply);
            }
        }
    }
}
