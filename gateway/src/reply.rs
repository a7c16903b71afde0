//! The answer to one request of a client.

use crate::http::{Header, connection_tokens, is_hop_header};
use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::time::Duration;

/// An answer of the gateway's own, in place of an endpoint's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// HTTP status; 408, 421, 429 and 503 promise that the request has not run and never will.
    pub(crate) status: u16,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
    /// Why, in a few words.
    pub(crate) reason: &'static str,
}

impl Refusal {
    /// A refusal that says nothing of when to come back.
    pub(crate) const fn new(status: u16, reason: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            reason,
        }
    }

    /// The request has not run; it may be sent again after a while.
    pub(crate) const fn retry_later(after: Duration, reason: &'static str) -> Self {
        Self {
            status: 503,
            retry_after: Some(after),
            reason,
        }
    }
}

/// How far an answer has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ReplyState {
    /// Nothing has been written.
    Pending,
    /// Its head has been written, its body not whole.
    Begun,
    /// It is whole.
    Complete,
    /// It can't be completed; the connection must be closed.
    Broken,
}

/// Writes one answer to a client.
pub(crate) struct Reply {
    stream: TcpStream,
    state: Cell<ReplyState>,
    /// Whether the connection is closed after the answer.
    closes_connection: Cell<bool>,
    status: Cell<u16>,
    is_chunked: Cell<bool>,
}

impl Reply {
    /// Makes an answer that has not begun.
    pub(crate) fn new(stream: TcpStream, closes_connection: bool) -> Self {
        Self {
            stream,
            state: Cell::new(ReplyState::Pending),
            closes_connection: Cell::new(closes_connection),
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

    /// Whether the connection can take another request.
    pub(crate) fn keeps_connection(&self) -> bool {
        self.state.get() == ReplyState::Complete && !self.closes_connection.get()
    }

    /// Lets the connection be closed after the answer.
    pub(crate) fn close_after_answer(&self) {
        self.closes_connection.set(true);
    }

    /// Gives an answer of the gateway's own.
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

    /// Passes on a whole answer of an endpoint.
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

    /// Begins an answer whose body comes in parts.
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

    /// Writes a part of the body.
    pub(crate) async fn write_chunk(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk).await
    }

    /// Ends the body.
    pub(crate) async fn finish(&self) -> io::Result<()> {
        self.write(b"0\r\n\r\n").await?;
        self.state.set(ReplyState::Complete);
        Ok(())
    }

    /// Gives up an answer that has begun.
    pub(crate) fn abort(&self) {
        self.state.set(ReplyState::Broken);
    }

    fn head(&self, status: u16, reason: &str, headers: &[Header]) -> String {
        self.status.set(status);
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

/// Headers of an answer that concern more than one connection; its length is set anew.
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
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
