//! HTTP/1.1 client that sends each request once, on a new connection.

pub(crate) mod connector;
mod framing;
#[cfg(test)]
mod tests;

use crate::http::connector::LimitedConnector;
use crate::limits::{BYTES_PER_TURN, MAX_ANSWER_BYTES};
use futures_lite::{AsyncReadExt, FutureExt, future};
use smol::Timer;
use std::future::Future;
use std::io::ErrorKind;
use std::time::Duration;
use trillium_client::{Client, Conn, Method, ResponseBody};
use trillium_smol::ClientConfig;

/// Request bodies up to this size are sent without asking the server first.
const MAX_DIRECT_BODY_BYTES: usize = 1 << 30;

/// Header in which an endpoint states the requests a second that it takes from all callers.
pub(crate) const RATE_LIMIT: &str = "request-rate-limit";

/// Size of the read buffer.
const READ_BYTES: usize = 4 << 10;

/// Upper limit for a retry time that a server asks for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// Converts a retry time from a response into a duration, capped at one hour.
pub(crate) fn retry_after(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(MAX_RETRY_AFTER)
}

/// The reason why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HttpError {
    /// The connection was refused, so that nothing was sent.
    Refused(String),
    /// The connection was open, and ended or was reset before the response was complete.
    Ended(String),
    /// The connection could not be opened, or the response is invalid.
    Failed(String),
    /// The response did not arrive within the timeout.
    TimedOut,
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(reason) | Self::Ended(reason) | Self::Failed(reason) => {
                f.write_str(reason)
            }
            Self::TimedOut => f.write_str("no answer in time"),
        }
    }
}

/// An HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct HttpRequest {
    /// The HTTP method.
    pub(crate) method: Method,
    /// Path and query, starting with `/`.
    pub(crate) target: String,
    /// The body and its media type; `None` for no body.
    pub(crate) body: Option<(Vec<u8>, &'static str)>,
    /// Maximum size of the body of the response.
    pub(crate) max_answer_bytes: u64,
}

impl HttpRequest {
    /// Creates a request without a body.
    pub(crate) fn new(method: Method, target: impl Into<String>) -> Self {
        Self {
            method,
            target: target.into(),
            body: None,
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }

    /// Sets the maximum size of the body of the response.
    pub(crate) fn with_max_answer_bytes(mut self, max_answer_bytes: u64) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }

    /// Sets a JSON body.
    pub(crate) fn json(mut self, body: Vec<u8>) -> Self {
        self.body = Some((body, "application/json"));
        self
    }

    /// Sets a binary body.
    pub(crate) fn bytes(mut self, body: Vec<u8>) -> Self {
        self.body = Some((body, "application/octet-stream"));
        self
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    /// The status code.
    pub(crate) status: u16,
    /// Value of the [`RATE_LIMIT`] header.
    pub(crate) rate_limit: Option<String>,
    /// The whole body.
    pub(crate) body: Vec<u8>,
}

/// HTTP client for one base URL.
///
/// Invariant: connections are not reused, so the client never repeats a request because a reused
/// connection turned out to be closed.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client for `base`, such as `http://127.0.0.1:80`. `timeout` limits a whole response.
    pub(crate) fn new(base: &str, timeout: Duration) -> Self {
        Self::with_max_answer_bytes(base, timeout, MAX_ANSWER_BYTES)
    }

