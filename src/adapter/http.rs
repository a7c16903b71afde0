//! Requests over HTTP/1.1, each on a fresh connection and sent once.

use futures_lite::{AsyncReadExt, FutureExt};
use smol::Timer;
use std::future::Future;
use std::time::Duration;
use trillium_client::{Client, Conn, Method, ResponseBody};
use trillium_smol::ClientConfig;

/// The longest answer that is read whole, in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Bodies up to this size are sent without asking the server first, in bytes.
const MAX_DIRECT_BODY_BYTES: usize = 1 << 30;

/// Bytes read at a time.
const READ_BYTES: usize = 4 << 10;

/// The longest time to wait that an answer can ask for.
const MAX_RETRY: Duration = Duration::from_secs(3600);

/// Turns a time to wait that an answer asks for into a duration.
pub(crate) fn retry_after(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(MAX_RETRY)
}

/// Why a request got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HttpError {
    /// No connection, or it broke.
    Failed(String),
    /// No answer in time.
    TimedOut,
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Failed(why) => f.write_str(why),
            Self::TimedOut => f.write_str("no answer in time"),
        }
    }
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct HttpRequest {
    /// The method.
    pub(crate) method: Method,
    /// Path and query, beginning with `/`.
    pub(crate) target: String,
    /// The body and its media type.
    pub(crate) body: Option<(Vec<u8>, &'static str)>,
}

impl HttpRequest {
    /// A request without a body.
    pub(crate) fn new(method: Method, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            body: None,
        }
    }

    /// Adds a JSON body.
    pub(crate) fn json(mut self, body: Vec<u8>) -> Self {
        self.body = Some((body, "application/json"));
        self
    }

    /// Adds a body of plain bytes.
    pub(crate) fn bytes(mut self, body: Vec<u8>) -> Self {
        self.body = Some((body, "application/octet-stream"));
        self
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct HttpAnswer {
    /// The status code.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// A client for one base URL.
///
/// Invariant: it keeps no connection between requests, so it never sends a request a second time
/// because a kept connection turned out to be closed.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client,
    base: String,
    timeout: Duration,
}

impl HttpClient {
    /// Makes a client for `base`, such as `http://127.0.0.1:80`; `timeout` is for a whole answer.
    pub(crate) fn new(base: &str, timeout: Duration) -> Self {
        let connector = ClientConfig::new().with_nodelay(true);
        Self {
            client: build_client(connector),
            base: base.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Sends a request and reads the answer whole.
    pub(crate) async fn send(&self, request: HttpRequest) -> Result<HttpAnswer, HttpError> {
        self.send_within(request, self.timeout).await
    }

    /// Sends a request that may wait `extra` longer at the server.
    pub(crate) async fn send_waiting(
        &self,
        request: HttpRequest,
        extra: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        self.send_within(request, self.timeout + extra).await
    }

    /// Sends a request; the body of the answer is left to be read.
    pub(crate) async fn open(&self, request: HttpRequest) -> Result<HttpBody, HttpError> {
        within(self.timeout, open(self.build(request))).await
    }

    /// Sends a request and reads the answer within a time.
    async fn send_within(
        &self,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let conn = self.build(request);
        within(limit, async { open(conn).await?.read_whole().await }).await
    }

    /// Makes the connection object of a request.
    fn build(&self, request: HttpRequest) -> Conn {
        let url = format!("{}{}", self.base, request.target);
        add_body(self.client.build_conn(request.method, url), request.body)
    }
}

/// Makes a client without kept connections.
pub(crate) fn build_client(connector: impl trillium_client::Connector) -> Client {
    Client::new(connector)
        .without_keepalive()
        .with_max_buffered_request_body(MAX_DIRECT_BODY_BYTES)
}

/// Adds a body to a request.
pub(crate) fn add_body(conn: Conn, body: Option<(Vec<u8>, &'static str)>) -> Conn {
    match body {
        Some((body, kind)) => conn
            .with_request_header("content-type", kind)
            .with_body(body),
        None => conn,
    }
}

/// Sends the request of a connection object and reads the head of the answer.
pub(crate) async fn open(conn: Conn) -> Result<HttpBody, HttpError> {
    let mut conn = conn.await.map_err(|error| failed(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn
        .take_response_body()
        .ok_or_else(|| HttpError::Failed("no answer".to_owned()))?
        .with_max_len(u64::MAX);
    let part = vec![0; READ_BYTES].into_boxed_slice();
    Ok(HttpBody { status, body, part })
}

/// Ends a future with [`HttpError::TimedOut`] after a time.
pub(crate) async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let late = async {
        Timer::after(limit).await;
        Err(HttpError::TimedOut)
    };
    work.or(late).await
}

/// Turns an error of the client into one of ours.
fn failed(error: &impl std::fmt::Display) -> HttpError {
    HttpError::Failed(error.to_string())
}

/// An answer whose body is still to be read. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct HttpBody {
    /// The status code.
    pub(crate) status: u16,
    body: ResponseBody<'static>,
    /// Takes the bytes of each read.
    part: Box<[u8]>,
}

impl HttpBody {
    /// Reads the next bytes into `buf`; 0 means that the body is whole.
    ///
    /// Dropping the future loses nothing.
    pub(crate) async fn read_some(&mut self, buf: &mut Vec<u8>) -> Result<usize, HttpError> {
        let count = self
            .body
            .read(&mut self.part)
            .await
            .map_err(|error| failed(&error))?;
        buf.extend_from_slice(&self.part[..count]);
        Ok(count)
    }

    /// Reads the rest of the body.
    pub(crate) async fn read_whole(mut self) -> Result<HttpAnswer, HttpError> {
        let mut body = Vec::new();
        while self.read_some(&mut body).await? > 0 {
            if body.len() > MAX_ANSWER_BYTES {
                return Err(HttpError::Failed("the answer is too long".to_owned()));
            }
        }
        Ok(HttpAnswer {
            status: self.status,
            body,
        })
    }
}
