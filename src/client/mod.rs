//! Client of the HTTP interface for callers.
//!
//! A [`Client`] has one bearer token and a list of entry nodes. When a connection breaks or times out,
//! the next attempt uses a new connection to the next entry.

mod collect;
mod error;
mod request;
mod retry;
mod sse;
mod stream;

#[cfg(test)]
mod tests;

pub use collect::{Collector, StreamFault};
pub use error::CallError;
pub use retry::{RetryDeadline, RetryOutcome};
pub use stream::{AnswerStream, StreamEvent};

use crate::http::connector::LimitedConnector;
use crate::http::{self, HttpResponse};
use crate::ids::{CallId, ProgramId, format_id};
use crate::limits::{MAX_ANSWER_BYTES, MAX_CALL_ANSWER_BYTES, MAX_ENTRY_ANSWER_BYTES};
use crate::protocol::caller::{
    CallAnswer, CallRequest, HistoryAnswer, ProgramAnswer, ProgramRequest, ReceiptRequest,
    TurnAnswer,
};
use crate::protocol::link::Answer;
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use smol::Timer;
use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use trillium_client::{Conn, Method};
use trillium_smol::ClientConfig;

/// Request bodies up to this size are sent without asking the server first (`Expect: 100-continue`).
const MAX_DIRECT_BODY_BYTES: usize = 16 << 20;

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a broken connection during which only new connections are used. It exceeds
/// [`IDLE_TIMEOUT`], so that the pooled connections of that time are closed afterwards.
const UNPOOLED_AFTER_BREAK: Duration = Duration::from_secs(10);

/// Timeouts after which a client abandons a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For the response to a request other than a call. Default: 10 s.
    pub reply: Duration,
    /// For the whole answer of a call that is not streamed. Default: 120 s.
    pub answer: Duration,
    /// For the first event of a stream, and between two events. Default: 30 s.
    pub silence: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            reply: Duration::from_secs(10),
            answer: Duration::from_secs(120),
            silence: Duration::from_secs(30),
        }
    }
}

/// A client of the HTTP interface for one client account of one environment. Clones share the list
/// position and the connections.
///
/// ```no_run
/// use galenapick::protocol::caller::{CallRequest, ProgramRequest};
/// use galenapick::{Client, Message, Role};
///
/// smol::block_on(async {
///     let client = Client::new(["127.0.0.1:8080".to_owned()], "token");
///     let program = client.create(&ProgramRequest::default()).await?.program;
///     let messages = vec![Message::new(Role::User, "Who can mend a gate?")];
///     let call = CallRequest::model("matcher-llm", messages, 64).key("c1");
///     let answer = client.call(program, &call).await?;
///     println!("{}", answer.content);
///     client.end(program).await
/// })?;
/// # Ok::<(), galenapick::CallError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    /// Reuses idle connections.
    pooled: trillium_client::Client,
    /// Opens a new connection for each request.
    unpooled: trillium_client::Client,
    entries: Arc<[String]>,
    /// Number of switches to the next entry; the entry in use is this modulo the number of entries.
    entry_index: Arc<AtomicUsize>,
    /// Time of the last broken connection.
    last_broken_at: Arc<Mutex<Option<Instant>>>,
    authorization: String,
    timeouts: Timeouts,
}

impl Client {
    /// Creates a client for a list of entries, each `IP:port`. It uses the first until that fails.
    pub fn new(entries: impl IntoIterator<Item = String>, token: &str) -> Self {
        let config = ClientConfig::default().with_nodelay(true);
        let connector = LimitedConnector::new(config, MAX_ENTRY_ANSWER_BYTES);
        let mut pooled = trillium_client::Client::new(connector);
        pooled.set_max_buffered_request_body(MAX_DIRECT_BODY_BYTES);
        pooled.set_h1_idle_timeout(Some(IDLE_TIMEOUT));
        Self {
            unpooled: pooled.clone().without_keepalive(),
            pooled,
            entries: entries.into_iter().collect(),
            entry_index: Arc::default(),
            last_broken_at: Arc::default(),
            authorization: format!("Bearer {token}"),
            timeouts: Timeouts::default(),
        }
    }

