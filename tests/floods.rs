//! The HTTP clients against a server that sends bytes without end: every request ends early in a typed
//! error, and holds little memory until then.

use futures_lite::FutureExt;
use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::protocol::engine::{Engine, EngineStream, GenerateRequest};
use galenapick::protocol::log::{Log, ReadLimit};
use galenapick::protocol::service::{Service, ServiceRequest};
use galenapick::protocol::vms::VmList;
use galenapick::protocol::weights::WeightStore;
use galenapick::{
    Client, HttpEngine, HttpLog, HttpService, HttpVmList, HttpWeightStore, Message, Role, Timeouts,
};
use googletest::prelude::*;
use smol::Timer;
use std::cell::Cell;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of each client, beyond the time for which the server sends.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which the server closes a connection that the client has not closed.
const FLOOD_TIME: Duration = Duration::from_secs(3);

/// Time within which a flood must be cut off.
const CUT_LIMIT: Duration = Duration::from_secs(1);

/// Most memory that the process may take. Some 10 MB are taken without an exchange, and the allocator
/// keeps memory of the requests before.
const MEMORY_LIMIT_MB: u64 = 64;

/// Longest time for which other tasks of the same thread may wait.
const DELAY_LIMIT: Duration = Duration::from_millis(100);

/// Interval of the task that measures this delay.
const TICK: Duration = Duration::from_millis(2);

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Bytes that are sent once, followed by bytes that are sent without end.
#[derive(Clone)]
struct Flood {
    name: &'static str,
    start: String,
    repeated: String,
}

impl Flood {
    fn new(name: &'static str, start: impl Into<String>, repeated: impl Into<String>) -> Self {
        Self {
            name,
            start: start.into(),
            repeated: repeated.into(),
        }
    }

    /// Heads and bodies without end.
    fn answers() -> Vec<Self> {
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        vec![
            Self::new("interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::new("header lines", OK, "x-header: y\r\n"),
            Self::new("one header", format!("{OK}x-header: "), "y"),
            Self::new("chunked body", CHUNKED, chunk),
            Self::new("chunk size line", format!("{CHUNKED}1000;"), "x"),
            Self::new("trailers", format!("{CHUNKED}0\r\n"), "x-header: y\r\n"),
            Self::new(
                "announced body",
                format!("{OK}content-length: 999999999999\r\n\r\n"),
                "x",
            ),
            Self::new("unframed body", format!("{OK}\r\n"), "x"),
        ]
    }

    /// Event streams without end.
    fn streams(event: &str, empty_event: &str) -> Vec<Self> {
        vec![
            Self::new("one event", format!("{STREAM}data: "), "x"),
            Self::new("event names", format!("{STREAM}event: "), "x"),
            Self::new("comments", STREAM, ": comment\n\n"),
            Self::new("small events", STREAM, event),
            Self::new("events without a token", STREAM, empty_event),
        ]
    }

    /// Accepts connections and sends on each until the client closes it. Returns the server's
    /// address.
    fn serve(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let flood = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let flood = flood.clone();
                // The client closes the connection during the flood.
                thread::spawn(move || flood.send(stream).ok());
            }
        });
        address
    }

    fn send(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let end = Instant::now() + FLOOD_TIME;
        stream.set_write_timeout(Some(FLOOD_TIME))?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request)?;
        stream.write_all(self.start.as_bytes())?;
        let block = self.repeated.repeat((64 << 10) / self.repeated.len() + 1);
        while Instant::now() < end {
            stream.write_all(block.as_bytes())?;
        }
        Ok(())
    }
}

/// Serialises the tests, because they measure the memory of the process.
fn exclusive() -> MutexGuard<'static, ()> {
    static MUTEX: Mutex<()> = Mutex::new(());
    MUTEX.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a value of `/proc/self/status` in KB.
fn memory_kb(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap()
}

/// Sets the peak memory of the process to its present memory.
fn reset_peak_memory() {
    std::fs::write("/proc/self/clear_refs", "5").unwrap();
}

