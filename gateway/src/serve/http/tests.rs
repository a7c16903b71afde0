use super::body::{BodyDecoder, BodyError};
use super::head::{Framing, HeadError, parse_request};
use super::response::parse_response;
use googletest::prelude::*;
use std::time::Duration;

fn framing_of(lines: &str) -> std::result::Result<Framing, HeadError> {
    let text = format!("POST /a/b HTTP/1.1\r\nHost: x.example\r\n{lines}\r\n");
    let (head, length) = parse_request(text.as_bytes())?.expect("a complete head");
    assert_eq!(length, text.len());
    Ok(head.framing)
}

#[googletest::test]
fn framing_of_requests_is_parsed() {
    let cases = [
        ("", Framing::Empty),
        ("Content-Length: 12\r\n", Framing::Length(12)),
        ("Transfer-Encoding: chunked\r\n", Framing::Chunked),
        ("transfer-encoding: Chunked\r\n", Framing::Chunked),
    ];
    for (lines, framing) in cases {
        expect_that!(framing_of(lines), ok(eq(framing)), "{lines}");
    }
}

#[googletest::test]
fn ambiguous_framing_is_refused() {
    let cases = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 5 \r\n x\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length:\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "A: b\nContent-Length: 5\r\n",
        "Host: other.example\r\n",
    ];
    for lines in cases {
        expect_that!(framing_of(lines), err(eq(HeadError::Malformed)), "{lines}");
    }
}

#[googletest::test]
fn a_request_needs_a_host() {
    let parsed = parse_request(b"GET / HTTP/1.1\r\n\r\n");
    expect_that!(parsed.map(|_| ()), err(eq(HeadError::Malformed)));
}

#[googletest::test]
fn an_incomplete_head_is_not_an_error() {
    let parsed = parse_request(b"GET /a HTTP/1.1\r\nHost: x.exam").expect("no error");
    expect_that!(parsed.is_none(), eq(true));
}

#[googletest::test]
fn connection_and_host_headers_are_parsed() {
    let text = b"GET /a HTTP/1.1\r\nHost: X.Example:81\r\nConnection: foo, Close\r\n\r\n";
    let (head, _) = parse_request(text)
        .expect("valid")
        .expect("a complete head");
    expect_that!(head.host, eq("x.example"));
    expect_that!(head.keep_alive, eq(false));
}

/// Decodes a body that arrives byte by byte and returns its bytes, whether it is complete, and the
/// number of input bytes consumed.
fn decode(
    framing: Framing,
    input: &[u8],
) -> std::result::Result<(Vec<u8>, bool, usize), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut out = Vec::new();
    let mut pending = Vec::new();
    let mut used = 0;
    for byte in input {
        pending.push(*byte);
        let count = decoder.decode(&pending, &mut out)?;
        pending.drain(..count);
        used += count;
    }
    Ok((out, decoder.is_done(), used))
}

#[googletest::test]
fn chunks_are_decoded_when_they_arrive_byte_by_byte() {
    let input = b"4;x=y\r\nabcd\r\n1\r\ne\r\n0\r\nT: r\r\n\r\nnext";
    let (out, is_done, used) = decode(Framing::Chunked, input).expect("valid");
    expect_that!(out, eq(b"abcde"));
    expect_that!(is_done, eq(true));
    expect_that!(used, eq(input.len() - 4));
}

#[googletest::test]
fn invalid_chunks_are_refused() {
    for input in [
        &b"4\nabcd\r\n"[..],
        b"4\r\nabcdX\r\n0\r\n\r\n",
        b"-4\r\nabcd\r\n",
        b"\r\n",
        b"g\r\n",
        b"fffffffffffffffff\r\n",
    ] {
        let decoded = decode(Framing::Chunked, input).map(|_| ());
        expect_that!(decoded, err(eq(BodyError::Malformed)));
    }
}

#[googletest::test]
fn the_end_of_the_connection_completes_only_a_body_without_length() {
    let mut until_close = BodyDecoder::new(Framing::UntilClose);
    expect_that!(until_close.end(), ok(anything()));
    let mut truncated = BodyDecoder::new(Framing::Length(3));
    expect_that!(truncated.end(), err(eq(BodyError::Truncated)));
    let mut truncated = BodyDecoder::new(Framing::Chunked);
    expect_that!(truncated.end(), err(eq(BodyError::Truncated)));
}

#[googletest::test]
fn heads_of_answers_are_parsed() {
    let text = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2, max=9\r\nContent-Length: 3\r\n\r\nabc";
    let (head, length) = parse_response(text)
        .expect("valid")
        .expect("a complete head");
    expect_that!(length, eq(text.len() - 3));
    expect_that!(head.framing, eq(Framing::Length(3)));
    expect_that!(head.keep_alive, eq(true));
    expect_that!(head.idle_timeout, some(eq(Duration::from_secs(2))));
}

#[googletest::test]
fn an_answer_without_length_ends_with_its_connection() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n";
    let (head, _) = parse_response(text)
        .expect("valid")
        .expect("a complete head");
    expect_that!(head.framing, eq(Framing::UntilClose));
    expect_that!(head.keep_alive, eq(false));
}

#[googletest::test]
fn invalid_answers_are_refused() {
    for text in [
        &b"\x00\x01garbage\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
    ] {
        expect_that!(parse_response(text).is_err(), eq(true));
    }
}

// Guards against a status that the protocol does not have in an answer to any request of the gateway:
// of endpoints, of their status, of the store and of peers.
#[googletest::test]
fn a_head_is_an_answer_only_with_a_status_of_the_protocol() {
    for status in 0..1_000 {
        let head = format!("HTTP/1.1 {status:03} Status\r\nContent-Length: 0\r\n\r\n");
        let is_valid = (100..600).contains(&status) && status != 101;
        let parsed = parse_response(head.as_bytes());
        expect_that!(parsed.is_ok(), eq(is_valid), "{status}");
    }
}
