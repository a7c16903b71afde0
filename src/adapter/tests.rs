//! Tests of the HTTP clients against the stand-ins.

use super::{HttpEngine, HttpLog, HttpService, HttpVmList, HttpWeightStore};
use crate::protocol::engine::{
    Engine, EngineError, EngineEvent, EngineOrder, EngineStream, GenerateRequest,
};
use crate::protocol::log::{Log, LogError, ReadLimit};
use crate::protocol::message::{Message, Role};
use crate::protocol::service::{Service, ServiceError, ServiceRequest};
use crate::protocol::vms::VmList;
use crate::protocol::weights::{WeightGrant, WeightStore};
use crate::standin::{
    EngineConfig, EngineControl, EngineStandin, LogConfig, LogControl, LogStandin, Outage,
    ServiceConfig, ServiceControl, ServiceStandin, TokenLedger, VmsConfig, VmsControl, VmsStandin,
    WeightsConfig, WeightsStandin, expected_answer, expected_result, prompt_tokens,
};
use futures_lite::future::block_on;
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// For responses that are expected to arrive.
const TIMEOUT: Duration = Duration::from_secs(20);

/// For responses that are expected not to arrive.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn generation(call: u128, program: u128, text: &str, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        call,
        program,
        model: "matcher-llm".to_owned(),
        messages: vec![Message::new(Role::User, text)],
        max_tokens,
    }
}

fn fast_engine() -> EngineConfig {
    EngineConfig {
        time_scale: 0.01,
        ..EngineConfig::default()
    }
}

/// Reads a stream to its end and returns its text. Asserts that the token indices are contiguous.
async fn read_all(stream: &mut impl EngineStream, from: u32) -> Result<String, EngineError> {
    let mut text = String::new();
    let mut next = from;
    while let Some(event) = stream.next().await {
        if let EngineEvent::Delta {
            index,
            tokens,
            text: part,
        } = event?
        {
            assert_eq!(index, next);
            next += tokens;
            text.push_str(&part);
        }
    }
    Ok(text)
}

#[gtest]
fn log_returns_appended_records_in_order() {
    block_on(async {
        let standin = LogStandin::start(LogConfig::default()).await.unwrap();
        let log = HttpLog::new(&standin.url(), TIMEOUT);
        let first = log.append("partition/3", vec![1, 2]).await;
        let second = log.append("partition/3", vec![3; 5000]).await;
        let page = log.read("partition/3", 1, ReadLimit::default()).await;
        let page = page.unwrap();
        expect_that!(first, ok(eq(&1)));
        expect_that!(second, ok(eq(&2)));
        expect_that!(page.next, eq(3));
        let data: Vec<_> = page.records.into_iter().map(|record| record.data).collect();
        expect_that!(data, eq(&vec![vec![1, 2], vec![3; 5000]]));
        expect_that!(standin.counts().append_bytes, eq(5002));
    });
}

#[gtest]
fn log_read_waits_for_an_append() {
    block_on(async {
        let standin = LogStandin::start(LogConfig::default()).await.unwrap();
        let log = HttpLog::new(&standin.url(), TIMEOUT);
        let limit = ReadLimit {
            wait: TIMEOUT,
            ..ReadLimit::default()
        };
        let read = log.read("s", 1, limit);
        let append = async {
            smol::Timer::after(Duration::from_millis(50)).await;
            log.append("s", vec![9]).await
        };
        let (page, offset) = futures_lite::future::zip(read, append).await;
        expect_that!(offset, ok(eq(&1)));
        expect_that!(page.unwrap().records.len(), eq(1));
    });
}

#[gtest]
fn log_faults_become_typed_errors() {
    block_on(async {
        let config = LogConfig {
            burst: 3.0,
            appends_per_s: 0.1,
            ..LogConfig::default()
        };
        let standin = LogStandin::start(config).await.unwrap();
        let log = HttpLog::new(&standin.url(), SHORT_TIMEOUT);
        let lose = LogControl {
            lose_answers: Some(1),
            ..LogControl::default()
        };
        standin.control(lose).await;
        let lost = log.append("s", vec![1]).await;
        expect_that!(lost, err(matches_pattern!(LogError::Unavailable(_))));
        expect_that!(standin.records("s").len(), eq(1));
        expect_that!(log.append("s", vec![2]).await, ok(eq(&2)));
        expect_that!(log.append("s", vec![3]).await, ok(eq(&3)));
        let throttled = log.append("s", vec![4]).await;
        expect_that!(throttled, err(matches_pattern!(LogError::Throttled { .. })));
        standin.trim("s", 3);
        let trimmed = log.read("s", 1, ReadLimit::default()).await;
        expect_that!(trimmed, err(eq(&LogError::Trimmed { first: 3 })));
    });
}

