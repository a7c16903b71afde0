//! Connections between gateways for requests about turns.
//!
//! One connection per pair and direction carries all requests. Each request has a number, which its
//! replies repeat. A frame consists of its length (4 bytes, big-endian) and a CBOR pair of the
//! number and the request or reply. Frames are short enough that the first byte of a connection is
//! 0. No call to the store (`relay`) begins with this byte, so both kinds of connection share one
//! address.

use crate::dialect::Dialect;
use crate::net::{accept, connect, io_with_timeout, set_socket_options};
use crate::node::Gateway;
use crate::serve::http::Connection;
use crate::turns::ledger::{OwnerReply, OwnerRequest};
use crate::turns::record::{decode, encode};
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

/// Connection timeout, which allows for two round trips between failure domains and the scheduling
/// delay of a busy VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a frame. The length of a turn's history is limited by what engines accept.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// First byte of each frame, because no frame is longer than [`MAX_FRAME_BYTES`].
const FRAME_FIRST_BYTE: u8 = 0;

/// Frames that wait to be written to a connection.
#[derive(Debug, Default)]
struct Outbox {
    bytes: RefCell<Vec<u8>>,
    added: event_listener::Event,
}

impl Outbox {
    fn push(&self, request_number: u64, message: &impl Serialize) {
        let frame = encode(&(request_number, message));
        let length = u32::try_from(frame.len()).expect("a frame length fits into u32");
        let mut bytes = self.bytes.borrow_mut();
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&frame);
        self.added.notify(usize::MAX);
    }

    /// Writes frames until the connection breaks.
    async fn write(&self, mut stream: TcpStream) {
        loop {
            let listener = self.added.listen();
            let bytes = self.bytes.take();
            if bytes.is_empty() {
                listener.await;
            } else if stream.write_all(&bytes).await.is_err() {
                // The connection's reader ends as well.
                return;
            }
        }
    }
}

/// Reads the next frame. Returns `None` at the end of the connection or if the frame is invalid.
async fn read_frame<T: for<'a> Deserialize<'a>>(connection: &mut Connection) -> Option<(u64, T)> {
    loop {
        if let Some((length, rest)) = connection.unread().split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                crate::event!("frame_too_long", "bytes" => length);
                return None;
            }
            if let Some(frame) = rest.get(..length) {
                let message = decode(frame);
                connection.consume(LENGTH_BYTES + length);
                return message
                    .inspect_err(
                        |error| crate::event!("frame_unreadable", "error" => error.as_str()),
                    )
                    .ok();
            }
        }
        if connection.fill().await.ok()? == 0 {
            return None;
        }
    }
}

/// A connection for requests to one peer.
#[derive(Debug, Default)]
struct PeerLink {
    outbox: Outbox,
    next_request_number: Cell<u64>,
    /// Receivers of replies, by request number.
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

    /// Connects, then sends requests and receives replies until the connection breaks.
    async fn run(&self, address: SocketAddr) -> io::Result<()> {
        let stream = io_with_timeout(CONNECT_TIMEOUT, connect(address)).await?;
        let write = self.outbox.write(stream.clone());
        let mut connection = Connection::new(stream);
        let read = async {
            while let Some((request_number, reply)) =
                read_frame::<OwnerReply>(&mut connection).await
            {
                if let Some(waiter) = self.waiters.borrow().get(&request_number) {
                    // A caller that has given up needs no reply.
                    let _ = waiter.try_send(reply);
                }
            }
        };
        future::or(write, read).await;
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

/// A request that was sent, with the replies that arrive for it.
#[derive(Debug)]
pub(crate) struct PendingReply {
    replies: Receiver<OwnerReply>,
}

impl PendingReply {
    /// Waits for the next reply. Returns `None` once the connection has broken.
    pub(crate) async fn next(&self) -> Option<OwnerReply> {
        self.replies.recv().await.ok()
    }
}

/// Connections to peers. The first request to a peer opens its connection.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
}

impl<D: Dialect> Gateway<D> {
    /// Sends a request to a peer.
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
        let running_link = link.clone();
        let task = async move {
            let Err(error) = running_link.run(address).await else {
                return;
            };
            crate::event!("peer_link_broken", "address" => address.to_string(),
                "open_questions" => running_link.waiters.borrow().len(), "error" => error.to_string());
            gateway.peer_links.links.borrow_mut().remove(&address);
            // Ends the wait of all callers.
            running_link.waiters.borrow_mut().clear();
        };
        self.executor.spawn(task).detach();
        link
    }

    /// Accepts connections from peers until the process ends.
    pub(crate) async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = accept(&listener).await;
            let gateway = self.clone();
            let task = async move { gateway.serve_peer(stream).await };
            self.executor.spawn(task).detach();
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        if let Err(error) = set_socket_options(&stream) {
            crate::event!("peer_untuned", "error" => error.to_string());
        }
        let mut connection = Connection::new(stream);
        match connection.fill().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
        if connection.unread().first() == Some(&FRAME_FIRST_BYTE) {
            self.serve_requests(connection).await;
        } else {
            self.relay_calls(connection).await;
        }
    }

    /// Handles a peer's requests until the connection ends.
    async fn serve_requests(self: &Rc<Self>, mut connection: Connection) {
        let outbox = Rc::new(Outbox::default());
        let write = outbox.write(connection.stream());
        // Closed with the connection.
        let (_open, closed) = async_channel::bounded::<()>(1);
        let read = async {
            while let Some((request_number, request)) =
                read_frame::<OwnerRequest>(&mut connection).await
            {
                let gateway = self.clone();
                let outbox = outbox.clone();
                let is_reservation = matches!(request, OwnerRequest::Reserve(_));
                let closed = closed.clone();
                let task = async move {
                    let reply = |reply: &OwnerReply| outbox.push(request_number, reply);
                    let handle = gateway.handle_request(request, reply);
                    if is_reservation {
                        // A peer that is lost would not settle what is reserved for it later.
                        let disconnected = async {
                            let _ = closed.recv().await;
                        };
                        future::or(handle, disconnected).await;
                    } else {
                        handle.await;
                    }
                };
                self.executor.spawn(task).detach();
            }
        };
        future::or(write, read).await;
    }
}
