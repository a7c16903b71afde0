//! The adapters against servers that answer with nonsense: every answer ends in a typed error or a
//! value, in time, and nothing is sent twice.

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

/// Far more than a server that answers at once needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A server that gives every connection the same bytes and closes it.
struct Nonsense {
    url: String,
    answer: Arc<Mutex<Vec<u8>>>,
    connections: Arc<AtomicU32>,
}

impl Nonsense {
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
                // A client that left early is part of the test.
                let _ = talk(stream, &answer);
            }
        });
        Self {
            url,
            answer,
            connections,
        }
    }

    fn says(&self, answer: Vec<u8>) {
        *self.answer.lock().unwrap() = answer;
    }

    /// Returns how many connections came since the last time.
    fn take_connections(&self) -> u32 {
        self.connections.swap(0, Ordering::SeqCst)
    }
}

/// Reads a request with its body, and answers.
fn talk(mut stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut request = Vec::new();
    let mut buf = [0; 4096];
    while !is_whole(&request) {
        let count = stream.read(&mut buf)?;
        if count == 0 {
            break;
        }
        request.extend_from_slice(&buf[..count]);
    }
    stream.write_all(answer)
}

/// Tells whether a request has its whole body.
fn is_whole(request: &[u8]) -> bool {
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

/// An HTTP answer with this body.
fn http(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn generation() -> GenerateRequest {
    GenerateRequest {
        call: 1,
        program: 2,
        model: "helper-models".to_owned(),
        messages: vec![Message::new(Role::User, "otter")],
        max_tokens: 8,
    }
}

/// Reads a stream to its end and returns how many events came before its error.
async fn read_all(mut stream: impl EngineStream) -> std::result::Result<u32, EngineError> {
    let mut events = 0;
    while let Some(event) = stream.next().await {
        event?;
        events += 1;
    }
    Ok(events)
}

/// Tells whether this is the log's error for a status whose body says nothing.
fn is_log_failure(error: Option<&LogError>, status: u16) -> bool {
    match error {
        Some(LogError::Throttled { .. }) => status == 429,
        Some(LogError::Unavailable(_)) => status != 429,
        _ => false,
    }
}

/// Sends one request of each kind; all must end in an error of the server's making.
async fn all_fail(url: &str, status: u16) -> std::result::Result<(), TestCaseError> {
    let log = HttpLog::new(url, TIMEOUT);
    let appended = log.append("s", vec![1]).await;
    let page = log.read("s", 1, ReadLimit::default()).await;
    prop_assert!(
        is_log_failure(appended.as_ref().err(), status),
        "{appended:?}"
    );
    prop_assert!(is_log_failure(page.as_ref().err(), status), "{page:?}");
    let engine = HttpEngine::new(url, TIMEOUT);
    let events = match engine.generate(generation()).await {
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

/// Sends one service call.
async fn invoke(url: &str) -> std::result::Result<u16, ServiceError> {
    let request = ServiceRequest {
        operation: "charge".to_owned(),
        call: 9,
        body: "{}".to_owned(),
    };
    let reply = HttpService::new(url, TIMEOUT).invoke(request).await;
    reply.map(|reply| reply.status)
}

/// JSON of the right shape in the wrong places.
fn json() -> impl Strategy<Value = String> {
    let words = [
        "offset", "first", "next", "records", "choices", "delta", "usage", "error", "data",
    ];
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<i64>().prop_map(|number| number.to_string()),
        "[a-z]{0,6}".prop_map(|text| format!("{text:?}")),
    ];
    leaf.prop_recursive(3, 16, 4, move |inner| {
        let pair = (proptest::sample::select(words.to_vec()), inner.clone());
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
fn bytes_that_are_no_answer_end_in_errors() {
    let server = Nonsense::start();
    let config = ProptestConfig::with_cases(100);
    let bytes = proptest::collection::vec(any::<u8>(), 0..300);
    proptest!(config, |(bytes in bytes)| {
        server.says(bytes);
        block_on(all_fail(&server.url, 0))?;
        server.take_connections();
        let reply = block_on(invoke(&server.url));
        prop_assert!(matches!(reply, Err(ServiceError::Unknown(_))), "{reply:?}");
        prop_assert_eq!(server.take_connections(), 1);
    });
}

#[test]
fn answers_with_bytes_as_body_end_in_errors() {
    let server = Nonsense::start();
    let config = ProptestConfig::with_cases(100);
    let status = proptest::sample::select(vec![200_u16, 204, 301, 400, 404, 410, 429, 500, 503]);
    let bytes = proptest::collection::vec(any::<u8>(), 1..300);
    proptest!(config, |(status in status, bytes in bytes)| {
        server.says(http(status, &bytes));
        block_on(all_fail(&server.url, status))?;
        server.take_connections();
        let reply = block_on(invoke(&server.url));
        let is_text = status == 204 || std::str::from_utf8(&bytes).is_ok();
        prop_assert_eq!(reply.ok(), is_text.then_some(status));
        prop_assert_eq!(server.take_connections(), 1);
    });
}

#[test]
fn answers_with_other_json_end_in_errors() {
    let server = Nonsense::start();
    let config = ProptestConfig::with_cases(200);
    proptest!(config, |(json in json(), cut in 0..8_usize)| {
        let body = &json.as_bytes()[..json.len().saturating_sub(cut)];
        server.says(http(200, body));
        let log = HttpLog::new(&server.url, TIMEOUT);
        let page = block_on(log.read("s", 1, ReadLimit::default()));
        prop_assert!(matches!(page, Err(LogError::Unavailable(_))), "{page:?}");
        let load = block_on(HttpEngine::new(&server.url, TIMEOUT).load());
        prop_assert!(matches!(load, Err(EngineError::Unreachable(_))), "{load:?}");
    });
}

#[test]
fn event_streams_with_other_json_end_in_errors() {
    let server = Nonsense::start();
    let config = ProptestConfig::with_cases(200);
    let lines = proptest::collection::vec(json(), 0..5);
    proptest!(config, |(lines in lines, done in any::<bool>())| {
        let mut body: String = lines.iter().map(|line| format!("data: {line}\n\n")).collect();
        if done {
            body.push_str("data: [DONE]\n\n");
        }
        server.says(http(200, body.as_bytes()));
        let engine = HttpEngine::new(&server.url, TIMEOUT);
        let events = block_on(async { read_all(engine.generate(generation()).await?).await });
        prop_assert!(events.is_err(), "{events:?}");
    });
}

#[gtest]
fn a_cut_answer_is_no_answer() {
    let server = Nonsense::start();
    let chunk = r#"{"choices":[{"delta":{"content":"otter"}}]}"#;
    let whole = http(200, format!("data: {chunk}\n\n").as_bytes());
    for cut in 1..whole.len() {
        server.says(whole[..cut].to_vec());
        let engine = HttpEngine::new(&server.url, TIMEOUT);
        let events = block_on(async { read_all(engine.generate(generation()).await?).await });
        expect_that!(events, err(matches_pattern!(EngineError::Unreachable(_))));
        let reply = block_on(invoke(&server.url));
        expect_that!(reply, err(matches_pattern!(ServiceError::Unknown(_))));
    }
}

#[gtest]
fn a_stream_of_an_engine_without_extras_is_read() {
    let server = Nonsense::start();
    let body = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\r\n\r\n\
                : comment\n\
                data: {\"choices\":[{\"delta\":{\"content\":\"red \"}}]}\n\n\
                data: {\"choices\":[{\"delta\":{\"content\":\"panda\"}}]}\n\n\
                data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n\
                data: [DONE]\n\n";
    server.says(http(200, body.as_bytes()));
    let engine = HttpEngine::new(&server.url, TIMEOUT);
    let events = block_on(async {
        let mut stream = engine.generate(generation()).await?;
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
