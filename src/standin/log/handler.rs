//! Answers the requests to the log stand-in.

use super::control::{AppendFault, LogControl, LogFaults, Outage};
use super::state::{LogConfig, LogCounts, LogState};
use crate::ids::Offset;
use crate::protocol::log::{LogPage, LogRecord};
use crate::standin::bucket::retry_after_ms;
use crate::standin::clock::unix_now_ms;
use crate::standin::server::{Handler, Request, Response, Server, ServerRef};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use serde::Serialize;
use serde_bytes::ByteBuf;
use smol::Timer;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use trillium_http::Method;
use trillium_smol::async_global_executor::spawn;

/// The longest time that a read may wait.
const MAX_READ_WAIT: Duration = Duration::from_secs(60);

/// Begins the path of every stream.
const STREAM_PATH_PREFIX: &str = "/v1/streams/";

/// The log behind its server.
pub(crate) struct LogHandler {
    inner: Arc<Mutex<Inner>>,
    server: ServerRef<LogHandler>,
}

/// What changes.
struct Inner {
    state: LogState,
    faults: LogFaults,
    latency: Duration,
    /// What the reads of a stream wait for: it is dropped at the stream's next append.
    append_signals: HashMap<String, (Sender<Infallible>, Receiver<Infallible>)>,
}

impl Inner {
    /// Appends a record and wakes the reads that wait for one.
    fn append(&mut self, stream: &str, data: Vec<u8>) -> Offset {
        self.append_signals.remove(stream);
        self.state.append(stream, data, unix_now_ms())
    }

    /// Returns what closes at the next append to a stream.
    fn append_signal(&mut self, stream: &str) -> Receiver<Infallible> {
        let signal = self.append_signals.entry(stream.to_owned());
        signal
            .or_insert_with(|| async_channel::bounded(1))
            .1
            .clone()
    }
}

impl LogHandler {
    /// Makes a log without streams.
    pub(crate) fn new(config: LogConfig) -> Self {
        let inner = Inner {
            faults: LogFaults::new(config.seed),
            latency: config.latency,
            state: LogState::new(config, Instant::now()),
            append_signals: HashMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            server: ServerRef::default(),
        }
    }

    /// Names the server, which an outage stops.
    pub(crate) fn attach(&self, server: &Arc<Server<LogHandler>>) {
        self.server.attach(server);
    }

    /// Takes over a change.
    pub(crate) async fn control(&self, control: LogControl) {
        let number = {
            let mut inner = self.lock();
            inner.faults.apply(&control);
            inner.state.apply(&control);
            if let Some(latency_ms) = control.latency_ms {
                inner.latency = Duration::from_millis(latency_ms);
            }
            inner.faults.outage_number
        };
        let Some(outage) = control.outage else {
            return;
        };
        self.apply_outage(outage).await;
        if let (Some(server), Some(outage_ms)) = (self.server.get(), control.outage_ms) {
            let end = end_outage_after(
                self.inner.clone(),
                server,
                number,
                Duration::from_millis(outage_ms),
            );
            spawn(end).detach();
        }
    }

    /// Returns what was counted.
    pub(crate) fn counts(&self) -> LogCounts {
        self.lock().state.counts
    }

