//! Connections between gateways over which they ask each other about turns.
//!
//! One connection for each pair and direction carries all questions; each has a number, and its
//! answers bear it. A frame is its length (4 bytes, big-endian) and a CBOR pair of the number and
//! the question or answer. Frames are short, so a connection's first byte is 0, which begins no
//! call of the store (`relay`): both come to the same address.

use crate::dialect::Dialect;
use crate::http::Wire;
use crate::ledger::{OwnerReply, OwnerRequest};
use crate::net::{accept, connect, tune, within};
use crate::node::Gateway;
use crate::record::{decode, encode};
use async_channel::{Receiver, Sender};
use futures_lite::{AsyncWriteExt, future};
use serde::{Deserialize, Serialize};
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest time to connect: two round trips between failure domains, and the wait of a busy VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest frame: a turn's history is bounded by what engines take.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// First byte of each frame, since none is longer than [`MAX_FRAME_BYTES`].
const FRAME_FIRST_BYTE: u8 = 0;

/// Frames on their way out of a connection.
#[derive(Debug, Default)]
struct Outbox {
    bytes: RefCell<Vec<u8>>,
    added: event_listener::Event,
}

impl Outbox {
    fn push(&self, request_number: u64, message: &impl Serialize) {
        let frame = encode(&(request_number, message));
        let length = u32::try_from(frame.len()).expect("frames are short");
        let mut bytes = self.bytes.borrow_mut();
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&frame);
        self.added.notify(usize::MAX);
    }

    /// Writes what is added, until the connection breaks.
    async fn write(&self, mut stream: TcpStream) {
        loop {
            let listener = self.added.listen();
            let bytes = self.bytes.take();
            if bytes.is_empty() {
                listener.await;
            } else if stream.write_all(&bytes).await.is_err() {
                // The reader of the connection ends with it.
                return;
            }
        }
    }
}

/// Reads the next frame; `None` at the connection's end or if it is none.
async fn read_frame<T: for<'a> Deserialize<'a>>(wire: &mut Wire) -> Option<(u64, T)> {
    loop {
        if let Some((length, rest)) = wire.unread().split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                crate::event!("frame_too_long", "bytes" => length);
                return None;
            }
            if let Some(frame) = rest.get(..length) {
                let message = decode(frame);
                wire.consume(LENGTH_BYTES + length);
                return message
                    .inspect_err(
                        |error| crate::event!("frame_unreadable", "error" => error.as_str()),
                    )
                    .ok();
            }
        }
        if wire.fill().await.ok()? == 0 {
            return None;
        }
    }
}

/// A connection to another gateway, for questions.
#[derive(Debug, Default)]
struct PeerLink {
    outbox: Outbox,
    next_request_number: Cell<u64>,
    /// Who waits for answers, by the question's number.
    waiters: RefCell<HashMap<u64, Sender<OwnerReply>>>,
}

impl PeerLink {
    fn send(&self, request: &OwnerRequest) -> PendingReply {
        let (sender, replies) = async_channel::unbounded();
        let request_number = self.next_request_number.get();
        self.next_request_number.set(request_number + 1);
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|_, waiter| !waiter.is_closed());
        waiters.insert(request_number, sender);
        self.outbox.push(request_number, request);
        PendingReply { replies }
    }

    /// Connects and carries questions and answers until the connection breaks.
    async fn run(&self, address: SocketAddr) -> io::Result<()> {
        let stream = within(CONNECT_TIMEOUT, connect(address)).await?;
        let write = self.outbox.write(stream.clone());
        let mut wire = Wire::new(stream);
        let read = async {
            while let Some((request_number, reply)) = read_frame::<OwnerReply>(&mut wire).await {
                if let Some(waiter) = self.waiters.borrow().get(&request_number) {
                    // Who no longer waits needs no answer.
                    let _ = waiter.try_send(reply);
                }
            }
        };
        future::or(write, read).await;
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

/// A question that was sent.
#[derive(Debug)]
pub(crate) struct PendingReply {
    replies: Receiver<OwnerReply>,
}

impl PendingReply {
    /// Waits for the next answer; `None` once the connection has broken.
    pub(crate) async fn next(&self) -> Option<OwnerReply> {
        self.replies.recv().await.ok()
    }
}

/// Connections to other gateways, opened by the first question.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
}

impl<D: Dialect> Gateway<D> {
    /// Sends a question to another gateway.
    pub(crate) fn send_request(
        self: &Rc<Self>,
        address: SocketAddr,
        request: &OwnerRequest,
    ) -> PendingReply {
        let known = self.peer_links.links.borrow().get(&address).cloned();
        let link = known.unwrap_or_else(|| self.open_link(address));
        link.send(request)
    }

    fn open_link(self: &Rc<Self>, address: SocketAddr) -> Rc<PeerLink> {
        let link = Rc::new(PeerLink::default());
        self.peer_links
            .links
            .borrow_mut()
            .insert(address, link.clone());
        let gateway = self.clone();
        let running = link.clone();
        let task = async move {
            let Err(error) = running.run(address).await else {
                return;
            };
            crate::event!("peer_link_broken", "address" => address.to_string(),
                "open_questions" => running.waiters.borrow().len(), "error" => error.to_string());
            gateway.peer_links.links.borrow_mut().remove(&address);
            // Tells those who wait.
            running.waiters.borrow_mut().clear();
        };
        self.executor.spawn(task).detach();
        link
    }

    /// Serves other gateways, for ever.
    pub(crate) async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            let gateway = self.clone();
            let task = async move { gateway.serve_peer(stream).await };
            self.executor.spawn(task).detach();
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = tune(&stream) {
            crate::event!("peer_untuned", "error" => error.to_string());
        }
        let mut wire = Wire::new(stream);
        match wire.fill().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
        if wire.unread().first() == Some(&FRAME_FIRST_BYTE) {
            self.serve_requests(wire).await;
        } else {
            self.relay_calls(wire).await;
        }
    }

    /// Answers the questions of another gateway until the connection ends.
    async fn serve_requests(self: &Rc<Self>, mut wire: Wire) {
        let outbox = Rc::new(Outbox::default());
        let write = outbox.write(wire.stream());
        let read = async {
            while let Some((request_number, request)) = read_frame::<OwnerRequest>(&mut wire).await
            {
                let gateway = self.clone();
                let outbox = outbox.clone();
                let task = async move {
                    let reply = |reply: &OwnerReply| outbox.push(request_number, reply);
                    gateway.handle_request(request, reply).await;
                };
                self.executor.spawn(task).detach();
            }
        };
        future::or(write, read).await;
    }
}
