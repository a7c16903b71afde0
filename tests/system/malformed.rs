//! Requests and frames that make no sense end in typed refusals.

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use galenapick::protocol::vms::NodeRole;
use galenapick::{ClusterOptions, Deployment, InProcess, LocalCluster, Ran, Refusal};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use smol::Timer;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Requests sent to the callers' interface.
const REQUESTS: usize = 6_000;

/// Connections with nonsense to the links.
const FRAMES: usize = 4_000;

/// Connections at once.
const AT_ONCE: usize = 16;

/// An answer that takes longer is stuck.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Counts panics in the daemons' threads.
fn count_panics() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let thread = std::thread::current();
        let of_test = thread.name().is_some_and(|name| name.contains("::"));
        if !of_test {
            PANICS.fetch_add(1, Ordering::Relaxed);
        }
        before(info);
    }));
}

fn runner(seed: u8) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(Config::default(), rng)
}

async fn start() -> LocalCluster<InProcess> {
    let options = ClusterOptions {
        entries: 1,
        engines: 1,
        services: 1,
        log_level: "error".to_owned(),
        ..ClusterOptions::default()
    };
    LocalCluster::start(InProcess, options)
        .await
        .expect("it starts")
}

/// Bodies that are no request: broken JSON, JSON of other shapes, and wrong fields.
fn body() -> impl Strategy<Value = String> {
    let value = prop_oneof![
        Just("null".to_owned()),
        any::<i64>().prop_map(|n| n.to_string()),
        "[a-z]{0,12}".prop_map(|text| format!("{text:?}")),
        Just("{\"tokens\": -1}".to_owned()),
        Just("[[[[]]]]".to_owned()),
    ];
    let key = prop_oneof![
        Just("key"),
        Just("budget"),
        Just("branch"),
        Just("model"),
        Just("messages"),
        Just("service"),
        Just("operation"),
        Just("body"),
        Just("stream"),
        Just("nonsense"),
        Just("max_tokens"),
        Just("deadline_ms"),
    ];
    let object = prop::collection::vec((key, value), 1..5).prop_map(|fields| {
        let fields: Vec<String> = fields
            .iter()
            .map(|(key, value)| format!("\"{key}\": {value}"))
            .collect();
        // An unknown field keeps it from ever being a whole request.
        format!("{{\"x\": 1, {}}}", fields.join(", "))
    });
    prop_oneof![
        3 => object,
        1 => "\\PC{0,60}",
        1 => Just("{\"messages\": [".repeat(2_000)),
        1 => Just(String::new()).prop_map(|_| "\"".to_owned()),
    ]
}

/// Paths of the interface with ids that are none, and others.
fn path() -> impl Strategy<Value = String> {
    let id = prop_oneof!["[0-9a-f]{32}", "[0-9a-z%]{0,40}"];
    prop_oneof![
        Just("/v1/programs".to_owned()),
        id.clone().prop_map(|id| format!("/v1/programs/{id}/calls")),
        id.prop_map(|id| format!("/v1/programs/{id}/history/{id}")),
        "/[a-z0-9/]{0,30}",
    ]
}

/// A request with a right head and a wrong body or path.
fn request() -> impl Strategy<Value = String> {
    let token = prop_oneof![
        4 => Just(Deployment::SaaMubadala.tokens()[0].to_owned()),
        1 => "[a-zA-Z0-9 ]{0,40}",
    ];
    (path(), token, body()).prop_map(|(path, token, body)| {
        let len = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             authorization: Bearer {token}\r\ncontent-length: {len}\r\n\r\n{body}"
        )
    })
}

/// Bytes that are no HTTP, or no link.
fn noise() -> impl Strategy<Value = Vec<u8>> {
    let upgrade = Just(
        b"GET /link HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
          sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
            .to_vec(),
    );
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    prop_oneof![
        1 => bytes.clone(),
        2 => (upgrade, bytes).prop_map(|(mut head, bytes)| {
            // A masked binary frame of these bytes.
            let len = bytes.len().min(125);
            head.extend([0x82, 0x80 | len as u8, 0, 0, 0, 0]);
            head.extend(&bytes[..len]);
            head
        }),
    ]
}

/// Sends bytes and reads what comes until the end; `None` if that takes too long.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    let run = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // The other end may close before it has read everything.
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        Some(answer)
    };
    let limit = async {
        Timer::after(ANSWER_LIMIT).await;
        None
    };
    run.or(limit).await
}

/// What is wrong with the answer to a malformed request; `None` if nothing is.
fn fault_of(answer: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(answer);
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    let Some(status) = status else {
        return Some(format!("no answer: {text:?}"));
    };
    if !(400..500).contains(&status) {
        return Some(format!("status {status}: {text}"));
    }
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    match serde_json::from_str::<Refusal>(body) {
        Ok(refusal) if refusal.ran == Ran::No => None,
        Ok(refusal) => Some(format!("ran: {}", refusal.ran)),
        Err(_) => Some(format!("no refusal: {text}")),
    }
}

/// Draws cases and sends them, some at once; returns the answers with their cases.
async fn send_all<T: AsRef<[u8]>>(address: SocketAddr, cases: Vec<T>) -> Vec<(T, Option<Vec<u8>>)> {
    let mut done = Vec::new();
    let mut cases = cases.into_iter().peekable();
    while cases.peek().is_some() {
        let batch: Vec<T> = cases.by_ref().take(AT_ONCE).collect();
        let answers = batch.iter().map(|case| exchange(address, case.as_ref()));
        let answers = futures_util::future::join_all(answers).await;
        done.extend(batch.into_iter().zip(answers));
    }
    done
}

fn draw<S: Strategy>(strategy: &S, count: usize, seed: u8) -> Vec<S::Value> {
    let mut runner = runner(seed);
    let draw = |_| strategy.new_tree(&mut runner).expect("a case").current();
    (0..count).map(draw).collect()
}

#[gtest]
fn ten_thousand_malformed_requests_and_frames() {
    count_panics();
    smol::block_on(async {
        let mut cluster = start().await;
        let entry = cluster.names_with_role(NodeRole::Entry).remove(0);
        let node = cluster.node(&entry).expect("node");
        let running = node.running.as_ref().expect("it runs");
        let (http, link) = (running.http_address(), running.link_address());

        let answers = send_all(http, draw(&request(), REQUESTS, 1)).await;
        let stuck = answers
            .iter()
            .filter(|(_, answer)| answer.is_none())
            .count();
        expect_that!(stuck, eq(0));
        let faults: Vec<String> = answers
            .iter()
            .filter_map(|(case, answer)| {
                let fault = fault_of(answer.as_ref()?)?;
                Some(format!("{fault}\nto\n{}", &case[..case.len().min(300)]))
            })
            .take(5)
            .collect();
        expect_that!(faults, is_empty());

        let answers = send_all(link, draw(&noise(), FRAMES, 2)).await;
        let stuck = answers
            .iter()
            .filter(|(_, answer)| answer.is_none())
            .count();
        expect_that!(stuck, eq(0));

        expect_that!(PANICS.load(Ordering::Relaxed), eq(0));
        let client = cluster.client(Deployment::SaaMubadala.tokens()[0]);
        let begun = client.create(&Default::default()).await;
        expect_that!(begun, ok(anything()));
        let running = cluster.take_node(&entry).expect("it runs");
        expect_that!(running.shut_down().await, eq(true), "nothing is stuck");
    });
}
