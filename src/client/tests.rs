//! Tests of the event parser, the collector and the retries.

use super::sse::SseParser;
use super::{
    CallError, Client, Collector, RetryDeadline, RetryOutcome, StreamEvent, StreamFault, Timeouts,
};
use crate::protocol::caller::{CallAnswer, CallRequest, ProgramRequest};
use crate::protocol::engine::EngineUsage;
use crate::protocol::link::{Answer, Durability, Tokens};
use crate::protocol::message::Usage;
use crate::protocol::refusal::RefusalCode;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use googletest::prelude::*;
use proptest::prelude::*;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn tokens(index: u32, count: u32, text: &str) -> Tokens {
    Tokens {
        index,
        count,
        text: text.to_owned(),
    }
}

fn answer(content: &str) -> Answer {
    Answer {
        call: 1,
        content: content.to_owned(),
        status: None,
        usage: EngineUsage::default(),
        spent: Usage::default(),
        durability: Durability::Committed { offset: 1 },
    }
}

#[gtest]
fn collector_accepts_a_resumed_stream() {
    let mut collector = Collector::default();
    collector.add(&tokens(0, 2, "a b")).unwrap();
    collector.add(&tokens(2, 1, " c")).unwrap();
    expect_that!(collector.finish(&answer("a b c")), ok(anything()));
}

#[gtest]
fn collector_detects_gaps_repeats_and_different_text() {
    let mut collector = Collector::default();
    collector.add(&tokens(0, 1, "x")).unwrap();
    let gap = |expected, found| StreamFault::Gap { expected, found };
    expect_that!(collector.add(&tokens(2, 1, "z")), err(eq(&gap(1, 2))));
    expect_that!(collector.add(&tokens(0, 1, "x")), err(eq(&gap(1, 0))));
    collector.restart();
    collector.add(&tokens(0, 1, "y")).unwrap();
    expect_that!(collector.finish(&answer("y")), err(anything()));
}

#[gtest]
fn a_resumed_answer_may_omit_its_remaining_tokens() {
    let mut collector = Collector::default();
    collector.add(&tokens(0, 1, "a")).unwrap();
    expect_that!(collector.finish(&answer("a b")), err(anything()));
    collector.expect_resumed();
    expect_that!(collector.finish(&answer("a b")), ok(anything()));
    expect_that!(collector.finish(&answer("b")), err(anything()));
}

proptest! {
    #[test]
    fn parser_returns_the_same_events_for_any_split(cuts in prop::collection::vec(1usize..9, 0..40)) {
        let text = b"event: tokens\ndata: {\"a\":1}\n\n: ping\n\ndata: x\r\ndata: y\r\n\r\n";
        let mut whole = SseParser::default();
        whole.feed(text).unwrap();
        let mut parts = SseParser::default();
        let mut rest = &text[..];
        for cut in cuts {
            let (head, tail) = rest.split_at(cut.min(rest.len()));
            parts.feed(head).unwrap();
            rest = tail;
        }
        parts.feed(rest).unwrap();
        for _ in 0..3 {
            prop_assert_eq!(whole.next(), parts.next());
        }
    }

    #[test]
    fn parser_does_not_panic_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut parser = SseParser::default();
        let _ = parser.feed(&bytes);
        while parser.next().is_some() {}
    }
}

/// Answers each connection with the next text and closes it. Further connections get the last text.
async fn serve(listener: TcpListener, answers: Vec<String>) {
    for served in 0.. {
        let Ok((conn, _)) = listener.accept().await else {
            return;
        };
        let text = &answers[served.min(answers.len() - 1)];
        let _ = answer_one(conn, text).await;
    }
}

async fn answer_one(mut conn: TcpStream, text: &str) -> std::io::Result<()> {
    let mut buf = vec![0; 4096];
    let mut head = Vec::new();
    while !head.windows(4).any(|four| four == b"\r\n\r\n") {
        let len = conn.read(&mut buf).await?;
        head.extend_from_slice(&buf[..len]);
        if len == 0 {
            break;
        }
    }
    conn.write_all(text.as_bytes()).await?;
    conn.flush().await
}

fn response(status: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}")
}

fn events(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\n\r\n{body}")
}

