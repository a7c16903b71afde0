//! Tests of answers whose connection ends before they do, or that are written twice.

use super::{TIMEOUT, generation, read_all, transfer};
use crate::adapter::{HttpEngine, HttpService};
use crate::protocol::engine::{Engine, EngineError};
use crate::protocol::failure::Connection;
use crate::protocol::service::{Service, ServiceError};
use futures_lite::future::block_on;
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// How a raw server ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    Orderly,
    Reset,
}

/// Starts a server that answers one request with these bytes and closes the connection, and returns
/// its URL.
fn serve_raw(response: &'static str, close: Close) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let head = read_request(&mut stream);
        stream.write_all(response.as_bytes()).unwrap();
        if close == Close::Reset {
            // Lets the response arrive before the reset, which discards what was not delivered.
            thread::sleep(Duration::from_millis(100));
            let linger = Some(Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&stream, linger).unwrap();
        }
        drop(head);
    });
    url
}

/// Reads a request with its body, so that closing the connection does not reset it.
fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let count = stream.read(&mut buf).unwrap();
        bytes.extend_from_slice(&buf[..count]);
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        if count == 0 || length.is_none_or(|length| length.trim().parse() == Ok(body.len())) {
            return bytes;
        }
    }
}

// Guards against a service's answer that was broken off being returned as the whole answer.
#[gtest]
fn a_truncated_service_answer_has_an_unknown_outcome() {
    let cases = [
        ("content-length: 9\r\n\r\n{\"a\"", Close::Orderly),
        ("content-length: 9\r\n\r\n{\"a\"", Close::Reset),
        (
            "transfer-encoding: chunked\r\n\r\n4\r\n{\"a\"\r\n",
            Close::Orderly,
        ),
        (
            "transfer-encoding: chunked\r\n\r\n4\r\n{\"a",
            Close::Orderly,
        ),
        ("connection: close\r\n\r\n{\"a\"", Close::Reset),
    ];
    for (answer, close) in cases {
        let response: &str = Box::leak(format!("HTTP/1.1 200 OK\r\n{answer}").into_boxed_str());
        let service = HttpService::new(&serve_raw(response, close), TIMEOUT);
        let reply = block_on(service.invoke(transfer(7)));
        expect_that!(
            reply,
            err(matches_pattern!(ServiceError::Unknown(_))),
            "{answer:?}, {close:?}"
        );
    }
}

