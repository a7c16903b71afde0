//! Links: one connection between two processes that carries requests in both directions.
//!
//! Each request opens a stream of events that ends with one reply. Events are limited by credit a
//! stream, so that a slow reader stalls only its own stream. Silence is a failure: an end that
//! hears nothing for [`Timing::deadline`] closes the link.

mod connection;
mod exchange;
mod traffic;

pub(crate) use connection::{Context, accept, dial};
pub(crate) use exchange::{Exchange, Gone, Inbound, Responder};
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

/// Events that a stream may have under way before its reader grants more.
const WINDOW_EVENTS: u32 = 64;

/// The largest message on a link.
const MESSAGE_MAX_BYTES: usize = 32 << 20;

/// The messages that a link carries.
pub(crate) trait Wire: Send + Sync + 'static {
    /// Opens a stream.
    type Request: Serialize + DeserializeOwned + Send + 'static;
    /// Part of an answer.
    type Event: Serialize + DeserializeOwned + Send + 'static;
    /// The end of an answer.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// Answers the other end's requests.
pub(crate) trait Serve<W: Wire>: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn serve(
        &self,
        from: Remote,
        request: W::Request,
        responder: Responder<W>,
    ) -> impl Future<Output = ()> + Send;
}

/// How often an end speaks, and how long it bears silence.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// An end that has nothing to say sends a heartbeat after so long, while a stream is open.
    pub(crate) heartbeat: Duration,
    /// An end that hears nothing for so long closes the link, while a stream is open.
    pub(crate) deadline: Duration,
    /// The heartbeat is so many times slower, and the deadline half as many times longer, while no
    /// stream is open.
    pub(crate) idle_factor: u32,
    /// The longest pause after failed dials.
    pub(crate) redial_max: Duration,
    /// Connecting and the handshake take so long at most.
    pub(crate) connect: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            deadline: Duration::from_millis(2_000),
            idle_factor: 8,
            redial_max: Duration::from_secs(2),
            connect: Duration::from_millis(1_000),
        }
    }
}

/// Why an exchange ended without a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkError {
    /// The link could not be opened; nothing was sent.
    Unreachable(String),
    /// The link broke after the request was handed to it.
    Broken,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
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

type FrameOf<W> = Frame<<W as Wire>::Request, <W as Wire>::Event, <W as Wire>::Reply>;

/// A stream that this end opened.
///
/// Invariant: `sequence` is the number of parts received; a part out of sequence breaks the link.
struct Opened<W: Wire> {
    tx: Sender<Inbound<W>>,
    sequence: u32,
}

/// What the tasks and the streams of one link share.
struct Shared<W: Wire> {
    remote: Remote,
    out: Sender<Vec<u8>>,
    next_stream: AtomicU64,
    opened: Mutex<HashMap<u64, Opened<W>>>,
    served: Mutex<HashMap<u64, Sender<u32>>>,
    heard: Mutex<Instant>,
}

impl<W: Wire> Shared<W> {
    fn opened(&self) -> MutexGuard<'_, HashMap<u64, Opened<W>>> {
        self.opened.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn served(&self) -> MutexGuard<'_, HashMap<u64, Sender<u32>>> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, frame: &FrameOf<W>) -> Result<(), LinkError> {
        let mut buf = Vec::with_capacity(128);
        if ciborium::into_writer(frame, &mut buf).is_err() || buf.len() > MESSAGE_MAX_BYTES {
            return Err(LinkError::Unreachable("message too large".to_string()));
        }
        self.out.try_send(buf).map_err(|_| LinkError::Broken)
    }

    /// Tells whether a stream is open in either direction.
    fn is_active(&self) -> bool {
        !self.opened().is_empty() || !self.served().is_empty()
    }

    fn close(&self) {
        self.out.close();
        self.opened().clear();
        self.served().clear();
    }
}

/// A live connection to another process. Clones are the same link.
pub(crate) struct Link<W: Wire>(Arc<Shared<W>>);

impl<W: Wire> Clone for Link<W> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<W: Wire> Link<W> {
    /// Returns who the other end is.
    pub(crate) fn remote(&self) -> &Remote {
        &self.0.remote
    }

    /// Tells whether the link is of no more use.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.out.is_closed()
    }

    /// Returns for how long nothing has come from the other end.
    pub(crate) fn silence(&self) -> Duration {
        let heard = self.0.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.elapsed()
    }

    fn note_heard(&self) {
        let mut heard = self.0.heard.lock().unwrap_or_else(PoisonError::into_inner);
        *heard = Instant::now();
    }

    /// Closes the link; its streams end as broken.
    pub(crate) fn close(&self) {
        self.0.close();
    }

    /// Sends a request.
    pub(crate) fn open(&self, request: W::Request) -> Result<Exchange<W>, LinkError> {
        let stream = self.0.next_stream.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::unbounded();
        self.0.opened().insert(stream, Opened { tx, sequence: 0 });
        if let Err(e) = self.0.send(&Frame::Open { stream, request }) {
            self.0.opened().remove(&stream);
            return Err(match e {
                LinkError::Broken => LinkError::Unreachable("link closed".to_string()),
                other => other,
            });
        }
        Ok(Exchange::new(self.0.clone(), stream, rx))
    }

    /// Sends a request and waits for its reply; events are passed over.
    pub(crate) async fn ask(&self, request: W::Request) -> Result<W::Reply, LinkError> {
        let mut exchange = self.open(request)?;
        loop {
            if let Inbound::Reply(reply) = exchange.next().await? {
                return Ok(reply);
            }
        }
    }
}