/// Runs `run` with a client of a server that gives these answers.
fn with_answers<T>(answers: Vec<String>, run: impl AsyncFnOnce(Client) -> T) -> T {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = smol::spawn(serve(listener, answers));
        let client = Client::new([address], "t").with_timeouts(Timeouts {
            reply: Duration::from_secs(5),
            answer: Duration::from_secs(5),
            silence: Duration::from_secs(5),
        });
        let result = run(client).await;
        server.cancel().await;
        result
    })
}

const OVERLOADED: &str =
    r#"{"code": "overloaded", "ran": "no", "retry_after_ms": 1, "message": "Full."}"#;
const CONFLICT: &str =
    r#"{"code": "conflict", "ran": "no", "retry_after_ms": null, "message": "Other call."}"#;
const PROGRAM: &str =
    r#"{"program": "0000000000000000000000000000002a", "durability": "committed", "offset": 3}"#;

#[gtest]
fn retries_a_refusal_with_a_retry_time() {
    let answers = vec![
        response("503 Service Unavailable", OVERLOADED),
        response("201 Created", PROGRAM),
    ];
    let outcome = with_answers(answers, async |client| {
        let deadline = RetryDeadline::after(Duration::from_secs(20));
        client
            .create_with_retry(&ProgramRequest::default(), deadline)
            .await
    });
    expect_that!(outcome.requests_sent, eq(2));
    expect_that!(outcome.result.unwrap().program, eq(42));
}

// Guards against retries before the time that a refusal asks for.
#[gtest]
fn waits_at_least_for_the_retry_time_of_a_refusal() {
    const RETRY_AFTER: Duration = Duration::from_millis(60);
    let refusal = r#"{"code": "endpoint_failed", "ran": "no", "retry_after_ms": 60,
        "message": "The call crashed the endpoints that ran it."}"#;
    for _ in 0..12 {
        let answers = vec![
            response("503 Service Unavailable", refusal),
            response("201 Created", PROGRAM),
        ];
        let (outcome, took) = with_answers(answers, async |client| {
            let started_at = Instant::now();
            let deadline = RetryDeadline::after(Duration::from_secs(20));
            let request = ProgramRequest::default();
            let outcome = client.create_with_retry(&request, deadline).await;
            (outcome, started_at.elapsed())
        });
        expect_that!(outcome.requests_sent, eq(2));
        expect_that!(took, ge(RETRY_AFTER));
    }
}

// Guards against a caller that waits in vain for a quarantine that outlasts its deadline.
#[gtest]
fn returns_a_refusal_whose_retry_time_is_after_the_deadline() {
    let refusal = r#"{"code": "endpoint_failed", "ran": "no", "retry_after_ms": 120000,
        "message": "The call crashed the endpoints that ran it."}"#;
    let answers = vec![response("503 Service Unavailable", refusal)];
    let started_at = Instant::now();
    let outcome = with_answers(answers, async |client| {
        let call = CallRequest::model("m", vec![], 1).key("k");
        let deadline = RetryDeadline::after(Duration::from_secs(60));
        client.call_with_retry(1, &call, deadline).await
    });
    expect_that!(outcome.requests_sent, eq(1));
    expect_that!(outcome.result, err(matches_pattern!(CallError::Refused(_))));
    expect_that!(started_at.elapsed(), lt(Duration::from_secs(5)));
}

#[gtest]
fn returns_a_refusal_without_a_retry_time() {
    let answers = vec![response("409 Conflict", CONFLICT)];
    let outcome = with_answers(answers, async |client| {
        let call = CallRequest::model("m", vec![], 1).key("k");
        let deadline = RetryDeadline::after(Duration::from_secs(20));
        client.call_with_retry(1, &call, deadline).await
    });
    expect_that!(outcome.requests_sent, eq(1));
    let Err(CallError::Refused(refusal)) = outcome.result else {
        panic!("not refused");
    };
    expect_that!(refusal.code, eq(RefusalCode::Conflict));
}

#[gtest]
fn resumes_a_broken_stream_at_its_next_token() {
    let first = "event: accepted\ndata: {\"call\":\"00000000000000000000000000000001\"}\n\n\
        event: tokens\ndata: {\"index\":0,\"count\":1,\"text\":\"a\"}\n\n";
    let second = format!(
        "event: tokens\ndata: {{\"index\":1,\"count\":1,\"text\":\" b\"}}\n\nevent: done\ndata: {}\n\n",
        serde_json::to_string(&crate::protocol::caller::CallAnswer::from(answer("a b"))).unwrap()
    );
    let answers = vec![events(first), events(&second)];
    let outcome = with_answers(answers, async |client| {
        let call = CallRequest::model("m", vec![], 1).key("k");
        let deadline = RetryDeadline::after(Duration::from_secs(20));
        client.stream_with_retry(1, &call, deadline).await
    });
    expect_that!(outcome.fault, none());
    expect_that!(outcome.requests_sent, eq(2));
    expect_that!(outcome.result.unwrap().content, eq("a b"));
}

