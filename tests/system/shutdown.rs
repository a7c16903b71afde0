//! A graceful shutdown completes all open streams, and ends although callers go on sending.

use crate::support::{
    CALL_TIMEOUT, Cluster, bank_client, create_program, small_cluster, with_cluster,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use galenapick::protocol::caller::CallRequest;
use galenapick::standin::ServiceControl;
use galenapick::{
    CallError, Client, ClusterOptions, Deployment, Message, Ran, RefusalCode, RetryDeadline, Role,
    RunningNode, StreamEvent,
};
use googletest::prelude::*;
use rustix::process::Signal;
use smol::Timer;
use smol::net::TcpStream;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Number of streams that are open when the shutdown signal arrives.
const OPEN_STREAMS: usize = 40;

/// Time between the start of the streams and the shutdown signal.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(500);

/// Number of callers that send one call after the other during a shutdown.
const BUSY_CALLERS: usize = 8;

/// Work of an action that outlasts the notice of a shutdown.
const ACTION_WORK: Duration = Duration::from_millis(2_500);

/// Time limit of a shutdown under load; the calls are much shorter.
const BUSY_SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);

fn slow_cluster() -> ClusterOptions {
    ClusterOptions {
        engines: 2,
        time_scale: 0.5,
        ..small_cluster(2)
    }
}

/// Opens streams at the first entry, shuts down a node, and checks that every stream completes.
fn check_shutdown(victim: &str) {
    with_cluster(slow_cluster(), async |cluster| {
        let client = bank_client(cluster);
        let mut streams = Vec::new();
        for number in 0..OPEN_STREAMS {
            let program = create_program(&client, &format!("p{number}")).await;
            let message = Message::new(Role::User, format!("tell me about gate {number}"));
            let request = CallRequest::model("matcher-llm", vec![message], 200).key("c");
            let stream = client.stream(program, &request).await;
            streams.push(stream.expect("the stream opens"));
        }
        let readers = streams.into_iter().map(|mut stream| async move {
            let mut last_event = None;
            while let Some(event) = stream.next().await {
                last_event = Some(event);
            }
            last_event
        });
        let readers = futures_util::future::join_all(readers);
        let node = cluster.take_node(victim).expect("the node is running");
        let shut_down = async {
            Timer::after(SHUTDOWN_DELAY).await;
            node.shut_down().await
        };
        let (last_events, is_clean_exit) = smol::future::zip(readers, shut_down).await;
        expect_that!(is_clean_exit, eq(true), "{victim} ends with exit code 0");
        for last_event in last_events {
            expect_that!(
                last_event,
                some(ok(matches_pattern!(StreamEvent::Done(anything()))))
            );
        }
        let program = create_program(&client, "after").await;
        let request = CallRequest::model("matcher-llm", vec![Message::new(Role::User, "hi")], 8);
        let next = client
            .call_with_retry(
                program,
                &request.key("c"),
                RetryDeadline::after(CALL_TIMEOUT),
            )
            .await;
        expect_that!(next.result, ok(anything()));
    });
}

#[gtest]
fn an_entry_that_leaves_cuts_no_stream() {
    check_shutdown("entry-1");
}

#[gtest]
fn an_owner_that_shuts_down_completes_its_streams() {
    check_shutdown("entry-2");
}

#[gtest]
fn a_sidecar_that_shuts_down_completes_its_streams() {
    check_shutdown("matcher-llm-1");
}

fn cluster_with_limit(shutdown_limit: Duration, time_scale: f64) -> ClusterOptions {
    ClusterOptions {
        time_scale,
        extra_settings: format!(
            "[limits]\nshutdown_limit_s = {}\n",
            shutdown_limit.as_secs()
        ),
        ..slow_cluster()
    }
}

/// Returns a client that connects to the entries themselves, in this order.
fn direct_client(cluster: &Cluster, entries: &[&str]) -> Client {
    let addresses = entries.iter().map(|name| {
        let node = cluster.node(name).and_then(|node| node.running.as_ref());
        node.expect("the entry is running").http.to_string()
    });
    Client::new(addresses, Deployment::SaaMubadala.tokens()[0])
}

fn tell_about(text: &str, max_tokens: u32) -> CallRequest {
    let message = Message::new(Role::User, text);
    CallRequest::model("matcher-llm", vec![message], max_tokens)
}

