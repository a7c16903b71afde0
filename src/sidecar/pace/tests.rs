//! Tests of endpoints that limit the rate of their requests.

use crate::adapter::{HttpEngine, HttpService};
use crate::protocol::link::{ActionState, Invoke, Reply, Serving};
use crate::protocol::record::ActionResult;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::ServiceRequest;
use crate::sidecar::tests::{LIMIT, config, generate, sidecar_of};
use crate::sidecar::{Endpoint, Sidecar, SidecarConfig};
use crate::transport::spawn::Runtime;
use futures_lite::future;
use googletest::prelude::*;
use smol::Timer;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Period over which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);

/// Most requests within it at an endpoint that takes 2 a second: one and a half times that, and 5.
const MAX_IN_WINDOW: usize = 17;

/// Number of calls, sent at a constant rate over [`LOAD_TIME`].
const CALLS: u128 = 160;

const LOAD_TIME: Duration = Duration::from_secs(8);

const SERVICE_ANSWER: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\nrequest-rate-limit: 2.0\r\n\
                              content-length: 2\r\n\r\n{}";

/// A stream that breaks off after its first token, so that it is read again.
const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\nrequest-rate-limit: 2.0\r\n\
                             content-type: text/event-stream\r\n\r\n\
                             data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";

/// Starts an endpoint that answers each request of a kind with the same bytes. Returns its URL and the
/// times at which these requests arrived.
fn start_endpoint(targets: [&'static str; 2], answer: &'static str) -> (String, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let arrivals = recorded.clone();
            thread::spawn(move || {
                let mut head = [0; 4096];
                let length = stream.read(&mut head).unwrap_or(0);
                let head = String::from_utf8_lossy(&head[..length]).into_owned();
                if targets.iter().any(|target| head.contains(target)) {
                    arrivals.0.lock().unwrap().push(Instant::now());
                }
                // The sidecar may have closed the connection.
                let _ = stream.write_all(answer.as_bytes());
            });
        }
    });
    (url, arrivals)
}

#[derive(Clone, Default)]
struct Arrivals(Arc<Mutex<Vec<Instant>>>);

impl Arrivals {
    fn most_in_window(&self) -> usize {
        let arrivals = self.0.lock().unwrap();
        let count = |start: &Instant| {
            let window = *start..*start + COUNT_WINDOW;
            arrivals.iter().filter(|at| window.contains(at)).count()
        };
        arrivals.iter().map(count).max().unwrap_or_default()
    }
}

fn service_sidecar(url: &str, runtime: &Runtime) -> Sidecar<HttpEngine, HttpService> {
    let config = SidecarConfig {
        serving: Serving::Service("s".to_owned()),
        ..config()
    };
    let service = HttpService::new(url, LIMIT);
    Sidecar::start(config, Endpoint::Service(service), runtime.spawner())
}

fn invoke(call: u128) -> Invoke {
    Invoke {
        request: ServiceRequest {
            operation: "read".to_owned(),
            call,
            body: "{}".to_owned(),
        },
        priority: generate(0).priority,
        limit_ms: 4_000,
        partition: 0,
        epoch: 1,
        once: None,
    }
}

/// Runs calls that begin at a constant rate, and returns their results.
async fn run_calls<T>(call: impl AsyncFn(u128) -> T) -> Vec<T> {
    let calls = (0..CALLS).map(|number| {
        let call = &call;
        async move {
            Timer::after(LOAD_TIME * number as u32 / CALLS as u32).await;
            call(number).await
        }
    });
    let mut calls: Vec<_> = calls.map(Box::pin).collect();
    let mut results = Vec::new();
    future::poll_fn(|context| {
        calls.retain_mut(|call| match call.as_mut().poll(context) {
            std::task::Poll::Ready(result) => {
                results.push(result);
                false
            }
            std::task::Poll::Pending => true,
        });
        match calls.is_empty() {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    results
}

// Guards against service calls that are sent as if the service had named no limit.
#[gtest]
fn a_service_that_names_a_limit_gets_no_more() {
    let (url, arrivals) = start_endpoint(["/v1/operations", "/v1/operations"], SERVICE_ANSWER);
    let runtime = Runtime::start("s1", 1).unwrap();
    let sidecar = service_sidecar(&url, &runtime);
    let replies = smol::block_on(run_calls(async |call| sidecar.invoke(invoke(call)).await));
    let states = replies.into_iter().map(|reply| match reply {
        Reply::Action(action) => action.state,
        _ => ActionState::Unknown,
    });
    let (done, not_run): (Vec<_>, Vec<_>) =
        states.partition(|state| matches!(state, ActionState::Finished(ActionResult::Done(_))));
    expect_that!(arrivals.most_in_window(), le(MAX_IN_WINDOW));
    expect_that!(done.len(), ge(LOAD_TIME.as_secs() as usize));
    for state in not_run {
        let is_not_run = matches!(state, ActionState::Finished(ActionResult::NotRun(_)));
        expect_that!(is_not_run, eq(true));
    }
}

// Guards against streams that are read again, or generations, that pass an engine's limit by.
#[gtest]
fn an_engine_that_names_a_limit_gets_no_more_generations_and_resumed_streams() {
    let targets = ["POST /v1/chat/completions", "GET /v1/streams/"];
    let (url, arrivals) = start_endpoint(targets, BROKEN_STREAM);
    let runtime = Runtime::start("s1", 1).unwrap();
    let sidecar = sidecar_of(&url, runtime.spawner());
    let refusals = smol::block_on(run_calls(async |call| {
        let mut request = generate(8);
        request.request.call = call + 1;
        request.priority.slack_ms = 4_000;
        let generation = sidecar.get_or_start(request).unwrap();
        let started_at = Instant::now();
        while generation.output.result().is_none() && started_at.elapsed() < LIMIT {
            Timer::after(Duration::from_millis(10)).await;
        }
        generation
            .output
            .result()
            .and_then(std::result::Result::err)
    }));
    let refusals: Vec<Refusal> = refusals.into_iter().flatten().collect();
    let limited = refusals
        .iter()
        .filter(|refusal| refusal.code == RefusalCode::Overloaded);
    expect_that!(arrivals.most_in_window(), le(MAX_IN_WINDOW));
    expect_that!(limited.clone().count(), gt(CALLS as usize / 2));
    for refusal in limited {
        expect_that!(refusal.retry_after_ms, some(gt(0)));
    }
}