    /// Sets the timeouts.
    pub fn with_timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Creates a client for the same entries that starts with entry `first`, modulo their number, and
    /// switches independently of this one.
    pub fn starting_at(&self, first: usize) -> Self {
        Self {
            entry_index: Arc::new(AtomicUsize::new(first)),
            ..self.clone()
        }
    }

    /// Creates a program.
    pub async fn create(&self, request: &ProgramRequest) -> Result<ProgramAnswer, CallError> {
        let http = self.http_client_for(request.key.as_deref());
        let body = Some(to_json(request)?);
        let conn = self.build_with(http, Method::Post, "/v1/programs", body);
        self.fetch(conn, self.timeouts.reply, MAX_ANSWER_BYTES)
            .await
    }

    /// Runs a call and waits for its whole answer.
    pub async fn call(
        &self,
        program: ProgramId,
        request: &CallRequest,
    ) -> Result<Answer, CallError> {
        let unstreamed = request.clone().streamed(false);
        let path = format!("/v1/programs/{}/calls", format_id(program));
        let http = self.http_client_for(request.key.as_deref());
        let body = Some(to_json(&unstreamed)?);
        let conn = self.build_with(http, Method::Post, &path, body);
        let answer: CallAnswer = self
            .fetch(conn, self.timeouts.answer, MAX_CALL_ANSWER_BYTES)
            .await?;
        Ok(answer.into())
    }

    /// Runs a call and returns the stream of its answer. Dropping the stream closes its connection.
    pub async fn stream(
        &self,
        program: ProgramId,
        request: &CallRequest,
    ) -> Result<AnswerStream, CallError> {
        let streamed = request.clone().streamed(true);
        let path = format!("/v1/programs/{}/calls", format_id(program));
        let stream = self
            .open(Method::Post, &path, Some(to_json(&streamed)?))
            .await?;
        Ok(stream.limited_by(request))
    }

    /// Reads the answer of an earlier call as a stream that starts at token `from`.
    pub async fn resume(
        &self,
        program: ProgramId,
        call: CallId,
        from: u32,
    ) -> Result<AnswerStream, CallError> {
        let (program, call) = (format_id(program), format_id(call));
        let path = format!("/v1/programs/{program}/calls/{call}?from={from}&stream=true");
        self.open(Method::Get, &path, None).await
    }

    /// Reads the whole answer of an earlier call; waits while the call is running.
    pub async fn answer(&self, program: ProgramId, call: CallId) -> Result<Answer, CallError> {
        let (program, call) = (format_id(program), format_id(call));
        let path = format!("/v1/programs/{program}/calls/{call}");
        let conn = self.build(Method::Get, &path, None);
        let answer: CallAnswer = self
            .fetch(conn, self.timeouts.answer, MAX_CALL_ANSWER_BYTES)
            .await?;
        Ok(answer.into())
    }

    /// Reads the turns of a program.
    pub async fn history(&self, program: ProgramId) -> Result<Vec<TurnAnswer>, CallError> {
        let path = format!("/v1/programs/{}/history", format_id(program));
        let conn = self.build(Method::Get, &path, None);
        let history: HistoryAnswer = self
            .fetch(conn, self.timeouts.reply, MAX_ENTRY_ANSWER_BYTES)
            .await?;
        Ok(history.turns)
    }

    /// Submits the receipt of a pending answer, so that its turn is kept even if the owner that
    /// answered has failed.
    pub async fn submit_receipt(&self, program: ProgramId, receipt: &str) -> Result<(), CallError> {
        let path = format!("/v1/programs/{}/receipts", format_id(program));
        let body = ReceiptRequest {
            receipt: receipt.to_owned(),
        };
        let conn = self.build(Method::Post, &path, Some(to_json(&body)?));
        self.exchange(conn, self.timeouts.reply, MAX_ANSWER_BYTES)
            .await?;
        Ok(())
    }

    /// Ends a program that is complete.
    pub async fn end(&self, program: ProgramId) -> Result<(), CallError> {
        self.post_program_action(program, "end").await
    }

    /// Cancels a program and its running calls.
    pub async fn cancel(&self, program: ProgramId) -> Result<(), CallError> {
        self.post_program_action(program, "cancel").await
    }

