//! Malformed requests and frames get typed refusals and cause no panic.

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

/// Number of malformed requests to the callers' interface.
const REQUESTS: usize = 6_000;

/// Number of connections that send malformed data to the link address.
const LINK_CONNECTIONS: usize = 4_000;

/// Maximum number of concurrent connections.
const MAX_CONCURRENT: usize = 16;

/// A request whose answer takes longer is considered stuck.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Counts panics in the daemons' threads.
fn count_panics() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let thread = std::thread::current();
        let is_test_thread = thread.name().is_some_and(|name| name.contains("::"));
        if !is_test_thread {
            PANICS.fetch_add(1, Ordering::Relaxed);
        }
        previous_hook(info);
    }));
}

fn runner(seed: u8) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(Config::default(), rng)
}

async fn start_cluster() -> LocalCluster<InProcess> {
    let options = ClusterOptions {
        entries: 1,
        engines: 1,
        services: 1,
        log_level: "error".to_owned(),
        ..ClusterOptions::default()
    };
    LocalCluster::start(InProcess, options)
        .await
        .expect("the cluster starts")
}

/// Generates invalid request bodies: broken JSON, JSON of other shapes, and wrong fields.
fn arbitrary_body() -> impl Strategy<Value = String> {
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
        // The unknown field ensures that the object is never a valid request.
        format!("{{\"x\": 1, {}}}", fields.join(", "))
    });
    prop_oneof![
        3 => object,
        1 => "\\PC{0,60}",
        1 => Just("{\"messages\": [".repeat(2_000)),
        1 => Just(String::new()).prop_map(|_| "\"".to_owned()),
    ]
}

/// Generates paths of the interface with malformed ids, and unknown paths.
fn arbitrary_path() -> impl Strategy<Value = String> {
    let id = prop_oneof!["[0-9a-f]{32}", "[0-9a-z%]{0,40}"];
    prop_oneof![
        Just("/v1/programs".to_owned()),
        id.clone().prop_map(|id| format!("/v1/programs/{id}/calls")),
        id.prop_map(|id| format!("/v1/programs/{id}/history/{id}")),
        "/[a-z0-9/]{0,30}",
    ]
}

/// Generates requests with a valid head and an invalid body or path.
fn arbitrary_request() -> impl Strategy<Value = String> {
    let token = prop_oneof![
        4 => Just(Deployment::SaaMubadala.tokens()[0].to_owned()),
        1 => "[a-zA-Z0-9 ]{0,40}",
    ];
    (arbitrary_path(), token, arbitrary_body()).prop_map(|(path, token, body)| {
        let len = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             authorization: Bearer {token}\r\ncontent-length: {len}\r\n\r\n{body}"
        )
    })
}

/// Generates bytes that are neither valid HTTP nor a valid link connection.
fn arbitrary_bytes() -> impl Strategy<Value = Vec<u8>> {
    let upgrade = Just(
        b"GET /link HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
          sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
            .to_vec(),
    );
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    prop_oneof![
        1 => bytes.clone(),
        2 => (upgrade, bytes).prop_map(|(mut head, bytes)| {
            // Append the bytes as a masked binary frame.
            let len = bytes.len().min(125);
            head.extend([0x82, 0x80 | len as u8, 0, 0, 0, 0]);
            head.extend(&bytes[..len]);
            head
        }),
    ]
}

/// Sends bytes and reads the answer to its end. Returns `None` after [`ANSWER_TIMEOUT`].
async fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    let transfer = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        // The server may close the connection before it has read all bytes.
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        Some(answer)
    };
    let timeout = async {
        Timer::after(ANSWER_TIMEOUT).await;
        None
    };
    transfer.or(timeout).await
}

/// Returns the error in an answer to a malformed request, or `None` for a correct refusal.
fn check_refusal(answer: &[u8]) -> Option<String> {
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

/// Sends all cases in concurrent batches and returns each case with its answer.
async fn send_all<T: AsRef<[u8]>>(address: SocketAddr, cases: Vec<T>) -> Vec<(T, Option<Vec<u8>>)> {
    let mut results = Vec::new();
    let mut cases = cases.into_iter().peekable();
    while cases.peek().is_some() {
        let batch: Vec<T> = cases.by_ref().take(MAX_CONCURRENT).collect();
        let answers = batch.iter().map(|case| exchange(address, case.as_ref()));
        let answers = futures_util::future::join_all(answers).await;
        results.extend(batch.into_iter().zip(answers));
    }
    results
}

fn generate<S: Strategy>(strategy: &S, count: usize, seed: u8) -> Vec<S::Value> {
    let mut runner = runner(seed);
    let next_case = |_| strategy.new_tree(&mut runner).expect("a case").current();
    (0..count).map(next_case).collect()
}

#[gtest]
fn malformed_requests_and_frames_are_refused_without_panics() {
    count_panics();
    smol::block_on(async {
        let mut cluster = start_cluster().await;
        let entry = cluster.names_with_role(NodeRole::Entry).remove(0);
        let node = cluster.node(&entry).expect("node");
        let running = node.running.as_ref().expect("the entry is running");
        let (http, link) = (running.http_address(), running.link_address());

        let answers = send_all(http, generate(&arbitrary_request(), REQUESTS, 1)).await;
        let stuck = answers
            .iter()
            .filter(|(_, answer)| answer.is_none())
            .count();
        expect_that!(stuck, eq(0));
        let faults: Vec<String> = answers
            .iter()
            .filter_map(|(case, answer)| {
                let fault = check_refusal(answer.as_ref()?)?;
                Some(format!("{fault}\nto\n{}", &case[..case.len().min(300)]))
            })
            .take(5)
            .collect();
        expect_that!(faults, is_empty());

        let answers = send_all(link, generate(&arbitrary_bytes(), LINK_CONNECTIONS, 2)).await;
        let stuck = answers
            .iter()
            .filter(|(_, answer)| answer.is_none())
            .count();
        expect_that!(stuck, eq(0));

        expect_that!(PANICS.load(Ordering::Relaxed), eq(0));
        let client = cluster.client(Deployment::SaaMubadala.tokens()[0]);
        let created = client.create(&Default::default()).await;
        expect_that!(created, ok(anything()));
        let running = cluster.take_node(&entry).expect("the entry is running");
        expect_that!(running.shut_down().await, eq(true), "no request is stuck");
    });
}
