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

/// Long enough for loopback, on a busy machine too.
const LONG: Duration = Duration::from_secs(10);

/// Short enough to be waited for, long enough for an answer that does come.
const SHORT: Duration = Duration::from_millis(300);

/// Serves an echo, and counts the bytes that it has seen.
async fn echo() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&seen);
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
    (address, seen)
}

/// Sends a byte; the byte that comes back, `None` at the end, or nothing in time.
async fn ask(stream: &mut TcpStream, patience: Duration) -> Option<Option<u8>> {
    let mut buf = [0];
    let exchange = async {
        stream.write_all(b"x").await.ok();
        match stream.read(&mut buf).await {
            Ok(1) => Some(Some(buf[0])),
            _ => Some(None),
        }
    };
    let timeout = async {
        Timer::after(patience).await;
        None
    };
    exchange.or(timeout).await
}

fn with_proxy(run: impl AsyncFnOnce(&FaultProxy, Arc<AtomicUsize>)) {
    smol::block_on(async {
        let (address, seen) = echo().await;
        let proxy = FaultProxy::start(address, 1).await.unwrap();
        run(&proxy, seen).await;
    });
}

#[gtest]
fn carries_and_cuts() {
    with_proxy(async |proxy, _| {
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut stream, LONG).await, some(some(eq(b'x'))));
        proxy.cut();
        expect_that!(ask(&mut stream, LONG).await, some(none()));
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut fresh, LONG).await, some(some(eq(b'x'))));
    });
}

#[gtest]
fn open_connections_go_silent_and_new_ones_work() {
    with_proxy(async |proxy, seen| {
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut stream, LONG).await, some(some(eq(b'x'))));
        proxy.silence_direction(FlowDirection::Answer);
        expect_that!(ask(&mut stream, SHORT).await, none());
        expect_that!(seen.load(Ordering::Relaxed), eq(2));
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut fresh, LONG).await, some(some(eq(b'x'))));
        proxy.silence();
        expect_that!(ask(&mut fresh, SHORT).await, none());
        expect_that!(seen.load(Ordering::Relaxed), eq(3));
    });
}

#[gtest]
fn answers_are_lost_after_the_effect() {
    with_proxy(async |proxy, seen| {
        proxy.lose_answers(1);
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut stream, LONG).await, some(none()));
        expect_that!(seen.load(Ordering::Relaxed), eq(1));
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut fresh, LONG).await, some(some(eq(b'x'))));
    });
}

#[gtest]
fn refuses_while_told_to() {
    with_proxy(async |proxy, _| {
        proxy.refuse(true);
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut stream, LONG).await, some(none()));
        proxy.refuse(false);
        let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
        expect_that!(ask(&mut fresh, LONG).await, some(some(eq(b'x'))));
    });
}
