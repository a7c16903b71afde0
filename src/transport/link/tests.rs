//! Tests of links whose other end sends without end.

use super::{Context, Inbound, LinkTiming, Protocol, RequestHandler, Responder, Traffic};
use super::{Frame, WINDOW_EVENTS, accept, dial};
use crate::transport::handshake::{Identity, Remote};
use crate::transport::spawn::{Runtime, Spawner};
use googletest::prelude::*;
use smol::Timer;
use smol::net::TcpListener;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Length of the first message of an end that floods.
const MESSAGE_BYTES: u32 = 32 << 20;

/// Most bytes of it that may be accepted; the sockets' buffers take most of them.
const ACCEPTED_LIMIT_BYTES: usize = 12 << 20;

/// Time within which a flood must be cut off.
const CUT_LIMIT: Duration = Duration::from_secs(2);

struct TestProtocol;

impl Protocol for TestProtocol {
    type Request = u32;
    type Event = u32;
    type Reply = u32;
}

/// Answers a request with events without end, whatever the flow control allows.
#[derive(Clone)]
struct Flooder;

impl RequestHandler<TestProtocol> for Flooder {
    async fn handle(&self, _: Remote, request: u32, responder: Responder<TestProtocol>) {
        for sequence in 0.. {
            let frame = Frame::Event {
                stream: responder.stream,
                sequence,
                event: request,
            };
            if responder.shared.send(&frame).is_err() {
                return;
            }
            while responder.shared.outgoing.len() > 1_000 {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
    }
}

fn context(node: &str, spawner: Spawner) -> Context<Flooder> {
    Context {
        identity: Identity {
            node: node.to_string(),
            incarnation: 1,
            secret: Arc::from(b"secret".as_slice()),
        },
        timing: LinkTiming::default(),
        spawner,
        handler: Flooder,
        traffic: Arc::new(Traffic::default()),
    }
}

/// Starts a node that accepts links.
async fn start_acceptor(runtime: &Runtime) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let context = context("acceptor", runtime.spawner());
    runtime
        .spawner()
        .spawn(accept::<TestProtocol, _>(listener, context));
    address
}

// Guards against a node that ignores the flow control filling the memory of a slow reader.
#[gtest]
fn a_link_breaks_when_its_other_end_ignores_the_flow_control() {
    let runtime = Runtime::start("link", 2).unwrap();
    smol::block_on(async {
        let address = start_acceptor(&runtime).await.to_string();
        let context = context("dialer", runtime.spawner());
        let link = dial::<TestProtocol, _>(&address, &context).await.unwrap();
        let mut exchange = link.open(7).unwrap();
        let started_at = Instant::now();
        while !link.is_closed() && started_at.elapsed() < CUT_LIMIT {
            Timer::after(Duration::from_millis(1)).await;
        }
        let took = started_at.elapsed();
        let mut events = 0;
        while let Ok(Inbound::Event(_)) = exchange.next().await {
            events += 1;
            if events > 1_000_000 {
                break;
            }
        }
        println!("{events} events, {} ms", took.as_millis());
        expect_that!(took, lt(CUT_LIMIT));
        expect_that!(events, le(WINDOW_EVENTS));
    });
}

/// Upgrades a connection and sends the start of a large message until the other end closes it. Returns
/// the number of bytes sent.
fn send_large_message(address: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(CUT_LIMIT)).unwrap();
    let upgrade = "GET /link HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                   Sec-WebSocket-Version: 13\r\n\
                   Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    stream.write_all(upgrade.as_bytes()).unwrap();
    let _ = stream.read(&mut [0; 4096]).unwrap();
    // A masked binary message with a length of 64 bits.
    let mut header = vec![0x82, 0xff];
    header.extend_from_slice(&u64::from(MESSAGE_BYTES).to_be_bytes());
    header.extend_from_slice(&[0; 4]);
    stream.write_all(&header).unwrap();
    let block = [0; 64 << 10];
    let mut sent_bytes = 0;
    while sent_bytes + block.len() < MESSAGE_BYTES as usize && stream.write_all(&block).is_ok() {
        sent_bytes += block.len();
    }
    sent_bytes
}

// Guards against an end that has proved nothing yet filling the memory of a node.
#[gtest]
fn a_handshake_with_a_large_message_is_rejected() {
    let runtime = Runtime::start("link", 2).unwrap();
    let address = smol::block_on(start_acceptor(&runtime));
    let sent_bytes = send_large_message(address);
    println!("{sent_bytes} bytes");
    expect_that!(sent_bytes, lt(ACCEPTED_LIMIT_BYTES));
}
