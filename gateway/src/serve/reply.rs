//! Writes the answer to a client's request.

use crate::serve::http::{Header, connection_tokens, is_hop_header};
use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// An answer that the gateway itself sends instead of an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// HTTP status. Statuses 408, 421, 429 and 503 guarantee that the request has not run and never
    /// will.
    pub(crate) status: u16,
    /// Delay after which the client should retry.
    pub(crate) retry_after: Option<Duration>,
    /// Short reason, sent as the body.
    pub(crate) reason: &'static str,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub(crate) const fn new(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// Returns whether the client must not send the request again.
    pub(crate) fn is_final(&self) -> bool {
        (400..500).contains(&self.status) && !matches!(self.status, 408 | 421 | 429)
    }

    /// Creates a refusal with status 503 for a request that has not run and may be retried after a
    /// delay.
    pub(crate) const fn retry_later(after: Duration, reason: &'static str) -> Self {
        Self {
            status: 503,
            retry_after: Some(after),
            reason,
        }
    }
}

/// Progress of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ReplyState {
    /// Nothing has been written.
    Pending,
    /// The head has been written, but not the complete body.
    Begun,
    /// The complete answer has been written.
    Complete,
    /// The answer cannot be completed; the connection must be closed.
    Broken,
}

/// Writer of one answer to a client.
pub(crate) struct Reply {
    stream: TcpStream,
    state: Cell<ReplyState>,
    /// Whether the connection is closed after the answer.
    closes_connection: Cell<bool>,
    /// Whether it is closed unless another request was received behind this one.
    closes_if_last: Cell<bool>,
    /// Whether bytes were received behind the request.
    is_followed: Cell<bool>,
    status: Cell<u16>,
    is_chunked: Cell<bool>,
}

impl Reply {
    /// Creates an answer of which nothing has been written.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            state: Cell::new(ReplyState::Pending),
            closes_connection: Cell::new(false),
            closes_if_last: Cell::new(false),
            is_followed: Cell::new(false),
            status: Cell::new(0),
            is_chunked: Cell::new(false),
        }
    }

    pub(crate) fn state(&self) -> ReplyState {
        self.state.get()
    }

    pub(crate) fn status(&self) -> u16 {
        self.status.get()
    }

    /// Returns whether the connection can be used for another request.
    pub(crate) fn keeps_connection(&self) -> bool {
        self.state.get() == ReplyState::Complete && !self.closes_connection.get()
    }

    /// Closes the connection after the answer.
    pub(crate) fn close_after_answer(&self) {
        self.closes_connection.set(true);
    }

    /// Closes the connection after the answer unless another request is received behind this one before
    /// the answer begins. Without an answer, its client would not know whether that one runs.
    pub(crate) fn close_if_last(&self) {
        self.closes_if_last.set(true);
    }

    /// Records that bytes were received behind the request.
    pub(crate) fn expect_next_request(&self) {
        self.is_followed.set(true);
    }

    /// Writes an answer of the gateway itself, or breaks an answer that has already begun.
    pub(crate) async fn refuse(&self, refusal: &Refusal) {
        if self.state.get() != ReplyState::Pending {
            self.state.set(ReplyState::Broken);
            return;
        }
        let mut headers = Vec::with_capacity(1);
        if let Some(after) = refusal.retry_after {
            headers.push(Header {
                name: "Retry-After".to_owned(),
                value: format!("{:.3}", after.as_secs_f64()),
            });
        }
        self.write_whole(refusal.status, "", &headers, refusal.reason.as_bytes())
            .await;
    }

    /// Writes a complete answer without its hop-by-hop headers.
    pub(crate) async fn write_answer(
        &self,
        status: u16,
        reason: &str,
        headers: &[Header],
        body: &[u8],
    ) {
        let end_to_end = end_to_end_headers(headers);
        self.write_whole(status, reason, &end_to_end, body).await;
    }

    async fn write_whole(&self, status: u16, reason: &str, headers: &[Header], body: &[u8]) {
        let mut head = self.head(status, reason, headers);
        if status != 204 && status != 304 {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.state.set(ReplyState::Begun);
        match self.write(&bytes).await {
            Ok(()) => self.state.set(ReplyState::Complete),
            Err(_) => self.state.set(ReplyState::Broken),
        }
    }

    /// Writes the head of an answer with a chunked body.
    pub(crate) async fn start_chunked(
        &self,
        status: u16,
        reason: &str,
        headers: &[Header],
    ) -> io::Result<()> {
        let end_to_end = end_to_end_headers(headers);
        let mut head = self.head(status, reason, &end_to_end);
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        self.is_chunked.set(true);
        self.state.set(ReplyState::Begun);
        self.write(head.as_bytes()).await
    }

    /// Writes a chunk of the body; empty input is ignored, because an empty chunk ends the body.
    pub(crate) async fn write_chunk(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk).await
    }

    /// Writes the last chunk and completes the answer.
    pub(crate) async fn finish(&self) -> io::Result<()> {
        self.write(b"0\r\n\r\n").await?;
        self.state.set(ReplyState::Complete);
        Ok(())
    }

    /// Marks the answer as broken, so that the connection is closed.
    pub(crate) fn abort(&self) {
        self.state.set(ReplyState::Broken);
    }

    fn head(&self, status: u16, reason: &str, headers: &[Header]) -> String {
        self.status.set(status);
        if self.closes_if_last.get() && !self.is_followed.get() {
            self.closes_connection.set(true);
        }
        let reason = if reason.is_empty() {
            reason_phrase(status)
        } else {
            reason
        };
        let mut head = format!("HTTP/1.1 {status} {reason}\r\n");
        for header in headers {
            head.push_str(&header.name);
            head.push_str(": ");
            head.push_str(&header.value);
            head.push_str("\r\n");
        }
        if self.closes_connection.get() {
            head.push_str("Connection: close\r\n");
        }
        head
    }

    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream.clone();
        let written = stream.write_all(bytes).await;
        if written.is_err() {
            self.state.set(ReplyState::Broken);
        }
        written
    }
}

/// Returns the headers that are not hop-by-hop. `Content-Length` is excluded because the writer
/// sets it.
fn end_to_end_headers(headers: &[Header]) -> Vec<Header> {
    let connection_headers = connection_tokens(headers);
    let end_to_end = headers.iter().filter(|header| {
        !is_hop_header(&header.name, &connection_headers) && !header.is("content-length")
    });
    end_to_end.cloned().collect()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