    /// Creates a client with a limit on the size of all answers.
    pub(crate) fn with_max_answer_bytes(
        base: &str,
        timeout: Duration,
        max_answer_bytes: u64,
    ) -> Self {
        let connector = ClientConfig::new().with_nodelay(true);
        Self {
            client: build_client(connector, max_answer_bytes),
            base_url: base.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn send(&self, request: HttpRequest) -> Result<HttpResponse, HttpError> {
        self.send_with_limit(request, self.timeout).await
    }

    /// Sends a request that the server may hold for up to `extra` in addition to the timeout.
    pub(crate) async fn send_with_extra_time(
        &self,
        request: HttpRequest,
        extra: Duration,
    ) -> Result<HttpResponse, HttpError> {
        self.send_with_limit(request, self.timeout + extra).await
    }

    /// Sends a request and returns the response with its body unread.
    pub(crate) async fn open(&self, request: HttpRequest) -> Result<HttpBody, HttpError> {
        with_timeout(self.timeout, open(self.build(request))).await
    }

    /// Sends a request and reads the whole response within `limit`.
    async fn send_with_limit(
        &self,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<HttpResponse, HttpError> {
        let max_bytes = request.max_answer_bytes;
        let conn = self.build(request);
        with_timeout(limit, async {
            open(conn).await?.read_whole(max_bytes).await
        })
        .await
    }

    /// Builds the connection object of a request.
    fn build(&self, request: HttpRequest) -> Conn {
        let url = format!("{}{}", self.base_url, request.target);
        add_body(self.client.build_conn(request.method, url), request.body)
    }
}

/// Creates a client that does not reuse connections. `max_answer_bytes` limits each answer.
pub(crate) fn build_client(
    connector: impl trillium_client::Connector,
    max_answer_bytes: u64,
) -> Client {
    Client::new(LimitedConnector::new(connector, max_answer_bytes))
        .without_keepalive()
        .with_max_buffered_request_body(MAX_DIRECT_BODY_BYTES)
}

/// Adds a body and its content type to a request.
pub(crate) fn add_body(conn: Conn, body: Option<(Vec<u8>, &'static str)>) -> Conn {
    match body {
        Some((body, kind)) => conn
            .with_request_header("content-type", kind)
            .with_body(body),
        None => conn,
    }
}

/// Sends a request and reads the response headers.
pub(crate) async fn open(conn: Conn) -> Result<HttpBody, HttpError> {
    let mut conn = conn.await.map_err(|error| open_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    if status < 200 {
        // No request asks for another protocol, and the library skips other interim answers.
        return Err(HttpError::Failed(format!("no answer has status {status}")));
    }
    let body = conn
        .take_response_body()
        .ok_or_else(|| HttpError::Failed("no answer".to_owned()))?
        .with_max_len(u64::MAX);
    let read_buf = vec![0; READ_BYTES].into_boxed_slice();
    let rate_limit = conn.response_headers().get_str(RATE_LIMIT);
    let rate_limit = rate_limit.map(str::to_owned);
    Ok(HttpBody {
        status,
        rate_limit,
        body,
        read_buf,
        bytes_in_turn: 0,
    })
}

/// Runs a future with a time limit; returns [`HttpError::TimedOut`] when it expires.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(HttpError::TimedOut)
    };
    work.or(timeout).await
}

/// Converts the error of a request that has received no response. Only an attempt to connect is
/// refused by the operating system.
fn open_error(error: &trillium_client::Error) -> HttpError {
    match error {
        trillium_client::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            HttpError::Refused(error.to_string())
        }
        trillium_client::Error::Io(io) => io_error(io),
        trillium_client::Error::Closed => HttpError::Ended(error.to_string()),
        error => HttpError::Failed(error.to_string()),
    }
}

/// Converts an error of reading or writing. The connection reports an end within the head or before the
/// stated length as unexpected; the HTTP library reports one within chunks as an aborted connection or
/// an unexpected end.
fn io_error(error: &std::io::Error) -> HttpError {
    match error.kind() {
        ErrorKind::ConnectionReset
        | ErrorKind::ConnectionAborted
        | ErrorKind::BrokenPipe
        | ErrorKind::UnexpectedEof => HttpError::Ended(error.to_string()),
        _ => HttpError::Failed(error.to_string()),
    }
}

/// A response whose body has not been read yet. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct HttpBody {
    /// The status code.
    pub(crate) status: u16,
    /// Value of the [`RATE_LIMIT`] header.
    pub(crate) rate_limit: Option<String>,
    body: ResponseBody<'static>,
    /// Buffer for each read.
    read_buf: Box<[u8]>,
    /// Number of bytes read since other tasks had their turn.
    bytes_in_turn: usize,
}

impl HttpBody {
    /// Appends the next bytes of the body to `buf` and returns their number; 0 at the end of the body.
    ///
    /// The method is cancel-safe: dropping the future loses no bytes.
    pub(crate) async fn read_some(&mut self, buf: &mut Vec<u8>) -> Result<usize, HttpError> {
        if self.bytes_in_turn >= BYTES_PER_TURN {
            self.bytes_in_turn = 0;
            future::yield_now().await;
        }
        let count = self
            .body
            .read(&mut self.read_buf)
            .await
            .map_err(|error| io_error(&error))?;
        buf.extend_from_slice(&self.read_buf[..count]);
        self.bytes_in_turn += count;
        Ok(count)
    }

    /// Reads the rest of the body, up to `max_bytes`, and returns the complete response.
    pub(crate) async fn read_whole(mut self, max_bytes: u64) -> Result<HttpResponse, HttpError> {
        let mut body = Vec::new();
        while self.read_some(&mut body).await? > 0 {
            if body.len() as u64 > max_bytes {
                return Err(HttpError::Failed("the answer is too long".to_owned()));
            }
        }
        Ok(HttpResponse {
            status: self.status,
            rate_limit: self.rate_limit,
            body,
        })
    }
}