/// Returns whether a call at an endpoint that answers with these bytes and closes the connection is
/// answered, and otherwise what became of its connection.
type CallRaw = fn(&'static str, Close) -> std::result::Result<(), Connection>;

fn call_service(answer: &'static str, close: Close) -> std::result::Result<(), Connection> {
    let service = HttpService::new(&serve_raw(answer, close), TIMEOUT);
    match block_on(service.invoke(transfer(7))) {
        Ok(_) => Ok(()),
        Err(ServiceError::Unknown(lost)) => Err(lost.connection),
        Err(error) => panic!("{error:?}"),
    }
}

fn generate(answer: &'static str, close: Close) -> std::result::Result<(), Connection> {
    let engine = HttpEngine::new(&serve_raw(answer, close), TIMEOUT);
    let read = block_on(async {
        let mut stream = engine.generate(generation(1, 1, "x", 4)).await?;
        read_all(&mut stream, 0).await
    });
    match read {
        Ok(_) => Ok(()),
        Err(EngineError::Unreachable(lost)) => Err(lost.connection),
        Err(error) => panic!("{error:?}"),
    }
}

// Guards against a call that crashed its endpoint within an answer's head, or before the length that
// the head states, counting as one whose answer cannot be read: it would be sent again.
#[gtest]
fn an_answer_cut_at_any_byte_is_lost_with_its_connection() {
    const STREAM: &str = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\
         \"completion_tokens\":1}}\n\ndata: [DONE]\n\n";
    let head = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Other: y\r\n";
    let callers: [(CallRaw, &str); 2] = [(call_service, "{\"a\":\"bcd\"}"), (generate, STREAM)];
    for (call, body) in callers {
        let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        let chunked = format!(
            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\nT: r\r\n\r\n",
            body.len()
        );
        for framed in [length, chunked] {
            let whole: &'static str = Box::leak(format!("{head}{framed}").into_boxed_str());
            let end = whole.len() - 1;
            for kept_bytes in 0..end {
                let called = call(&whole[..kept_bytes], Close::Orderly);
                // An engine's stream is complete with its last event, whatever follows it.
                if body == STREAM && whole[..kept_bytes].contains("[DONE]\n") {
                    continue;
                }
                expect_that!(
                    called,
                    err(eq(Connection::Ended)),
                    "{:?}",
                    &whole[..kept_bytes]
                );
            }
            for kept_bytes in (0..end).step_by(11) {
                let called = call(&whole[..kept_bytes], Close::Reset);
                if body == STREAM && whole[..kept_bytes].contains("[DONE]\n") {
                    continue;
                }
                expect_that!(
                    called,
                    err(eq(Connection::Ended)),
                    "{:?}",
                    &whole[..kept_bytes]
                );
            }
            expect_that!(call(whole, Close::Orderly), ok(()));
        }
    }
}

// Guards against an answer without a length that was reset being returned as the whole answer.
#[gtest]
fn an_answer_until_close_is_whole_unless_it_is_reset() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\n\r\n{\"a\":\"bcd\"}";
    expect_that!(call_service(ANSWER, Close::Orderly), ok(()));
    expect_that!(
        call_service(ANSWER, Close::Reset),
        err(eq(Connection::Ended))
    );
}

// Guards against an unframed stream that an engine broke off being returned as complete.
#[gtest]
fn an_engine_stream_without_its_last_event_is_an_error() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    const EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    const USAGE: &str =
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}\n\n";
    let complete = format!("{EVENT}{USAGE}data: [DONE]\n\n");
    let last_line = complete.len() - 1;
    for length in (0..complete.len())
        .step_by(3)
        .chain([last_line - 1, last_line])
    {
        let text = format!("{HEAD}{}", &complete[..length]);
        let url = serve_raw(Box::leak(text.into_boxed_str()), Close::Orderly);
        let engine = HttpEngine::new(&url, TIMEOUT);
        let read = block_on(async {
            let mut stream = engine.generate(generation(1, 1, "x", 4)).await?;
            read_all(&mut stream, 0).await
        });
        expect_that!(read.is_ok(), eq(length >= last_line), "{length} bytes");
    }
}

/// Starts a server that writes a refusal twice on its first connection and keeps it open, and answers
/// with 200 on others. Returns its URL.
fn serve_repeated_refusal() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let mut open = Vec::new();
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            read_request(&mut stream);
            let answer = match number {
                0 => "HTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\nfull".repeat(2),
                _ => "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone".to_owned(),
            };
            stream.write_all(answer.as_bytes()).unwrap();
            open.push(stream);
        }
    });
    url
}

// Guards against the refusal of an earlier call that is taken for the answer to the next one: each call
// has a connection of its own.
#[gtest]
fn a_refusal_that_is_written_again_answers_no_later_call() {
    let service = HttpService::new(&serve_repeated_refusal(), TIMEOUT);
    let refused = block_on(service.invoke(transfer(8))).unwrap();
    expect_that!(refused.status, eq(503));
    let answered = block_on(service.invoke(transfer(9))).unwrap();
    expect_that!((answered.status, &*answered.body), eq((200, "done")));
    let engine = HttpEngine::new(&serve_repeated_refusal(), TIMEOUT);
    let refused = block_on(engine.cancel(10));
    expect_that!(refused, err(anything()));
    expect_that!(block_on(engine.cancel(11)), ok(anything()));
}

// Guards against a status that the protocol does not have reaching the caller as that of an answer.
#[gtest]
fn an_answer_with_an_unknown_status_is_none() {
    for status in [
        "000 Nothing",
        "099 Early",
        "101 Switching",
        "600 Late",
        "999 No",
    ] {
        for framed in [
            "content-length: 0\r\n\r\n",
            "content-length: 2\r\n\r\n{}",
            "\r\n{}",
        ] {
            let answer: &str = Box::leak(format!("HTTP/1.1 {status}\r\n{framed}").into_boxed_str());
            let service = HttpService::new(&serve_raw(answer, Close::Orderly), TIMEOUT);
            let answered = block_on(service.invoke(transfer(7)));
            expect_that!(
                answered,
                err(matches_pattern!(ServiceError::Unknown(_))),
                "{answer:?}"
            );
            let engine = HttpEngine::new(&serve_raw(answer, Close::Orderly), TIMEOUT);
            let answered = block_on(engine.cancel(10));
            expect_that!(answered, err(anything()), "{answer:?}");
        }
    }
}
