//! Connections between gateways over which they ask each other about turns.
//!
//! One connection for each pair and direction carries all questions; each has a number, and its
//! answers bear it. A frame is its length (4 bytes, big-endian) and a CBOR pair of the number and
//! the question or answer. Frames are short, so a connection's first byte is 0, which begins no
//! call of the store (`relay`): both come to the same address.

use crate::dialect::Dialect;
use crate::http::Connection;
use crate::ledger::{Answer, Ask};
use crate::net::{accept, connect, io_with_timeout, set_socket_options};
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
const FIRST_BYTE: u8 = 0;

/// Frames on their way out of a connection.
#[derive(Debug, Default)]
struct Outbox {
    bytes: RefCell<Vec<u8>>,
    added: event_listener::Event,
}

impl Outbox {
    fn add(&self, number: u64, message: &impl Serialize) {
        let frame = encode(&(number, message));
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

/// A connection to another gateway, for questions.
#[derive(Debug, Default)]
struct PeerLink {
    outbox: Outbox,
    next_number: Cell<u64>,
    /// Who waits for answers, by the question's number.
    askers: RefCell<HashMap<u64, Sender<Answer>>>,
}

impl PeerLink {
    fn ask(&self, ask: &Ask) -> Asked {
        let (sender, answers) = async_channel::unbounded();
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, asker| !asker.is_closed());
        askers.insert(number, sender);
        self.outbox.add(number, ask);
        Asked { answers }
    }

    /// Connects and carries questions and answers until the connection breaks.
    async fn run(&self, address: SocketAddr) -> io::Result<()> {
        let stream = io_with_timeout(CONNECT_TIMEOUT, connect(address)).await?;
        let write = self.outbox.write(stream.clone());
        let mut connection = Connection::new(stream);
        let read = async {
            while let Some((number, answer)) = read_frame::<Answer>(&mut connection).await {
                if let Some(asker) = self.askers.borrow().get(&number) {
                    // Who no longer waits needs no answer.
                    let _ = asker.try_send(answer);
                }
            }
        };
        future::or(write, read).await;
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

/// A question that was sent.
#[derive(Debug)]
pub(crate) struct Asked {
    answers: Receiver<Answer>,
}

impl Asked {
    /// Waits for the next answer; `None` once the connection has broken.
    pub(crate) async fn next(&self) -> Option<Answer> {
        self.answers.recv().await.ok()
    }
}

/// Connections to other gateways, opened by the first question.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, Rc<PeerLink>>>,
}

impl<D: Dialect> Gateway<D> {
    /// Sends a question to another gateway.
    pub(crate) fn ask_peer(self: &Rc<Self>, address: SocketAddr, ask: &Ask) -> Asked {
        let known = self.peer_links.links.borrow().get(&address).cloned();
        let link = known.unwrap_or_else(|| self.open_link(address));
        link.ask(ask)
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
                "open_questions" => running.askers.borrow().len(), "error" => error.to_string());
            gateway.peer_links.links.borrow_mut().remove(&address);
            // Tells those who wait.
            running.askers.borrow_mut().clear();
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
        if let Err(error) = set_socket_options(&stream) {
            crate::event!("peer_untuned", "error" => error.to_string());
        }
        let mut connection = Connection::new(stream);
        match connection.fill().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
        if connection.unread().first() == Some(&FIRST_BYTE) {
            self.answer_peer(connection).await;
        } else {
            self.relay_calls(connection).await;
        }
    }

    /// Answers the questions of another gateway until the connection ends.
    async fn answer_peer(self: &Rc<Self>, mut connection: Connection) {
        let outbox = Rc::new(Outbox::default());
        let write = outbox.write(connection.stream());
        let read = async {
            while let Some((number, ask)) = read_frame::<Ask>(&mut connection).await {
                let gateway = self.clone();
                let outbox = outbox.clone();
                let task = async move {
                    let answer = |answer: &Answer| outbox.add(number, answer);
                    gateway.answer_ask(ask, answer).await;
                };
                self.executor.spawn(task).detach();
            }
        };
        future::or(write, read).await;
    }
}