/// Sends one call after the other in a program of its own until `is_over`. Returns their number.
async fn call_until(client: &Client, number: usize, is_over: &Cell<bool>) -> usize {
    let program = create_program(client, &format!("busy{number}")).await;
    let mut calls = 0;
    while !is_over.get() {
        let request = tell_about(&format!("gate {calls}"), 60).key(format!("c{calls}"));
        let deadline = RetryDeadline::after(CALL_TIMEOUT);
        let outcome = client.call_with_retry(program, &request, deadline).await;
        expect_that!(outcome.result, ok(anything()), "call {calls}");
        calls += 1;
    }
    calls
}

/// Shuts down a node while callers of `entries` go on sending, and checks that it finishes its work.
fn check_busy_shutdown(victim: &str, entries: &[&str]) {
    with_cluster(
        cluster_with_limit(BUSY_SHUTDOWN_LIMIT, 1.0),
        async |cluster| {
            let client = direct_client(cluster, entries);
            let is_over = Cell::new(false);
            let callers: Vec<Client> = (0..BUSY_CALLERS).map(|_| client.starting_at(0)).collect();
            let calls = callers
                .iter()
                .enumerate()
                .map(|(number, client)| call_until(client, number, &is_over));
            let node = cluster.take_node(victim).expect("the node is running");
            let shut_down = async {
                Timer::after(SHUTDOWN_DELAY).await;
                let requested_at = Instant::now();
                let is_clean_exit = node.shut_down().await;
                is_over.set(true);
                (is_clean_exit, requested_at.elapsed())
            };
            let calls = futures_util::future::join_all(calls);
            let (calls, (is_clean_exit, time)) = smol::future::zip(calls, shut_down).await;
            println!("{victim} is down after {time:.1?}, calls {calls:?}");
            expect_that!(is_clean_exit, eq(true), "{victim} ends with exit code 0");
            expect_that!(time, lt(BUSY_SHUTDOWN_LIMIT));
        },
    );
}

// Guards against a leaving entry that takes requests until its time limit and cuts the last ones.
#[gtest]
fn an_entry_that_leaves_is_down_before_its_limit_under_load() {
    check_busy_shutdown("entry-1", &["entry-1", "entry-2"]);
}

// Guards against callers that reuse a connection until the leaving entry cuts it.
#[gtest]
fn an_entry_that_leaves_closes_kept_connections_with_its_answers() {
    with_cluster(small_cluster(2), async |cluster| {
        let node = cluster.take_node("entry-1").expect("the node is running");
        let mut conn = TcpStream::connect(node.http).await.expect("a connection");
        let before = exchange_raw(&mut conn).await;
        expect_that!(before, not(contains_substring("connection: close")));
        let shut_down = node.shut_down();
        let exchange = async {
            Timer::after(SHUTDOWN_DELAY).await;
            exchange_raw(&mut conn).await
        };
        let (answer, is_clean_exit) = smol::future::zip(exchange, shut_down).await;
        expect_that!(answer, contains_substring("connection: close"));
        expect_that!(is_clean_exit, eq(true));
    });
}

/// Looks up an unknown program over an open connection. Returns the head of the answer in lower case.
async fn exchange_raw(conn: &mut TcpStream) -> String {
    let token = Deployment::SaaMubadala.tokens()[0];
    let request = format!(
        "GET /v1/programs/{:032x}/history HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {token}\r\n\r\n",
        0
    );
    conn.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 4_096];
    let length = conn.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..length]).to_lowercase();
    expect_that!(answer, starts_with("http/1.1 404"));
    answer
}

// Guards against requests over links that keep a leaving owner busy until its time limit.
#[gtest]
fn an_owner_that_leaves_is_down_before_its_limit_under_load() {
    check_busy_shutdown("entry-2", &["entry-1"]);
}

// Guards against calls that keep a leaving sidecar busy until its time limit.
#[gtest]
fn a_sidecar_that_leaves_is_down_before_its_limit_under_load() {
    check_busy_shutdown("matcher-llm-1", &["entry-1"]);
}