#[gtest]
fn log_is_unavailable_during_an_outage_only() {
    block_on(async {
        let standin = LogStandin::start(LogConfig::default()).await.unwrap();
        let log = HttpLog::new(&standin.url(), SHORT_TIMEOUT);
        for outage in [Outage::Refuse, Outage::Hang, Outage::Error] {
            let begin = LogControl {
                outage: Some(outage),
                ..LogControl::default()
            };
            standin.control(begin).await;
            let down = log.append("s", vec![1]).await;
            expect_that!(down, err(matches_pattern!(LogError::Unavailable(_))));
            let end = LogControl {
                outage: Some(Outage::None),
                ..LogControl::default()
            };
            standin.control(end).await;
            let log_after_outage = HttpLog::new(&standin.url(), TIMEOUT);
            expect_that!(log_after_outage.append("s", vec![1]).await, ok(anything()));
        }
        expect_that!(standin.counts().appends, eq(3));
    });
}

#[gtest]
fn engine_returns_the_answer_of_each_prompt() {
    block_on(async {
        let standin = EngineStandin::start(fast_engine(), TokenLedger::default())
            .await
            .unwrap();
        let engine = HttpEngine::new(&standin.url(), TIMEOUT);
        let request = generation(1, 7, "an otter or a red panda?", 64);
        let mut stream = engine.generate(request.clone()).await.unwrap();
        let text = read_all(&mut stream, 0).await;
        expect_that!(text, ok(eq(&expected_answer(&request.messages, 64))));
        let counts = standin.counts();
        expect_that!(
            counts.prompt_tokens,
            eq(u64::from(prompt_tokens(&request.messages)))
        );
        expect_that!(engine.release(7).await, ok(eq(&0)));
        expect_that!(standin.cached_programs(), is_empty());
    });
}

#[gtest]
fn engine_stream_can_be_resumed_after_its_connection_goes_silent() {
    block_on(async {
        let config = EngineConfig {
            time_scale: 0.1,
            ..EngineConfig::default()
        };
        let standin = EngineStandin::start(config, TokenLedger::default())
            .await
            .unwrap();
        let engine = HttpEngine::new(&standin.url(), TIMEOUT);
        let request = generation(1, 7, "repair offer", 400);
        let mut stream = engine.generate(request.clone()).await.unwrap();
        expect_that!(stream.next().await, some(ok(anything())));
        let silence = EngineControl {
            silence: Some(true),
            ..EngineControl::default()
        };
        standin.control(silence).await;
        let rest =
            futures_lite::future::or(async { Some(read_all(&mut stream, 1).await) }, async {
                smol::Timer::after(SHORT_TIMEOUT).await;
                None
            });
        expect_that!(rest.await, none());
        let mut resumed = engine.resume(1, 0).await.unwrap();
        let text = read_all(&mut resumed, 0).await;
        expect_that!(text, ok(eq(&expected_answer(&request.messages, 400))));
    });
}

#[gtest]
fn engine_stream_can_be_resumed_within_a_chunk() {
    block_on(async {
        let config = EngineConfig {
            chunk_tokens: 16,
            ..fast_engine()
        };
        let standin = EngineStandin::start(config, TokenLedger::default())
            .await
            .unwrap();
        let engine = HttpEngine::new(&standin.url(), TIMEOUT);
        let request = generation(1, 7, "a booking", 200);
        let answer = expected_answer(&request.messages, 200);
        let mut stream = engine.generate(request).await.unwrap();
        let mut resumed = engine.resume(1, 25).await.unwrap();
        expect_that!(read_all(&mut stream, 0).await, ok(eq(&answer)));
        let rest = read_all(&mut resumed, 25).await;
        expect_that!(rest, ok(eq(&answer[25 * 5 - 1..])));
        let mut late = engine.resume(1, 30).await.unwrap();
        expect_that!(read_all(&mut late, 30).await, ok(eq(&answer[30 * 5 - 1..])));
    });
}

#[gtest]
fn engine_stopping_mid_stream_is_an_error() {
    block_on(async {
        let standin = EngineStandin::start(EngineConfig::default(), TokenLedger::default())
            .await
            .unwrap();
        let engine = HttpEngine::new(&standin.url(), TIMEOUT);
        let mut stream = engine.generate(generation(1, 7, "x", 4000)).await.unwrap();
        expect_that!(stream.next().await, some(ok(anything())));
        standin.stop().await;
        let rest = read_all(&mut stream, 1).await;
        expect_that!(rest, err(matches_pattern!(EngineError::Unreachable(_))));
        expect_that!(stream.next().await, none());
        let again = engine.resume(1, 0).await.map(drop);
        expect_that!(again, err(matches_pattern!(EngineError::Unreachable(_))));
    });
}

fn transfer(call: u128) -> ServiceRequest {
    ServiceRequest {
        operation: "transfer".to_owned(),
        call,
        body: r#"{"hours":2}"#.to_owned(),
    }
}

