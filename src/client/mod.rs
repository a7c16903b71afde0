//! A caller's client of the HTTP interface.
//!
//! A [`Client`] knows one token and some entries. When an entry breaks off or falls silent, the
//! next attempt takes a fresh connection to the next entry.

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
pub use retry::{Attempts, Patience};
pub use stream::{AnswerStream, StreamEvent};

use crate::ids::{CallId, ProgramId, format_id};
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

/// Request bodies up to this size are sent without asking first.
const UNASKED_BODY_BYTES: usize = 16 << 20;

/// Largest answer body that is read.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long after a break only fresh connections are used; kept ones are closed by then.
const FRESH_AFTER_BREAK: Duration = Duration::from_secs(10);

/// How long a client waits before it gives a connection up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For the answer to a short request, and for the first event of a stream.
    pub reply: Duration,
    /// For a whole answer that is not streamed.
    pub answer: Duration,
    /// Between two events of a stream.
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

/// A client of the caller interface, for one client account of one environment.
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
    pooled: trillium_client::Client,
    fresh: trillium_client::Client,
    entries: Arc<[String]>,
    /// Counts entries given up; the remainder by their number is the one in use.
    turn: Arc<AtomicUsize>,
    /// When a connection broke last.
    broke_at: Arc<Mutex<Option<Instant>>>,
    authorization: String,
    timeouts: Timeouts,
}

impl Client {
    /// Makes a client of these entries, each `IP:port`. The first is used until it fails.
    pub fn new(entries: impl IntoIterator<Item = String>, token: &str) -> Self {
        let config = ClientConfig::default().with_nodelay(true);
        let mut pooled = trillium_client::Client::new(config);
        pooled.set_max_buffered_request_body(UNASKED_BODY_BYTES);
        pooled.set_h1_idle_timeout(Some(IDLE_TIMEOUT));
        Self {
            fresh: pooled.clone().without_keepalive(),
            pooled,
            entries: entries.into_iter().collect(),
            turn: Arc::default(),
            broke_at: Arc::default(),
            authorization: format!("Bearer {token}"),
            timeouts: Timeouts::default(),
        }
    }

    /// Sets the timeouts.
    pub fn with_timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Makes a client for the same entries with a counter of its own, beginning at `first`.
    pub fn starting_at(&self, first: usize) -> Self {
        Self {
            turn: Arc::new(AtomicUsize::new(first)),
            ..self.clone()
        }
    }

    /// Begins a program.
    pub async fn create(&self, request: &ProgramRequest) -> Result<ProgramAnswer, CallError> {
        let conn = self.build(Method::Post, "/v1/programs", Some(to_json(request)?));
        self.fetch(conn, self.timeouts.reply).await
    }

    /// Runs a call and waits for its whole answer.
    pub async fn call(
        &self,
        program: ProgramId,
        request: &CallRequest,
    ) -> Result<Answer, CallError> {
        let waiting = request.clone().streamed(false);
        let path = format!("/v1/programs/{}/calls", format_id(program));
        let conn = self.build(Method::Post, &path, Some(to_json(&waiting)?));
        let answer: CallAnswer = self.fetch(conn, self.timeouts.answer).await?;
        Ok(answer.into())
    }

    /// Runs a call and streams its answer. Dropping the stream closes its connection.
    pub async fn stream(
        &self,
        program: ProgramId,
        request: &CallRequest,
    ) -> Result<AnswerStream, CallError> {
        let streamed = request.clone().streamed(true);
        let path = format!("/v1/programs/{}/calls", format_id(program));
        self.open(Method::Post, &path, Some(to_json(&streamed)?))
            .await
    }

    /// Reads the answer of a call again, as a stream that begins at token `from`.
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

    /// Reads the whole answer of a call again, and waits for it if it still runs.
    pub async fn answer(&self, program: ProgramId, call: CallId) -> Result<Answer, CallError> {
        let (program, call) = (format_id(program), format_id(call));
        let path = format!("/v1/programs/{program}/calls/{call}");
        let conn = self.build(Method::Get, &path, None);
        let answer: CallAnswer = self.fetch(conn, self.timeouts.answer).await?;
        Ok(answer.into())
    }

