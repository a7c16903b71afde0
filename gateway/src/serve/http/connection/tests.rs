//! Tests of connections that end before their answer does.

use super::{BodyDecoder, Connection};
use futures_lite::future::block_on;
use googletest::prelude::*;
use rustix::net::sockopt::set_socket_linger;
use smol::net::TcpStream;
use std::io::{self, Write};
use std::net::TcpListener;
use std::time::Duration;

/// How a server ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    Orderly,
    Reset,
}

/// Connects to a server that has sent these bytes and closed the connection.
fn connect_to_closed(answer: &[u8], close: Close) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = block_on(TcpStream::connect(address)).expect("a connection");
    let (mut server, _) = listener.accept().expect("a connection");
    server.write_all(answer).expect("an open connection");
    if close == Close::Reset {
        set_socket_linger(&server, Some(Duration::ZERO)).expect("a socket");
    }
    drop(server);
    Connection::new(stream)
}

/// Reads an answer and returns its body.
fn read_answer(connection: &mut Connection) -> io::Result<Vec<u8>> {
    block_on(async {
        let head = connection.read_response().await?;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        while !decoder.is_done() {
            let read = connection.read_body(&mut decoder, &mut body).await;
            read.map_err(|error| io::Error::other(error.to_string()))?;
        }
        Ok(body)
    })
}

// Guards against an answer whose head was cut being taken for a whole one with a short body.
#[googletest::test]
fn a_head_that_is_cut_at_any_byte_is_no_answer() {
    for framing in [
        "Content-Length: 12\r\n",
        "Transfer-Encoding: chunked\r\n",
        "",
    ] {
        let head = format!(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r\r\n{framing}X-Proof: s\r\n\r\n"
        );
        for kept_bytes in 0..head.len() {
            for close in [Close::Orderly, Close::Reset] {
                let mut connection = connect_to_closed(&head.as_bytes()[..kept_bytes], close);
                let read = block_on(connection.read_response());
                let error = read.expect_err("a head that is cut").kind();
                let expected = [io::ErrorKind::UnexpectedEof, io::ErrorKind::ConnectionReset];
                expect_that!(
                    expected.contains(&error),
                    eq(true),
                    "{kept_bytes} bytes, {framing:?}, {close:?}, {error}"
                );
            }
        }
    }
}

// Guards against a body that was cut being taken for a whole one. Without a length or chunks, only a
// reset tells.
#[googletest::test]
fn a_body_that_is_cut_at_any_byte_is_whole_only_if_its_framing_says_so() {
    let cases = [
        ("Content-Length: 12\r\n", "twelve bytes"),
        (
            "Transfer-Encoding: chunked\r\n",
            "c;x=y\r\ntwelve bytes\r\n0\r\nT: r\r\n\r\n",
        ),
        ("", "twelve bytes"),
    ];
    for (framing, body) in cases {
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
        for kept_bytes in 0..=body.len() {
            for close in [Close::Orderly, Close::Reset] {
                let answer = format!("{head}{}", &body[..kept_bytes]);
                let read = read_answer(&mut connect_to_closed(answer.as_bytes(), close));
                let case = format!("{kept_bytes} bytes, {framing:?}, {close:?}");
                match (framing, close) {
                    ("", Close::Orderly) => {
                        expect_that!(read, ok(eq(&body.as_bytes()[..kept_bytes])), "{case}");
                    }
                    (_, Close::Orderly) => {
                        expect_that!(read.is_ok(), eq(kept_bytes == body.len()), "{case}");
                    }
                    // A reset may discard what was sent before it.
                    ("", Close::Reset) => expect_that!(read.is_err(), eq(true), "{case}"),
                    (_, Close::Reset) => {
                        let may_be_whole = kept_bytes == body.len();
                        expect_that!(read.is_err() || may_be_whole, eq(true), "{case}");
                    }
                }
            }
        }
    }
}

// Guards against an answer that was reset being taken for a whole one, as the system reports the
// reset once and a write of the request got it.
#[googletest::test]
fn an_answer_is_not_whole_if_a_write_met_the_reset() {
    for body in ["", "part"] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let mut connection = connect_to_closed(answer.as_bytes(), Close::Reset);
        let written = block_on(connection.write_all(b"request"));
        expect_that!(written, err(anything()));
        let read = read_answer(&mut connection);
        expect_that!(read, err(anything()), "{body:?}");
    }
}

// Guards against an early answer being taken for a broken one because its endpoint did not read the
// whole request.
#[googletest::test]
fn an_answer_that_ended_in_order_is_whole_although_a_write_failed_after_it() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\nwhole";
    let mut connection = connect_to_closed(answer, Close::Orderly);
    let mut written = Ok(());
    while written.is_ok() {
        written = block_on(connection.write_all(b"request"));
    }
    expect_that!(read_answer(&mut connection), ok(eq(b"whole")));
}
