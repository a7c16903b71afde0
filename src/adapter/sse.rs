//! Reading server-sent events.

use crate::adapter::http::{HttpBody, HttpError};

/// The longest line of an event stream, in bytes.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The data lines of an event stream, one by one.
///
/// Only `data:` lines are returned; comments, event names and ids are passed over.
#[derive(Debug)]
pub(crate) struct DataLines {
    body: HttpBody,
    /// Bytes read and not yet returned.
    buf: Vec<u8>,
    /// Where the unread part of `buf` begins.
    start: usize,
}

impl DataLines {
    /// Reads the body of an answer.
    pub(crate) fn new(body: HttpBody) -> Self {
        Self {
            body,
            buf: Vec::new(),
            start: 0,
        }
    }

    /// Waits for the next data line; `None` at the end. Dropping the future loses nothing.
    pub(crate) async fn next(&mut self) -> Result<Option<String>, HttpError> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(data) = data_of(&line)? {
                    return Ok(Some(data));
                }
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(HttpError::Failed("a line is too long".to_owned()));
            }
            if self.body.read_some(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Takes the next whole line out of the buffer.
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

/// Returns the data of a `data:` line.
fn data_of(line: &[u8]) -> Result<Option<String>, HttpError> {
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