#[gtest]
fn service_reports_whether_a_failed_request_may_have_run() {
    block_on(async {
        let standin = ServiceStandin::start(ServiceConfig::default())
            .await
            .unwrap();
        let service = HttpService::new(&standin.url(), SHORT_TIMEOUT);
        let reply = service.invoke(transfer(1)).await.unwrap();
        let call = crate::ids::format_id(1);
        expect_that!(reply.status, eq(200));
        expect_that!(
            reply.body,
            eq(&expected_result("transfer", &call, r#"{"hours":2}"#))
        );
        let faults = [
            ServiceControl {
                lose_answers: Some(1),
                ..ServiceControl::default()
            },
            ServiceControl {
                hang_before: Some(1),
                ..ServiceControl::default()
            },
            ServiceControl {
                hang_after: Some(1),
                ..ServiceControl::default()
            },
            ServiceControl {
                cut_before: Some(1),
                ..ServiceControl::default()
            },
        ];
        for (call, fault) in (2..).zip(faults) {
            standin.control(fault).await;
            let reply = service.invoke(transfer(call)).await;
            expect_that!(reply, err(matches_pattern!(ServiceError::Unknown(_))));
        }
        expect_that!(
            [2, 3, 4, 5].map(|call| standin.run_count(call)),
            eq([1, 0, 1, 0])
        );
        expect_that!(standin.counts().requests, eq(5));
        standin.stop().await;
        let reply = service.invoke(transfer(6)).await;
        expect_that!(reply, err(matches_pattern!(ServiceError::NotSent(_))));
    });
}

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

#[gtest]
fn engine_exports_and_imports_caches_and_fences_orders() {
    block_on(async {
        let config = EngineConfig {
            models: vec![("matcher-llm".to_owned(), 1)],
            event_loss: 0.0,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            ..fast_engine()
        };
        let ledger = TokenLedger::default();
        let first = EngineStandin::start(config.clone(), ledger.clone())
            .await
            .unwrap();
        let second = EngineStandin::start(config, ledger).await.unwrap();
        let from = HttpEngine::new(&first.url(), TIMEOUT);
        let to = HttpEngine::new(&second.url(), TIMEOUT);
        let request = generation(1, 7, "a long story of a red panda", 8);
        read_all(&mut from.generate(request.clone()).await.unwrap(), 0)
            .await
            .unwrap();
        let cache = from.export(7).await.unwrap();
        expect_that!(from.export(8).await, err(eq(&EngineError::Unknown)));
        expect_that!(to.import(7, cache).await, ok(anything()));
        let refused = to.import(7, b"nonsense".to_vec()).await;
        expect_that!(refused, err(matches_pattern!(EngineError::Refused(_))));
        expect_that!(second.cached_programs(), eq(&first.cached_programs()));
        let events = to.cache_events(0).await.unwrap();
        expect_that!(events.len(), eq(1));
        let unload = EngineOrder::Unload {
            model: "matcher-llm".to_owned(),
        };
        expect_that!(to.order(unload.clone(), 5).await, ok(anything()));
        expect_that!(to.order(unload, 4).await, err(eq(&EngineError::Fenced)));
        expect_that!(to.load().await.unwrap().models, is_empty());
        let other = to.generate(generation(2, 7, "x", 8)).await.map(drop);
        expect_that!(other, err(matches_pattern!(EngineError::Refused(_))));
        expect_that!(second.counts().orders.len(), eq(1));
    });
}

#[gtest]
fn engine_stream_can_be_cancelled_and_is_then_unknown() {
    block_on(async {
        let standin = EngineStandin::start(EngineConfig::default(), TokenLedger::default())
            .await
            .unwrap();
        let engine = HttpEngine::new(&standin.url(), TIMEOUT);
        let mut stream = engine.generate(generation(1, 7, "x", 4000)).await.unwrap();
        expect_that!(stream.next().await, some(ok(anything())));
        expect_that!(engine.cancel(1).await, ok(anything()));
        expect_that!(engine.cancel(1).await, ok(anything()));
        let rest = read_all(&mut stream, 1).await;
        expect_that!(rest, err(matches_pattern!(EngineError::Refused(_))));
        let again = engine.resume(1, 0).await.map(drop);
        expect_that!(again, err(eq(&EngineError::Unknown)));
        expect_that!(engine.release(7).await, ok(eq(&0)));
        expect_that!(standin.cached_programs(), is_empty());
    });
}

#[gtest]
fn vm_list_and_weight_store_return_none_when_unavailable() {
    block_on(async {
        let vms = VmsStandin::start(VmsConfig::default()).await.unwrap();
        let list = HttpVmList::new(&vms.url(), TIMEOUT);
        expect_that!(list.vms().await, some(is_empty()));
        let down = VmsControl {
            down: Some(true),
            ..VmsControl::default()
        };
        vms.control(down).await;
        expect_that!(list.vms().await, none());
        let config = WeightsConfig {
            grants_per_s: 0.01,
            burst: 1.0,
        };
        let weights = WeightsStandin::start(config).await.unwrap();
        let store = HttpWeightStore::new(&weights.url(), TIMEOUT);
        let model = "matcher-llm".to_owned();
        let grants = [
            store.request(&model, 1).await,
            store.request(&model, 1).await,
        ];
        expect_that!(grants[0], some(eq(WeightGrant::Granted)));
        expect_that!(grants[1], some(matches_pattern!(WeightGrant::Wait(_))));
        weights.stop().await;
        expect_that!(store.request(&model, 1).await, none());
    });
}