// Guards against a sidecar that stops between the result of its last action and its reply, which would
// leave the outcome unknown.
#[gtest]
fn a_sidecar_that_leaves_replies_to_its_last_action() {
    with_cluster(small_cluster(1), async |cluster| {
        let slow = ServiceControl {
            work_ms: Some(ACTION_WORK.as_millis() as u64),
            ..ServiceControl::default()
        };
        for service in cluster.platform.services() {
            service.control(slow.clone()).await;
        }
        let client = bank_client(cluster);
        let program = create_program(&client, "actions").await;
        let body = serde_json::json!({"action": "last", "hours": 1});
        let transfer = CallRequest::tool("bank-core", "transfer", body).key("t");
        let node = cluster
            .take_node("bank-core-1")
            .expect("the node is running");
        let shut_down = async {
            Timer::after(SHUTDOWN_DELAY).await;
            node.shut_down().await
        };
        let call = client.call(program, &transfer);
        let (answer, is_clean_exit) = smol::future::zip(call, shut_down).await;
        expect_that!(answer, ok(anything()));
        expect_that!(is_clean_exit, eq(true));
    });
}

// Guards against SIGHUP, with which other programs read their settings again, killing a node at once.
#[gtest]
fn a_hang_up_signal_shuts_a_node_down_gracefully() {
    for victim in ["entry-1", "matcher-llm-1"] {
        with_cluster(small_cluster(2), async |cluster| {
            let mut node = cluster.take_node(victim).expect("the node is running");
            node.signal(Signal::HUP);
            Timer::after(SHUTDOWN_DELAY).await;
            node.signal(Signal::HUP);
            let status = smol::unblock(move || node.wait()).await;
            let is_clean_exit = status.is_some_and(|status| status.success());
            expect_that!(is_clean_exit, eq(true), "{victim}: {status:?}");
        });
    }
}

// Guards against connections that are cut without an answer at the end of a shutdown.
#[gtest]
fn a_call_that_outlasts_a_shutdown_is_refused_with_an_answer() {
    with_cluster(
        cluster_with_limit(Duration::from_secs(2), 4.0),
        async |cluster| {
            let client = direct_client(cluster, &["entry-1"]);
            let whole = create_program(&client, "whole").await;
            let streamed = create_program(&client, "streamed").await;
            let request = tell_about("the gate", 400).key("c");
            let mut stream = client.stream(streamed, &request).await.expect("the stream");
            let last_event = async {
                let mut last_event = None;
                while let Some(event) = stream.next().await {
                    last_event = Some(event);
                }
                last_event
            };
            let node = cluster.take_node("entry-1").expect("the node is running");
            let shut_down = async {
                Timer::after(SHUTDOWN_DELAY).await;
                node.shut_down().await
            };
            let calls = smol::future::zip(client.call(whole, &request), last_event);
            let ((answer, last_event), is_clean_exit) = smol::future::zip(calls, shut_down).await;
            expect_that!(is_clean_exit, eq(false));
            for result in [answer.map(drop), last_event.expect("an event").map(drop)] {
                let Err(CallError::Refused(refusal)) = result else {
                    add_failure!("not refused: {result:?}");
                    continue;
                };
                expect_that!(refusal.code, eq(RefusalCode::ShuttingDown));
                expect_that!(refusal.ran, eq(Ran::Unknown));
                expect_that!(refusal.retry_after_ms, some(anything()));
            }
        },
    );
}

// Guards against a shutdown that answers what it could not finish only after its limit, when a supervisor
// may have killed the process.
#[gtest]
fn a_shutdown_with_work_left_and_silent_connections_ends_within_its_limit() {
    for limit in [1, 2, 4].map(Duration::from_secs) {
        with_cluster(cluster_with_limit(limit, 10.0), async |cluster| {
            let client = direct_client(cluster, &["entry-1"]);
            let program = create_program(&client, "outlasting").await;
            let request = tell_about("the gate", 400).key("c");
            let node = cluster.take_node("entry-1").expect("the node is running");
            let silent = TcpStream::connect(node.http).await.expect("a connection");
            let shut_down = async {
                Timer::after(SHUTDOWN_DELAY).await;
                let requested_at = Instant::now();
                (node.shut_down().await, requested_at.elapsed())
            };
            let call = client.call(program, &request);
            let (answer, (is_clean_exit, time)) = smol::future::zip(call, shut_down).await;
            drop(silent);
            println!("limit {limit:?}: down after {time:.2?}");
            expect_that!(is_clean_exit, eq(false), "{limit:?}");
            expect_that!(time, lt(limit), "{limit:?}");
            let Err(CallError::Refused(refusal)) = answer.map(drop) else {
                add_failure!("{limit:?}: not refused");
                return;
            };
            expect_that!(refusal.code, eq(RefusalCode::ShuttingDown), "{limit:?}");
        });
    }
}