    async fn post_program_action(&self, program: ProgramId, action: &str) -> Result<(), CallError> {
        let path = format!("/v1/programs/{}/{action}", format_id(program));
        let conn = self.build(Method::Post, &path, None);
        self.exchange(conn, self.timeouts.reply, MAX_ANSWER_BYTES)
            .await?;
        Ok(())
    }

    fn entry(&self) -> &str {
        let entry_index = self.entry_index.load(Ordering::Relaxed);
        match self.entries.len() {
            0 => "",
            len => &self.entries[entry_index % len],
        }
    }

    /// Switches to the next entry for the following requests, and stops reusing connections for a
    /// while.
    pub fn switch_entry(&self) {
        self.entry_index.fetch_add(1, Ordering::Relaxed);
        *lock(&self.last_broken_at) = Some(Instant::now());
    }

    /// Returns the client with pooled connections, or the one without soon after a broken connection.
    fn http_client(&self) -> &trillium_client::Client {
        match *lock(&self.last_broken_at) {
            Some(at) if at.elapsed() < UNPOOLED_AFTER_BREAK => &self.unpooled,
            _ => &self.pooled,
        }
    }

    /// Returns the client for a request with this key. Answers name no request, and one without a key
    /// must not be sent again because of an earlier refusal on its connection.
    fn http_client_for(&self, key: Option<&str>) -> &trillium_client::Client {
        match key {
            Some(_) => self.http_client(),
            None => &self.unpooled,
        }
    }

    fn build(&self, method: Method, path: &str, body: Option<String>) -> Conn {
        self.build_with(self.http_client(), method, path, body)
    }

    fn build_with(
        &self,
        http: &trillium_client::Client,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Conn {
        let url = format!("http://{}{path}", self.entry());
        let conn = http
            .build_conn(method, url)
            .with_request_header("authorization", self.authorization.clone());
        match body {
            Some(body) => conn
                .with_request_header("content-type", "application/json")
                .with_body(body),
            None => conn,
        }
    }

    /// Sends a request and decodes the JSON response.
    async fn fetch<T: DeserializeOwned>(
        &self,
        conn: Conn,
        timeout: Duration,
        max_bytes: u64,
    ) -> Result<T, CallError> {
        let body = self.exchange(conn, timeout, max_bytes).await?;
        serde_json::from_str(&body).map_err(|error| CallError::Unreadable(error.to_string()))
    }

    /// Sends a request and returns the body of a successful response.
    async fn exchange(
        &self,
        conn: Conn,
        timeout: Duration,
        max_bytes: u64,
    ) -> Result<String, CallError> {
        let exchange = async {
            let body = http::open(conn).await.map_err(CallError::unanswered)?;
            let response = body.read_whole(max_bytes).await;
            let response = response.map_err(CallError::broken)?;
            match error::is_success(response.status) {
                true => read_text(response),
                false => Err(error::parse_refusal(&response)),
            }
        };
        self.with_timeout(exchange, timeout).await
    }

    /// Opens a stream on a new connection.
    async fn open(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<AnswerStream, CallError> {
        let conn = self.build_with(&self.unpooled, method, path, body);
        let opened = async {
            let body = http::open(conn).await.map_err(CallError::unanswered)?;
            if error::is_success(body.status) {
                return Ok(AnswerStream::new(body, self.timeouts));
            }
            let response = body.read_whole(MAX_ANSWER_BYTES).await;
            Err(error::parse_refusal(&response.map_err(CallError::broken)?))
        };
        self.with_timeout(opened, self.timeouts.silence).await
    }

    /// Applies a timeout to an exchange, and switches to the next entry if the connection broke.
    async fn with_timeout<T>(
        &self,
        exchange: impl Future<Output = Result<T, CallError>>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let expired = async {
            Timer::after(timeout).await;
            Err(CallError::Broken(format!("no response within {timeout:?}")))
        };
        let result = exchange.or(expired).await;
        if result.as_ref().is_err_and(CallError::is_connection_lost) {
            self.switch_entry();
        }
        result
    }
}

fn read_text(response: HttpResponse) -> Result<String, CallError> {
    String::from_utf8(response.body).map_err(|error| CallError::Unreadable(error.to_string()))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_json<T: serde::Serialize>(body: &T) -> Result<String, CallError> {
    serde_json::to_string(body).map_err(|error| CallError::Unreadable(error.to_string()))
}