    /// Returns all records of a stream.
    pub(crate) fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.lock().state.records(stream)
    }

    /// Returns the names of the streams.
    pub(crate) fn streams(&self) -> Vec<String> {
        self.lock().state.stream_names()
    }

    /// Removes the records of a stream before an offset.
    pub(crate) fn trim(&self, stream: &str, first: Offset) {
        self.lock().state.trim(stream, first);
    }

    /// Begins or ends an outage at the server.
    async fn apply_outage(&self, outage: Outage) {
        self.server.set_down(Some(outage == Outage::Refuse)).await;
    }

    /// Appends a record, with the faults in force.
    async fn append(&self, stream: &str, data: Vec<u8>) -> Response {
        let mut inner = self.lock();
        if let Err(wait) = inner.state.admit(Instant::now()) {
            return throttled_response(wait);
        }
        match inner.faults.next_append_fault() {
            AppendFault::None => {
                let offset = inner.append(stream, data);
                Response::json(200, &AppendResponse { offset })
            }
            AppendFault::LostAnswer => {
                inner.append(stream, data);
                inner.state.counts.lost_answers += 1;
                Response::Disconnect
            }
            AppendFault::Delayed(delay_ms) => {
                inner.state.counts.lost_answers += 1;
                let late = append_after(self.inner.clone(), stream.to_owned(), data, delay_ms);
                spawn(late).detach();
                Response::Disconnect
            }
        }
    }

    /// Reads a page, and waits for a first record if the request asks for it.
    async fn read(&self, stream: &str, request: &Request) -> Response {
        let from = request.query_number("from").unwrap_or(1);
        let max_bytes = request.query_number("max_bytes").unwrap_or(1 << 20) as usize;
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_READ_WAIT);
        loop {
            let signal = {
                let mut inner = self.lock();
                match inner.state.read(stream, from, max_bytes, unix_now_ms()) {
                    Err(first) => return trimmed_response(first),
                    Ok(page) if !page.records.is_empty() || Instant::now() >= deadline => {
                        drop(inner);
                        return encode_page(page);
                    }
                    Ok(_) => inner.append_signal(stream),
                }
            };
            wait_until(signal, deadline).await;
        }
    }

    /// Answers a request of the log's protocol.
    async fn serve(&self, request: Request) -> Response {
        let stream = request
            .path
            .strip_prefix(STREAM_PATH_PREFIX)
            .unwrap_or_default();
        if stream.is_empty() {
            return Response::not_found();
        }
        match request.method {
            Method::Post => self.append(stream, request.body).await,
            Method::Get => self.read(stream, &request).await,
            _ => Response::not_found(),
        }
    }

    /// Answers a request of the stand-in's own.
    async fn serve_control(&self, request: &Request) -> Option<Response> {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/counts") => Some(Response::json(200, &self.counts())),
            (Method::Post, "/control") => Some(match request.json::<LogControl>() {
                Ok(control) => {
                    self.control(control).await;
                    Response::json(200, &())
                }
                Err(response) => response,
            }),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Handler for LogHandler {
    async fn handle(&self, request: Request) -> Response {
        if let Some(answer) = self.serve_control(&request).await {
            return answer;
        }
        let (outage, latency) = {
            let inner = self.lock();
            (inner.faults.outage, inner.latency)
        };
        match outage {
            Outage::Hang | Outage::Refuse => return Response::Hang,
            Outage::Error => return Response::error(503, "outage", "The log is down."),
            Outage::None => {}
        }
        if !latency.is_zero() {
            Timer::after(latency).await;
        }
        self.serve(request).await
    }
}

/// The answer to an append.
#[derive(Serialize)]
struct AppendResponse {
    offset: Offset,
}

/// The answer to a read.
#[derive(Serialize)]
struct ReadResponse {
    first: Offset,
    next: Offset,
    records: Vec<RecordBody>,
}

/// One record of a page.
#[derive(Serialize)]
struct RecordBody {
    offset: Offset,
    at_ms: u64,
    data: ByteBuf,
}

/// Writes a page.
fn encode_page(page: LogPage) -> Response {
    let records = page.records.into_iter().map(|record| RecordBody {
        offset: record.offset,
        at_ms: record.at_ms,
        data: ByteBuf::from(record.data),
    });
    let page = ReadResponse {
        first: page.first,
        next: page.next,
        records: records.collect(),
    };
    let mut body = Vec::new();
    match ciborium::into_writer(&page, &mut body) {
        Ok(()) => Response::Full {
            status: 200,
            media_type: "application/cbor",
            body,
        },
        Err(error) => Response::error(500, "encoding", &error.to_string()),
    }
}

/// The answer to an append over the rate.
fn throttled_response(wait: Duration) -> Response {
    Response::json(
        429,
        &serde_json::json!({"retry_after_ms": retry_after_ms(wait)}),
    )
}

/// The answer to a read of what is no longer kept.
fn trimmed_response(first: Offset) -> Response {
    Response::json(410, &serde_json::json!({"first": first}))
}

/// Waits until something is appended or the time is over.
async fn wait_until(signal: Receiver<Infallible>, deadline: Instant) {
    let appended = async {
        let _ = signal.recv().await;
    };
    let late = async {
        Timer::at(deadline).await;
    };
    appended.or(late).await;
}

/// Appends a record after a time.
async fn append_after(inner: Arc<Mutex<Inner>>, stream: String, data: Vec<u8>, delay_ms: u64) {
    Timer::after(Duration::from_millis(delay_ms)).await;
    lock(&inner).append(&stream, data);
}

/// Ends an outage after a time, unless another one began.
async fn end_outage_after(
    inner: Arc<Mutex<Inner>>,
    server: Arc<Server<LogHandler>>,
    number: u64,
    after: Duration,
) {
    Timer::after(after).await;
    {
        let mut inner = lock(&inner);
        if inner.faults.outage_number != number {
            return;
        }
        inner.faults.outage = Outage::None;
    }
    server.resume_listening().await;
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}
