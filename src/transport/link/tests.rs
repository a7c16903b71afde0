//! Tests of links whose other end sends without end.

use super::{Context, Inbound, LinkTiming, Protocol, RequestHandler, Responder, Traffic};
use super::{Frame, WINDOW_EVENTS, accept, dial};
use crate::transport::handshake::{Identity, Remote};
use crate::transport::spawn::{Runtime, Spawner};
use googletest::prelude::*;
use smol::Timer;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

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
