//! Answers the requests to the log stand-in.

use super::control::{AppendFault, LogControl, LogFaults, Outage};
use super::state::{LogConfig, LogCounts, LogState};
use crate::ids::Offset;
use crate::protocol::log::{LogPage, LogRecord};
use crate::standin::bucket::wait_ms;
use crate::standin::clock::now_ms;
use crate::standin::server::{Answer, Handler, Request, Server, ServerSlot};
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
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Begins the path of every stream.
const STREAMS: &str = "/v1/streams/";

/// The log behind its server.
pub(crate) struct LogHandler {
    inner: Arc<Mutex<Inner>>,
    server: ServerSlot<LogHandler>,
}

/// What changes.
struct Inner {
    state: LogState,
    faults: LogFaults,
    latency: Duration,
    /// What the reads of a stream wait for: it is dropped at the stream's next append.
    changes: HashMap<String, (Sender<Infallible>, Receiver<Infallible>)>,
}

impl Inner {
    /// Appends a record and wakes the reads that wait for one.
    fn append(&mut self, stream: &str, data: Vec<u8>) -> Offset {
        self.changes.remove(stream);
        self.state.append(stream, data, now_ms())
    }

    /// Returns what closes at the next append to a stream.
    fn next_change(&mut self, stream: &str) -> Receiver<Infallible> {
        let change = self.changes.entry(stream.to_owned());
        change
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
            changes: HashMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            server: ServerSlot::default(),
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
        self.begin(outage).await;
        if let (Some(server), Some(outage_ms)) = (self.server.get(), control.outage_ms) {
            let end = end_outage(
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
        self.lock().state.names()
    }

    /// Removes the records of a stream before an offset.
    pub(crate) fn trim(&self, stream: &str, first: Offset) {
        self.lock().state.trim(stream, first);
    }

    /// Begins or ends an outage at the server.
    async fn begin(&self, outage: Outage) {
        self.server.set_down(Some(outage == Outage::Refuse)).await;
    }

    /// Appends a record, with the faults in force.
    async fn append(&self, stream: &str, data: Vec<u8>) -> Answer {
        let mut inner = self.lock();
        if let Err(wait) = inner.state.admit(Instant::now()) {
            return throttled(wait);
        }
        match inner.faults.next_append() {
            AppendFault::None => {
                let offset = inner.append(stream, data);
                Answer::json(200, &Appended { offset })
            }
            AppendFault::LostAnswer => {
                inner.append(stream, data);
                inner.state.counts.lost_answers += 1;
                Answer::Cut
            }
            AppendFault::Delayed(delay_ms) => {
                inner.state.counts.lost_answers += 1;
                let late = append_late(self.inner.clone(), stream.to_owned(), data, delay_ms);
                spawn(late).detach();
                Answer::Cut
            }
        }
    }

    /// Reads a page, and waits for a first record if the request asks for it.
    async fn read(&self, stream: &str, request: &Request) -> Answer {
        let from = request.number("from").unwrap_or(1);
        let max_bytes = request.number("max_bytes").unwrap_or(1 << 20) as usize;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        loop {
            let changed = {
                let mut inner = self.lock();
                match inner.state.read(stream, from, max_bytes, now_ms()) {
                    Err(first) => return trimmed(first),
                    Ok(page) if !page.records.is_empty() || Instant::now() >= deadline => {
                        drop(inner);
                        return encode_page(page);
                    }
                    Ok(_) => inner.next_change(stream),
                }
            };
            wait_for(changed, deadline).await;
        }
    }

    /// Answers a request of the log's protocol.
    async fn serve(&self, request: Request) -> Answer {
        let stream = request.path.strip_prefix(STREAMS).unwrap_or_default();
        if stream.is_empty() {
            return Answer::not_found();
        }
        match request.method {
            Method::Post => self.append(stream, request.body).await,
            Method::Get => self.read(stream, &request).await,
            _ => Answer::not_found(),
        }
    }

    /// Answers a request of the stand-in's own.
    async fn operate(&self, request: &Request) -> Option<Answer> {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/counts") => Some(Answer::json(200, &self.counts())),
            (Method::Post, "/control") => Some(match request.json::<LogControl>() {
                Ok(control) => {
                    self.control(control).await;
                    Answer::json(200, &())
                }
                Err(refused) => refused,
            }),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Handler for LogHandler {
    async fn handle(&self, request: Request) -> Answer {
        if let Some(answer) = self.operate(&request).await {
            return answer;
        }
        let (outage, latency) = {
            let inner = self.lock();
            (inner.faults.outage, inner.latency)
        };
        match outage {
            Outage::Hang | Outage::Refuse => return Answer::Hang,
            Outage::Error => return Answer::refused(503, "outage", "The log is down."),
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
struct Appended {
    offset: Offset,
}

/// The answer to a read.
#[derive(Serialize)]
struct Page {
    first: Offset,
    next: Offset,
    records: Vec<Item>,
}

/// One record of a page.
#[derive(Serialize)]
struct Item {
    offset: Offset,
    at_ms: u64,
    data: ByteBuf,
}

/// Writes a page.
fn encode_page(page: LogPage) -> Answer {
    let records = page.records.into_iter().map(|record| Item {
        offset: record.offset,
        at_ms: record.at_ms,
        data: ByteBuf::from(record.data),
    });
    let page = Page {
        first: page.first,
        next: page.next,
        records: records.collect(),
    };
    let mut body = Vec::new();
    match ciborium::into_writer(&page, &mut body) {
        Ok(()) => Answer::Whole {
            status: 200,
            kind: "application/cbor",
            body,
        },
        Err(error) => Answer::refused(500, "encoding", &error.to_string()),
    }
}

/// The answer to an append over the rate.
fn throttled(wait: Duration) -> Answer {
    Answer::json(429, &serde_json::json!({"retry_after_ms": wait_ms(wait)}))
}

/// The answer to a read of what is no longer kept.
fn trimmed(first: Offset) -> Answer {
    Answer::json(410, &serde_json::json!({"first": first}))
}

/// Waits until something is appended or the time is over.
async fn wait_for(changed: Receiver<Infallible>, deadline: Instant) {
    let appended = async {
        let _ = changed.recv().await;
    };
    let late = async {
        Timer::at(deadline).await;
    };
    appended.or(late).await;
}

/// Appends a record after a time.
async fn append_late(inner: Arc<Mutex<Inner>>, stream: String, data: Vec<u8>, delay_ms: u64) {
    Timer::after(Duration::from_millis(delay_ms)).await;
    lock(&inner).append(&stream, data);
}

/// Ends an outage after a time, unless another one began.
async fn end_outage(
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
    server.listen_again().await;
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}
