//! Tests of the proxy against an echo server.

use super::{FaultProxy, FlowDirection};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use googletest::prelude::*;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// For bytes that are expected, with a margin for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);

/// For bytes that are expected not to arrive.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts an echo server; returns its address and the counter of received bytes.
async fn start_echo() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            smol::spawn(async move {
                let mut buf = [0; 64];
                while let Ok(len @ 1..) = stream.read(&mut buf).await {
                    count.fetch_add(len, Ordering::Relaxed);
                    if stream.write_all(&buf[..len]).await.is_err() {
                        return;
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    (address, received)
}

/// Sends a byte. Returns the echoed byte, `Some(None)` for a closed connection, or `None` after the
/// time limit.
async fn echo_byte(stream: &mut TcpStream, limit: Duration) -> Option<Option<u8>> {
    let mut buf = [0];
    let exchange = async {
        stream.write_all(b"x").await.ok();
        match stream.read(&mut buf).await {
            Ok(1) => Some(Some(buf[0])),
            _ => Some(None),
        }
    };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    exchange.or(timeout).await
}

fn with_proxy(run: impl AsyncFnOnce(&FaultProxy, Arc<AtomicUsize>)) {
    smol::block_on(async {
        let (address, received) = start_echo().await;
        let proxy = FaultProxy::start(address, 1).await.unwrap();
        run(&proxy, received).await;
    });
}

#[gtest]
fn forwards_data_and_closes_connections() {
    with_proxy(async |proxy, _| {
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut stream, TIMEOUT).await, some(some(eq(b'x'))));
        proxy.cut();
        expect_that!(echo_byte(&mut stream, TIMEOUT).await, some(none()));
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut fresh, TIMEOUT).await, some(some(eq(b'x'))));
    });
}

#[gtest]
fn silence_affects_open_connections_only() {
    with_proxy(async |proxy, received| {
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut stream, TIMEOUT).await, some(some(eq(b'x'))));
        proxy.silence_direction(FlowDirection::Answer);
        expect_that!(echo_byte(&mut stream, SHORT_TIMEOUT).await, none());
        expect_that!(received.load(Ordering::Relaxed), eq(2));
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut fresh, TIMEOUT).await, some(some(eq(b'x'))));
        proxy.silence();
        expect_that!(echo_byte(&mut fresh, SHORT_TIMEOUT).await, none());
        expect_that!(received.load(Ordering::Relaxed), eq(3));
    });
}

#[gtest]
fn answers_are_dropped_after_the_request_arrived() {
    with_proxy(async |proxy, received| {
        proxy.lose_answers(1);
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut stream, TIMEOUT).await, some(none()));
        expect_that!(received.load(Ordering::Relaxed), eq(1));
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut fresh, TIMEOUT).await, some(some(eq(b'x'))));
    });
}

#[gtest]
fn refuses_connections_while_enabled() {
    with_proxy(async |proxy, _| {
        proxy.refuse(true);
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut stream, TIMEOUT).await, some(none()));
        proxy.refuse(false);
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(echo_byte(&mut fresh, TIMEOUT).await, some(some(eq(b'x'))));
    });
}
