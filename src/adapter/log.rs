//! HTTP client for the log service.

use crate::http::{HttpClient, HttpRequest, HttpResponse, retry_after};
use crate::ids::Offset;
use crate::limits::{MAX_LOG_ANSWER_BYTES, MAX_LOG_RECORD_BYTES};
use crate::protocol::log::{Log, LogError, LogPage, LogRecord, ReadLimit};
use serde::Deserialize;
use serde_bytes::ByteBuf;
use std::time::Duration;
use trillium_client::Method;

/// Retry time of a throttled append for which the log gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// HTTP client of the log service. `docs/LOG.md` describes the protocol.
#[derive(Clone, Debug)]
pub struct HttpLog {
    http: HttpClient,
}

impl HttpLog {
    /// Creates a client for a base URL such as `http://127.0.0.1:80`.
    ///
    /// `timeout` limits an append. For a read it is added to the time for which the read waits.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::with_max_answer_bytes(base, timeout, MAX_LOG_ANSWER_BYTES),
        }
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, data: Vec<u8>) -> Result<Offset, LogError> {
        let target = stream_path(stream)?;
        let request = HttpRequest::new(Method::Post, target).bytes(data);
        let response = self.http.send(request).await.map_err(unavailable)?;
        if response.status != 200 {
            return Err(response_error(&response));
        }
        let appended: AppendResponse =
            serde_json::from_slice(&response.body).map_err(unavailable)?;
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
            stream_path(stream)?,
            limit.max_bytes,
            limit.wait.as_millis()
        );
        let request = HttpRequest::new(Method::Get, target)
            .with_max_answer_bytes(limit.max_bytes as u64 + MAX_LOG_RECORD_BYTES);
        let response = self
            .http
            .send_with_extra_time(request, limit.wait)
            .await
            .map_err(unavailable)?;
        if response.status != 200 {
            return Err(response_error(&response));
        }
        let page: PageBody =
            ciborium::from_reader(response.body.as_slice()).map_err(unavailable)?;
        check_page(page, from)
    }
}

/// The response to an append.
#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

/// The response to a read.
#[derive(Deserialize)]
struct PageBody {
    first: Offset,
    next: Offset,
    records: Vec<RecordBody>,
}

/// A record of a page.
#[derive(Deserialize)]
struct RecordBody {
    offset: Offset,
    at_ms: u64,
    data: ByteBuf,
}

/// The body of an error response.
#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    retry_after_ms: Option<u64>,
    first: Option<Offset>,
    message: String,
}

/// Returns the URL path of a stream; an error if its name needs escaping.
fn stream_path(stream: &str) -> Result<String, LogError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '/');
    if stream.is_empty() || !stream.chars().all(allowed) {
        return Err(unavailable("the stream's name has other characters"));
    }
    Ok(format!("/v1/streams/{stream}"))
}

/// Converts a page, or returns an error unless its offsets increase and lie between `from` and the
/// next offset.
fn check_page(page: PageBody, from: Offset) -> Result<LogPage, LogError> {
    let mut min_offset = from;
    for item in &page.records {
        if item.offset < min_offset || item.offset >= page.next {
            return Err(unavailable("a page's offsets are not in order"));
        }
        min_offset = item.offset + 1;
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

/// Converts an unsuccessful response into an error.
fn response_error(response: &HttpResponse) -> LogError {
    let error: ErrorBody = serde_json::from_slice(&response.body).unwrap_or_default();
    match (response.status, error.first) {
        (429, _) => LogError::Throttled {
            retry_after: error
                .retry_after_ms
                .map_or(DEFAULT_RETRY_AFTER, retry_after),
        },
        (410, Some(first)) => LogError::Trimmed { first },
        (status, _) => unavailable(format!("status {status} {}", error.message)),
    }
}

/// Returns the error for a log that gave no response or an invalid one.
fn unavailable(reason: impl ToString) -> LogError {
    LogError::Unavailable(reason.to_string())
}
