//! A fault proxy in a process that runs out of file descriptors. The limit holds for the whole
//! process, so this file has only one test.

use futures_lite::future::or;
use galenapick::FaultProxy;
use googletest::prelude::*;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which the proxy fails to accept a connection.
const SHORTAGE: Duration = Duration::from_millis(200);

/// Answers each connection with one byte.
async fn serve(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        stream.write_all(b"x").await.expect("an answer");
    }
}

/// Sets the limit so that the process can open one more file. Returns the old limit.
fn allow_one_more_file() -> Rlimit {
    let old = getrlimit(Resource::Nofile);
    let next = std::fs::File::open("/dev/null")
        .expect("a file")
        .as_raw_fd();
    let new = Rlimit {
        current: Some(next as u64 + 1),
        ..old
    };
    setrlimit(Resource::Nofile, new).expect("a lower limit");
    old
}

async fn read_answer(mut stream: TcpStream) -> std::io::Result<u8> {
    let mut answer = [0];
    let read = async { stream.read_exact(&mut answer).await };
    let timeout = async {
        Timer::after(TIMEOUT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    or(read, timeout).await?;
    Ok(answer[0])
}

// Guards against a proxy that accepts nothing any more after one failure to accept.
#[gtest]
fn a_proxy_goes_on_after_a_shortage_of_descriptors() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let target = listener.local_addr().expect("an address");
        smol::spawn(serve(listener)).detach();
        let proxy = FaultProxy::start(target, 1).await.expect("a proxy");
        let before = TcpStream::connect(proxy.address()).await;
        expect_that!(read_answer(before.expect("connected")).await, ok(eq(&b'x')));
        let old = allow_one_more_file();
        let during = TcpStream::connect(proxy.address()).await;
        Timer::after(SHORTAGE).await;
        setrlimit(Resource::Nofile, old).expect("the old limit");
        expect_that!(read_answer(during.expect("connected")).await, ok(eq(&b'x')));
        let after = TcpStream::connect(proxy.address()).await;
        assert_that!(after, ok(anything()));
        expect_that!(read_answer(after.unwrap()).await, ok(eq(&b'x')));
    });
}