/// Sends one request and checks that it fails early, in little memory, without delaying other tasks
/// of its thread.
fn check<T>(client: &str, flood: &Flood, request: impl Future<Output = Option<T>>) {
    reset_peak_memory();
    let started_at = Instant::now();
    let longest_delay = Cell::new(Duration::ZERO);
    let due = Cell::new(started_at + TICK);
    let ticks = async {
        loop {
            Timer::at(due.get()).await;
            longest_delay.set(longest_delay.get().max(due.get().elapsed()));
            due.set(Instant::now() + TICK);
        }
    };
    let answer = smol::block_on(ticks.or(request));
    let took = started_at.elapsed();
    // The request may have ended before the task had its turn.
    longest_delay.set(longest_delay.get().max(due.get().elapsed()));
    let peak_mb = memory_kb("VmHWM") / 1024;
    let name = flood.name;
    println!(
        "{client}, {name}: {} ms, peak {peak_mb} MB, others delayed by {} ms",
        took.as_millis(),
        longest_delay.get().as_millis()
    );
    expect_that!(answer.is_none(), eq(true), "{client}, {name}");
    expect_that!(took, lt(CUT_LIMIT), "{client}, {name}");
    expect_that!(peak_mb, lt(MEMORY_LIMIT_MB), "{client}, {name}");
    expect_that!(longest_delay.get(), lt(DELAY_LIMIT), "{client}, {name}");
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

async fn read_stream(engine: HttpEngine) -> Option<()> {
    let mut stream = engine.generate(generation()).await.ok()?;
    while let Some(event) = stream.next().await {
        event.ok()?;
    }
    Some(())
}

// Guards against an endpoint or a platform service that sends without end taking the memory of the node
// and its thread.
#[gtest]
fn answers_without_end_are_cut_off() {
    let _guard = exclusive();
    for flood in Flood::answers() {
        let url = format!("http://{}", flood.serve());
        let engine = HttpEngine::new(&url, TIMEOUT);
        check("engine load", &flood, async { engine.load().await.ok() });
        check("engine stream", &flood, read_stream(engine.clone()));
        let service = HttpService::new(&url, TIMEOUT);
        let request = ServiceRequest {
            operation: "charge".to_owned(),
            call: 9,
            body: "{}".to_owned(),
        };
        check("service", &flood, async {
            service.invoke(request).await.ok()
        });
        let log = HttpLog::new(&url, TIMEOUT);
        check("log append", &flood, async {
            log.append("s", vec![1]).await.ok()
        });
        let read = log.read("s", 1, ReadLimit::default());
        check("log read", &flood, async { read.await.ok() });
        let vms = HttpVmList::new(&url, TIMEOUT);
        check("VM list", &flood, vms.vms());
        let weights = HttpWeightStore::new(&url, TIMEOUT);
        check("weights", &flood, weights.request(&"m".to_owned(), 1));
    }
}

// Guards against an engine whose stream has no end.
#[gtest]
fn engine_streams_without_end_are_cut_off() {
    let _guard = exclusive();
    let token = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    let empty = "data: {\"choices\":[],\"token_count\":0}\n\n";
    for flood in Flood::streams(token, empty) {
        let engine = HttpEngine::new(&format!("http://{}", flood.serve()), TIMEOUT);
        check("engine stream", &flood, read_stream(engine));
    }
}

fn client(address: String) -> Client {
    let timeouts = Timeouts {
        reply: TIMEOUT,
        answer: TIMEOUT,
        silence: TIMEOUT,
    };
    Client::new([address], "token").with_timeouts(timeouts)
}

fn call() -> CallRequest {
    let messages = vec![Message::new(Role::User, "otter")];
    CallRequest::model("helper-models", messages, 8)
}

async fn read_answer(client: Client) -> Option<()> {
    let mut stream = client.stream(1, &call()).await.ok()?;
    while let Some(event) = stream.next().await {
        event.ok()?;
    }
    Some(())
}

// Guards against an entry that sends without end taking the memory and the thread of a caller.
#[gtest]
fn entries_answers_without_end_are_cut_off() {
    let _guard = exclusive();
    for flood in Flood::answers() {
        let client = client(flood.serve());
        let request = ProgramRequest::default();
        check("client create", &flood, async {
            client.create(&request).await.ok()
        });
        let request = call();
        check("client call", &flood, async {
            client.call(1, &request).await.ok()
        });
        check("client stream", &flood, read_answer(client.clone()));
    }
    let token = "event: tokens\ndata: {\"index\":0,\"count\":1,\"text\":\"a\"}\n\n";
    let restart = "event: restart\ndata: {}\n\n";
    for flood in Flood::streams(token, restart) {
        check("client stream", &flood, read_answer(client(flood.serve())));
    }
}
