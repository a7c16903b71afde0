//! The adapters against a server with malformed answers: every request ends in a value or a typed
//! error within its timeout, and the adapter sends nothing twice.

use futures_lite::future::block_on;
use galenapick::protocol::engine::{
    Engine, EngineError, EngineEvent, EngineStream, GenerateRequest,
};
use galenapick::protocol::log::{Log, LogError, ReadLimit};
use galenapick::protocol::service::{Service, ServiceError, ServiceRequest};
use galenapick::protocol::vms::VmList;
use galenapick::protocol::weights::WeightStore;
use galenapick::{HttpEngine, HttpLog, HttpService, HttpVmList, HttpWeightStore, Message, Role};
use googletest::prelude::*;
use proptest::prelude::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Timeout of each request, well above the time that the local server needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A server that sends the same bytes on every connection and closes it.
struct MalformedServer {
    url: String,
    answer: Arc<Mutex<Vec<u8>>>,
    connections: Arc<AtomicU32>,
}

impl MalformedServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let answer = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicU32::new(0));
        let (shared, counter) = (answer.clone(), connections.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::SeqCst);
                let answer = shared.lock().unwrap().clone();
                // The client may close the connection early.
                let _ = serve(stream, &answer);
            }
        });
        Self {
            url,
            answer,
            connections,
        }
    }

    fn set_answer(&self, answer: Vec<u8>) {
        *self.answer.lock().unwrap() = answer;
    }

    /// Returns the number of connections since the previous call.
    fn take_connections(&self) -> u32 {
        self.connections.swap(0, Ordering::SeqCst)
    }
}

/// Reads a request with its body and sends the answer.
fn serve(mut stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while !is_complete(&request) {
        let count = stream.read(&mut buf)?;
        if count == 0 {
            break;
        }
        request.extend_from_slice(&buf[..count]);
    }
    stream.write_all(answer)
}

/// Returns true if a request has its complete body.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .filter_map(|line| {
            line.to_lowercase()
                .strip_prefix("content-length:")?
                .trim()
                .parse()
                .ok()
        })
        .next();
    body.len() >= length.unwrap_or(0)
}

/// Returns an HTTP answer with the given status and body.
fn http_answer(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        call: 1,
        program: 2,
        model: "helper-models".to_owned(),
        messages: vec![Message::new(Role::User, "otter")],
        max_tokens: 8,
    }
}

/// Reads a stream to its end and returns the number of events, or the first error.
async fn read_all(mut stream: impl EngineStream) -> std::result::Result<u32, EngineError> {
    let mut events = 0;
    while let Some(event) = stream.next().await {
        event?;
        events += 1;
    }
    Ok(events)
}

/// Returns true if the error is the one that the log adapter reports for a status without a valid
/// body.
fn is_log_error_for_status(error: Option<&LogError>, status: u16) -> bool {
    match error {
        Some(LogError::Throttled { .. }) => status == 429,
        Some(LogError::Unavailable(_)) => status != 429,
        _ => false,
    }
}

/// Sends one request of each kind and checks that each fails because of the server's answer.
async fn check_all_fail(url: &str, status: u16) -> std::result::Result<(), TestCaseError> {
    let log = HttpLog::new(url, TIMEOUT);
    let appended = log.append("s", vec![1]).await;
    let page = log.read("s", 1, ReadLimit::default()).await;
    prop_assert!(
        is_log_error_for_status(appended.as_ref().err(), status),
        "{appended:?}"
    );
    prop_assert!(
        is_log_error_for_status(page.as_ref().err(), status),
        "{page:?}"
    );
    let engine = HttpEngine::new(url, TIMEOUT);
    let events = match engine.generate(generate_request()).await {
        Ok(stream) => read_all(stream).await,
        Err(error) => Err(error),
    };
    prop_assert!(events.is_err());
    prop_assert!(engine.load().await.is_err());
    prop_assert!(engine.cache_events(0).await.is_err());
    prop_assert!(engine.release(1).await.is_err());
    prop_assert!(HttpVmList::new(url, TIMEOUT).vms().await.is_none());
    let weights = HttpWeightStore::new(url, TIMEOUT);
    prop_assert!(weights.request(&"m".to_owned(), 1).await.is_none());
    Ok(())
}

/// Sends one service call and returns the status of the reply.
async fn invoke(url: &str) -> std::result::Result<u16, ServiceError> {
    let request = ServiceRequest {
        operation: "charge".to_owned(),
        call: 9,
        body: "{}".to_owned(),
    };
    let reply = HttpService::new(url, TIMEOUT).invoke(request).await;
    reply.map(|reply| reply.status)
}

/// Generates JSON that has the protocol's keys in unexpected places.
fn arbitrary_json() -> impl Strategy<Value = String> {
    let keys = [
        "offset", "first", "next", "records", "choices", "delta", "usage", "error", "data",
    ];
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<i64>().prop_map(|number| number.to_string()),
        "[a-z]{0,6}".prop_map(|text| format!("{text:?}")),
    ];
    leaf.prop_recursive(3, 16, 4, move |inner| {
        let pair = (proptest::sample::select(keys.to_vec()), inner.clone());
        prop_oneof![
            proptest::collection::vec(inner, 0..4)
                .prop_map(|items| format!("[{}]", items.join(","))),
            proptest::collection::vec(pair, 0..4).prop_map(|pairs| {
                let pairs: Vec<_> = pairs
                    .iter()
                    .map(|(key, value)| format!("{key:?}:{value}"))
                    .collect();
                format!("{{{}}}", pairs.join(","))
            }),
        ]
    })
}

