//! HTTP request handler of the log stand-in.

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

/// Maximum time that a read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(60);

/// Prefix of the path of every stream.
const STREAM_PATH_PREFIX: &str = "/v1/streams/";

/// Handles the requests to a log.
pub(crate) struct LogHandler {
    inner: Arc<Mutex<Inner>>,
    server: ServerRef<LogHandler>,
}

/// The mutable state of a log.
struct Inner {
    state: LogState,
    faults: LogFaults,
    latency: Duration,
    /// Signals for waiting reads, by stream. The next append to a stream drops its entry, which closes
    /// the channel and wakes the reads.
    append_signals: HashMap<String, (Sender<Infallible>, Receiver<Infallible>)>,
}

impl Inner {
    /// Appends a record and wakes the reads that wait for it.
    fn append(&mut self, stream: &str, data: Vec<u8>) -> Offset {
        self.append_signals.remove(stream);
        self.state.append(stream, data, unix_now_ms())
    }

    /// Returns a channel that closes at the next append to a stream.
    fn append_signal(&mut self, stream: &str) -> Receiver<Infallible> {
        let entry = self.append_signals.entry(stream.to_owned());
        entry.or_insert_with(|| async_channel::bounded(1)).1.clone()
    }
}

impl LogHandler {
    /// Creates a log without streams.
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

    /// Sets the server, which an outage can stop.
    pub(crate) fn attach(&self, server: &Arc<Server<LogHandler>>) {
        self.server.attach(server);
    }

    /// Applies a change of the log's behaviour.
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

    /// Returns the counters.
    pub(crate) fn counts(&self) -> LogCounts {
        self.lock().state.counts
    }

    /// Returns all retained records of a stream.
    pub(crate) fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.lock().state.records(stream)
    }

    /// Returns the names of the streams.
    pub(crate) fn streams(&self) -> Vec<String> {
        self.lock().state.stream_names()
    }

    /// Removes the records of a stream before offset `first`.
    pub(crate) fn trim(&self, stream: &str, first: Offset) {
        self.lock().state.trim(stream, first);
    }

    /// Stops the server if the outage refuses connections. Otherwise resumes listening.
    async fn apply_outage(&self, outage: Outage) {
        self.server.set_down(Some(outage == Outage::Refuse)).await;
    }

    /// Appends a record, subject to the rate limit and the active faults.
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
                let delayed = append_after(self.inner.clone(), stream.to_owned(), data, delay_ms);
                spawn(delayed).detach();
                Response::Disconnect
            }
        }
    }

    /// Reads a page. If it is empty, waits for a record for up to the requested time.
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
            wait_for_append(signal, deadline).await;
        }
    }

    /// Handles a request of the log protocol.
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

    /// Handles a request to the stand-in's own control paths. Returns `None` for other paths.
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
        if let Some(response) = self.serve_control(&request).await {
            return response;
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

/// The response body of an append.
#[derive(Serialize)]
struct AppendResponse {
    offset: Offset,
}

/// The response body of a read.
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

/// Encodes a page as CBOR.
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

/// Creates the response to an append that exceeds the rate limit.
fn throttled_response(wait: Duration) -> Response {
    Response::json(
        429,
        &serde_json::json!({"retry_after_ms": retry_after_ms(wait)}),
    )
}

/// Creates the response to a read of an offset that is no longer retained.
fn trimmed_response(first: Offset) -> Response {
    Response::json(410, &serde_json::json!({"first": first}))
}

/// Waits for the next append or the deadline.
async fn wait_for_append(signal: Receiver<Infallible>, deadline: Instant) {
    let appended = async {
        let _ = signal.recv().await;
    };
    let timed_out = async {
        Timer::at(deadline).await;
    };
    appended.or(timed_out).await;
}

/// Appends a record after a delay.
async fn append_after(inner: Arc<Mutex<Inner>>, stream: String, data: Vec<u8>, delay_ms: u64) {
    Timer::after(Duration::from_millis(delay_ms)).await;
    lock(&inner).append(&stream, data);
}

/// Ends outage `number` after a delay, unless it was changed in the meantime.
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