    /// Reads a program's turns.
    pub async fn history(&self, program: ProgramId) -> Result<Vec<TurnAnswer>, CallError> {
        let path = format!("/v1/programs/{}/history", format_id(program));
        let conn = self.build(Method::Get, &path, None);
        let history: HistoryAnswer = self.fetch(conn, self.timeouts.reply).await?;
        Ok(history.turns)
    }

    /// Brings the receipt of a pending answer back, so that its turn stands though its owner is
    /// gone.
    pub async fn bring_back(&self, program: ProgramId, receipt: &str) -> Result<(), CallError> {
        let path = format!("/v1/programs/{}/receipts", format_id(program));
        let body = ReceiptRequest {
            receipt: receipt.to_owned(),
        };
        let conn = self.build(Method::Post, &path, Some(to_json(&body)?));
        self.exchange(conn, self.timeouts.reply).await?;
        Ok(())
    }

    /// Ends a program that has done its work.
    pub async fn end(&self, program: ProgramId) -> Result<(), CallError> {
        self.finish(program, "end").await
    }

    /// Cancels a program and what runs of it.
    pub async fn cancel(&self, program: ProgramId) -> Result<(), CallError> {
        self.finish(program, "cancel").await
    }

    async fn finish(&self, program: ProgramId, how: &str) -> Result<(), CallError> {
        let path = format!("/v1/programs/{}/{how}", format_id(program));
        let conn = self.build(Method::Post, &path, None);
        self.exchange(conn, self.timeouts.reply).await?;
        Ok(())
    }

    fn entry(&self) -> &str {
        let turn = self.turn.load(Ordering::Relaxed);
        match self.entries.len() {
            0 => "",
            len => &self.entries[turn % len],
        }
    }

    /// Gives the entry in use up: the next request goes to the next one.
    pub fn skip_entry(&self) {
        self.turn.fetch_add(1, Ordering::Relaxed);
        *lock(&self.broke_at) = Some(Instant::now());
    }

    /// The pooled connections, or only fresh ones soon after a break.
    fn http(&self) -> &trillium_client::Client {
        match *lock(&self.broke_at) {
            Some(at) if at.elapsed() < FRESH_AFTER_BREAK => &self.fresh,
            _ => &self.pooled,
        }
    }

    fn build(&self, method: Method, path: &str, body: Option<String>) -> Conn {
        self.dress(self.http(), method, path, body)
    }

    fn dress(
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

    /// Sends a request and reads a JSON answer.
    async fn fetch<T: DeserializeOwned>(
        &self,
        conn: Conn,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let body = self.exchange(conn, timeout).await?;
        serde_json::from_str(&body).map_err(|why| CallError::Unreadable(why.to_string()))
    }

    /// Sends a request and reads the body of a successful answer.
    async fn exchange(&self, conn: Conn, timeout: Duration) -> Result<String, CallError> {
        let exchange = async {
            let mut conn = conn.await.map_err(CallError::broken)?;
            let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES);
            let text = body.read_string().await.map_err(CallError::broken)?;
            error::check_status(&conn, &text)?;
            Ok(text)
        };
        self.watch(exchange, timeout).await
    }

    /// Opens a stream on a fresh connection.
    async fn open(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<AnswerStream, CallError> {
        let conn = self.dress(&self.fresh, method, path, body);
        let opened = async {
            let mut conn = conn.await.map_err(CallError::broken)?;
            if error::is_success(&conn) {
                return AnswerStream::new(conn, self.timeouts);
            }
            let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES);
            let text = body.read_string().await.map_err(CallError::broken)?;
            Err(error::refusal_of(&conn, &text))
        };
        self.watch(opened, self.timeouts.silence).await
    }

    /// Bounds an exchange in time, and gives the entry up when it broke.
    async fn watch<T>(
        &self,
        exchange: impl Future<Output = Result<T, CallError>>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let deadline = async {
            Timer::after(timeout).await;
            Err(CallError::Broken(format!("no answer in {timeout:?}")))
        };
        let result = exchange.or(deadline).await;
        if let Err(CallError::Broken(_)) = result {
            self.skip_entry();
        }
        result
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_json<T: serde::Serialize>(body: &T) -> Result<String, CallError> {
    serde_json::to_string(body).map_err(|why| CallError::Unreadable(why.to_string()))
}