#[test]
fn malformed_http_answers_cause_errors() {
    let server = MalformedServer::start();
    let config = ProptestConfig::with_cases(100);
    let bytes = proptest::collection::vec(any::<u8>(), 0..300);
    proptest!(config, |(bytes in bytes)| {
        server.set_answer(bytes);
        block_on(check_all_fail(&server.url, 0))?;
        server.take_connections();
        let reply = block_on(invoke(&server.url));
        prop_assert!(matches!(reply, Err(ServiceError::Unknown(_))), "{reply:?}");
        prop_assert_eq!(server.take_connections(), 1);
    });
}

#[test]
fn malformed_bodies_cause_errors() {
    let server = MalformedServer::start();
    let config = ProptestConfig::with_cases(100);
    let status = proptest::sample::select(vec![200_u16, 204, 301, 400, 404, 410, 429, 500, 503]);
    let bytes = proptest::collection::vec(any::<u8>(), 1..300);
    proptest!(config, |(status in status, bytes in bytes)| {
        server.set_answer(http_answer(status, &bytes));
        block_on(check_all_fail(&server.url, status))?;
        server.take_connections();
        let reply = block_on(invoke(&server.url));
        let is_text = status == 204 || std::str::from_utf8(&bytes).is_ok();
        prop_assert_eq!(reply.ok(), is_text.then_some(status));
        prop_assert_eq!(server.take_connections(), 1);
    });
}

#[test]
fn unexpected_json_causes_errors() {
    let server = MalformedServer::start();
    let config = ProptestConfig::with_cases(200);
    proptest!(config, |(json in arbitrary_json(), cut_bytes in 0..8_usize)| {
        let body = &json.as_bytes()[..json.len().saturating_sub(cut_bytes)];
        server.set_answer(http_answer(200, body));
        let log = HttpLog::new(&server.url, TIMEOUT);
        let page = block_on(log.read("s", 1, ReadLimit::default()));
        prop_assert!(matches!(page, Err(LogError::Unavailable(_))), "{page:?}");
        let load = block_on(HttpEngine::new(&server.url, TIMEOUT).load());
        prop_assert!(matches!(load, Err(EngineError::Unreachable(_))), "{load:?}");
    });
}

#[test]
fn event_streams_with_unexpected_json_cause_errors() {
    let server = MalformedServer::start();
    let config = ProptestConfig::with_cases(200);
    let lines = proptest::collection::vec(arbitrary_json(), 0..5);
    proptest!(config, |(lines in lines, done in any::<bool>())| {
        let mut body: String = lines.iter().map(|line| format!("data: {line}\n\n")).collect();
        if done {
            body.push_str("data: [DONE]\n\n");
        }
        server.set_answer(http_answer(200, body.as_bytes()));
        let engine = HttpEngine::new(&server.url, TIMEOUT);
        let events = block_on(async { read_all(engine.generate(generate_request()).await?).await });
        prop_assert!(events.is_err(), "{events:?}");
    });
}

#[gtest]
fn a_truncated_answer_causes_an_error() {
    let server = MalformedServer::start();
    let chunk = r#"{"choices":[{"delta":{"content":"otter"}}]}"#;
    let whole = http_answer(200, format!("data: {chunk}\n\n").as_bytes());
    for length in 1..whole.len() {
        server.set_answer(whole[..length].to_vec());
        let engine = HttpEngine::new(&server.url, TIMEOUT);
        let events = block_on(async { read_all(engine.generate(generate_request()).await?).await });
        expect_that!(events, err(matches_pattern!(EngineError::Unreachable(_))));
        let reply = block_on(invoke(&server.url));
        expect_that!(reply, err(matches_pattern!(ServiceError::Unknown(_))));
    }
}

#[gtest]
fn a_stream_without_optional_fields_is_read() {
    let server = MalformedServer::start();
    let body = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\r\n\r\n\
                : comment\n\
                data: {\"choices\":[{\"delta\":{\"content\":\"red \"}}]}\n\n\
                data: {\"choices\":[{\"delta\":{\"content\":\"panda\"}}]}\n\n\
                data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n\
                data: [DONE]\n\n";
    server.set_answer(http_answer(200, body.as_bytes()));
    let engine = HttpEngine::new(&server.url, TIMEOUT);
    let events = block_on(async {
        let mut stream = engine.generate(generate_request()).await?;
        let mut events = Vec::new();
        while let Some(event) = stream.next().await {
            events.push(event?);
        }
        std::result::Result::<_, EngineError>::Ok(events)
    });
    let events = events.unwrap();
    expect_that!(events.len(), eq(3));
    expect_that!(
        events[1],
        matches_pattern!(EngineEvent::Delta { index: eq(&1), .. })
    );
    expect_that!(events[2], matches_pattern!(EngineEvent::Done(_)));
}