// Guards against an unframed answer that was broken off being returned as the whole answer.
#[gtest]
fn a_truncated_answer_is_an_error() {
    let stream = "event: tokens\ndata: {\"index\":0,\"count\":1,\"text\":\"a\"}\n\n\
                  event: done\ndata: {\"call\":\"00000000000000000000000000000001\"";
    let unframed = |body: &str| format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}");
    for length in (0..=stream.len()).step_by(5) {
        let read = with_answers(vec![events(&stream[..length])], async |client| {
            let request = CallRequest::model("m", Vec::new(), 4);
            let mut stream = client.stream(1, &request).await.unwrap();
            loop {
                match stream.next().await {
                    Some(Ok(StreamEvent::Done(_))) => break true,
                    Some(Ok(_)) => {}
                    Some(Err(_)) | None => break false,
                }
            }
        });
        expect_that!(read, eq(false), "{length} bytes");
    }
    for length in (0..PROGRAM.len()).step_by(9) {
        let created = with_answers(vec![unframed(&PROGRAM[..length])], async |client| {
            client.create(&ProgramRequest::default()).await
        });
        expect_that!(created, err(anything()), "{length} bytes");
    }
}

#[gtest]
fn does_not_retry_a_broken_call_without_a_key() {
    let outcome = with_answers(vec![String::new()], async |client| {
        let call = CallRequest::tool("bank-core", "transfer", serde_json::json!({}));
        let deadline = RetryDeadline::after(Duration::from_secs(20));
        client.call_with_retry(1, &call, deadline).await
    });
    expect_that!(outcome.requests_sent, eq(1));
    expect_that!(outcome.result, err(matches_pattern!(CallError::Broken(_))));
}

// Guards against giving up a call that was never sent, because its entry had stopped.
#[gtest]
fn sends_a_call_without_a_key_to_the_next_entry_if_no_connection_opens() {
    let text =
        serde_json::to_string(&crate::protocol::caller::CallAnswer::from(answer("a"))).unwrap();
    let outcome = with_answers(vec![response("200 OK", &text)], async |client| {
        let closed = "127.0.0.1:1".to_owned();
        let client = Client {
            entries: [closed, client.entries[0].clone()].into(),
            ..client
        };
        let call = CallRequest::tool("bank-core", "transfer", serde_json::json!({}));
        let deadline = RetryDeadline::after(Duration::from_secs(20));
        client.call_with_retry(1, &call, deadline).await
    });
    expect_that!(outcome.requests_sent, eq(2));
    expect_that!(outcome.result.map(|answer| answer.content), ok(eq("a")));
}

/// Length of the token parts of the streamed answer, which a resume may split.
const PART_TOKENS: usize = 3;

/// Returns the answer of an entry for a stream from a token on, with one letter a token.
fn streamed_answer(content: &str, from: usize) -> String {
    let mut body =
        "event: accepted\ndata: {\"call\":\"00000000000000000000000000000001\"}\n\n".to_owned();
    for index in (from..content.len()).step_by(PART_TOKENS) {
        let text = &content[index..content.len().min(index + PART_TOKENS)];
        let count = text.len();
        body.push_str(&format!(
            "event: tokens\ndata: {{\"index\":{index},\"count\":{count},\"text\":\"{text}\"}}\n\n"
        ));
    }
    let done = serde_json::to_string(&crate::protocol::caller::CallAnswer::from(answer(content)));
    body.push_str(&format!("event: done\ndata: {}\n\n", done.unwrap()));
    body
}

/// Returns the token from which a request resumes a stream; 0 for the first request.
fn resumed_from(head: &str) -> usize {
    let from = head
        .split_once("from=")
        .and_then(|(_, rest)| rest.split(['&', ' ']).next());
    from.map_or(0, |from| from.parse().unwrap())
}

