//! The log over HTTP.

use crate::adapter::http::{HttpAnswer, HttpClient, HttpRequest, retry_after};
use crate::ids::Offset;
use crate::protocol::log::{Log, LogError, LogPage, LogRecord, ReadLimit};
use serde::Deserialize;
use serde_bytes::ByteBuf;
use std::time::Duration;
use trillium_client::Method;

/// When to try again if the log does not say it.
const DEFAULT_RETRY: Duration = Duration::from_millis(100);

/// A client of the log service. See `docs/LOG.md` for the protocol.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: HttpClient,
}

impl HttpLog {
    /// Makes a client for a base URL such as `http://127.0.0.1:80`.
    ///
    /// `timeout` is for an append, and for a read beyond the time that the read asks to wait.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(base, timeout),
        }
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, data: Vec<u8>) -> Result<Offset, LogError> {
        let target = target_of(stream)?;
        let request = HttpRequest::new(Method::Post, target).bytes(data);
        let answer = self.http.send(request).await.map_err(unavailable)?;
        if answer.status != 200 {
            return Err(refusal(&answer));
        }
        let appended: Appended = serde_json::from_slice(&answer.body).map_err(unavailable)?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: ReadLimit,
    ) -> Result<LogPage, LogError> {
        let target = format!(
            "{}?from={from}&max_bytes={}&wait_ms={}",
            target_of(stream)?,
            limit.max_bytes,
            limit.wait.as_millis()
        );
        let request = HttpRequest::new(Method::Get, target);
        let answer = self
            .http
            .send_waiting(request, limit.wait)
            .await
            .map_err(unavailable)?;
        if answer.status != 200 {
            return Err(refusal(&answer));
        }
        let page: Page = ciborium::from_reader(answer.body.as_slice()).map_err(unavailable)?;
        check_page(page, from)
    }
}

/// The answer to an append.
#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

/// The answer to a read.
#[derive(Deserialize)]
struct Page {
    first: Offset,
    next: Offset,
    records: Vec<Item>,
}

/// One record of a page.
#[derive(Deserialize)]
struct Item {
    offset: Offset,
    at_ms: u64,
    data: ByteBuf,
}

/// The body of a refusal.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Refused {
    retry_after_ms: Option<u64>,
    first: Option<Offset>,
    message: String,
}

/// Returns the path of a stream.
fn target_of(stream: &str) -> Result<String, LogError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '/');
    if stream.is_empty() || !stream.chars().all(allowed) {
        return Err(unavailable("the stream's name has other characters"));
    }
    Ok(format!("/v1/streams/{stream}"))
}

/// Turns a page into the interface's type, if its offsets grow and begin where they should.
fn check_page(page: Page, from: Offset) -> Result<LogPage, LogError> {
    let mut least = from;
    for item in &page.records {
        if item.offset < least || item.offset >= page.next {
            return Err(unavailable("a page's offsets are not in order"));
        }
        least = item.offset + 1;
    }
    let records = page
        .records
        .into_iter()
        .map(|item| LogRecord {
            offset: item.offset,
            at_ms: item.at_ms,
            data: item.data.into_vec(),
        })
        .collect();
    Ok(LogPage {
        records,
        first: page.first,
        next: page.next,
    })
}

/// Turns an answer that is no success into an error.
fn refusal(answer: &HttpAnswer) -> LogError {
    let refused: Refused = serde_json::from_slice(&answer.body).unwrap_or_default();
    match (answer.status, refused.first) {
        (429, _) => LogError::Throttled {
            retry_after: refused.retry_after_ms.map_or(DEFAULT_RETRY, retry_after),
        },
        (410, Some(first)) => LogError::Trimmed { first },
        (status, _) => unavailable(format!("status {status} {}", refused.message)),
    }
}

/// Makes the error of a log that did not answer as it should.
fn unavailable(why: impl ToString) -> LogError {
    LogError::Unavailable(why.to_string())
}
