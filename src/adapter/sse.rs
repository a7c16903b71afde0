//! Reader for the data lines of server-sent events.

use crate::http::{HttpBody, HttpError};
use crate::limits::MAX_EVENT_BYTES;

/// Reads the `data:` lines of an event stream. Comments, event names and ids are skipped.
#[derive(Debug)]
pub(crate) struct DataLines {
    body: HttpBody,
    /// Bytes read and not yet returned.
    buf: Vec<u8>,
    /// Start of the unread part of `buf`.
    start: usize,
    /// Bytes of the lines that were skipped since the last data line.
    skipped_bytes: usize,
}

impl DataLines {
    /// Creates a reader for the body of a response.
    pub(crate) fn new(body: HttpBody) -> Self {
        Self {
            body,
            buf: Vec::new(),
            start: 0,
            skipped_bytes: 0,
        }
    }

    /// Returns the data of the next `data:` line; `None` at the end of the stream. The method is
    /// cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<Option<String>, HttpError> {
        loop {
            while let Some(line) = self.take_line() {
                self.skipped_bytes += line.len() + 1;
                if let Some(data) = parse_data(&line)? {
                    self.skipped_bytes = 0;
                    return Ok(Some(data));
                }
            }
            if self.skipped_bytes + self.buf.len() > MAX_EVENT_BYTES {
                return Err(HttpError::Failed("an event is too long".to_owned()));
            }
            if self.body.read_some(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Removes the next complete line from the buffer and returns it without its line feed.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let rest = &self.buf[self.start..];
        let Some(length) = rest.iter().position(|&byte| byte == b'\n') else {
            self.buf.drain(..self.start);
            self.start = 0;
            return None;
        };
        let line = rest[..length].to_vec();
        self.start += length + 1;
        Some(line)
    }
}

/// Returns the data of a `data:` line; `None` for another line.
fn parse_data(line: &[u8]) -> Result<Option<String>, HttpError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    let data = data.strip_prefix(b" ").unwrap_or(data);
    match std::str::from_utf8(data) {
        Ok(data) => Ok(Some(data.to_owned())),
        Err(_) => Err(HttpError::Failed("an event is not text".to_owned())),
    }
}