/// Answers requests for a stream, and breaks off each answer but the last after `length` bytes.
async fn serve_broken(listener: TcpListener, content: &'static str, length: usize, breaks: usize) {
    for attempt in 0.. {
        let (mut conn, _) = listener.accept().await.unwrap();
        let mut buf = [0; 8192];
        let count = conn.read(&mut buf).await.unwrap();
        let from = resumed_from(&String::from_utf8_lossy(&buf[..count]));
        let mut text = events(&streamed_answer(content, from));
        if attempt < breaks {
            text.truncate(length);
        }
        conn.write_all(text.as_bytes()).await.unwrap();
        conn.flush().await.unwrap();
    }
}

/// Streams an answer that breaks off, and returns the whole outcome.
async fn stream_broken(
    content: &'static str,
    length: usize,
    breaks: usize,
) -> RetryOutcome<Answer> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new([listener.local_addr().unwrap().to_string()], "t");
    let server = smol::spawn(serve_broken(listener, content, length, breaks));
    let call = CallRequest::model("m", vec![], 8).key("k");
    let deadline = RetryDeadline::after(Duration::from_secs(20));
    let outcome = client.stream_with_retry(1, &call, deadline).await;
    server.cancel().await;
    outcome
}

// Guards against a resumed stream with a token that is missing or received twice, wherever it broke off.
#[gtest]
fn a_stream_that_breaks_off_anywhere_is_resumed_without_a_gap() {
    const CONTENT: &str = "abcdefgh";
    const AT_ONCE: usize = 64;
    let whole_bytes = events(&streamed_answer(CONTENT, 0)).len();
    let cases: Vec<_> = (0..whole_bytes)
        .flat_map(|length| [(length, 1), (length, 2)])
        .collect();
    for cases in cases.chunks(AT_ONCE) {
        let streams = cases
            .iter()
            .map(|&(length, breaks)| smol::spawn(stream_broken(CONTENT, length, breaks)));
        let outcomes = smol::block_on(futures_util::future::join_all(streams));
        for ((length, breaks), outcome) in cases.iter().zip(outcomes) {
            let case = format!("{length} bytes, {breaks} breaks");
            expect_that!(outcome.fault, none(), "{case}");
            let content = outcome.result.map(|answer| answer.content);
            expect_that!(content, ok(eq(CONTENT)), "{case}");
        }
    }
}

/// Reads a call up to the end of its body, which is an object; `None` at the end of the connection.
fn read_call(conn: &mut std::net::TcpStream) -> Option<()> {
    let mut buf = vec![0; 4096];
    let mut call = Vec::new();
    while !call.ends_with(b"}") {
        let length = std::io::Read::read(conn, &mut buf).ok()?;
        call.extend_from_slice(&buf[..length]);
        if length == 0 {
            return None;
        }
    }
    Some(())
}

/// Refuses the first request on the first connection and writes that refusal again at each later one
/// there, which runs. Answers requests on other connections. Returns the number of calls that ran.
fn serve_repeated_refusal(listener: std::net::TcpListener) -> Arc<AtomicU32> {
    let runs = Arc::new(AtomicU32::new(0));
    let counter = runs.clone();
    thread::spawn(move || {
        for (number, mut conn) in listener.incoming().flatten().enumerate() {
            let runs = counter.clone();
            thread::spawn(move || {
                let body = serde_json::to_string(&CallAnswer::from(answer("a"))).unwrap();
                let (status, body) = match number {
                    0 => ("503 Full", OVERLOADED),
                    _ => ("200 OK", &*body),
                };
                let length = body.len();
                let text = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
                let mut is_refused = number == 0;
                while read_call(&mut conn).is_some() {
                    runs.fetch_add(u32::from(!is_refused), Ordering::Relaxed);
                    is_refused = false;
                    // The client may have gone.
                    let _ = std::io::Write::write_all(&mut conn, text.as_bytes());
                }
            });
        }
    });
    runs
}

/// Guards against a call without a key that runs twice: the refusal of its first attempt, written again
/// on the kept connection, was believed to be the answer to the second one, which ran.
#[gtest]
fn a_call_without_a_key_runs_once_although_its_refusal_is_written_again() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let runs = serve_repeated_refusal(listener);
    let outcome = smol::block_on(async {
        let client = Client::new([address], "t");
        let call = CallRequest::model("m", vec![], 1);
        let deadline = RetryDeadline::after(Duration::from_secs(1));
        client.call_with_retry(1, &call, deadline).await
    });
    expect_that!(runs.load(Ordering::Relaxed), eq(1));
    expect_that!(outcome.result.map(|answer| answer.content), ok(eq("a")));
    expect_that!(outcome.requests_sent, eq(2));
}
