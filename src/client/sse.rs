//! Parser of server-sent events.

use crate::http::{HttpBody, HttpError};
use crate::limits::{MAX_CALL_ANSWER_BYTES, MAX_EVENT_BYTES};
use std::collections::VecDeque;
use std::io;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SseEvent {
    /// The event name; empty if there is none.
    pub(super) name: String,
    /// The data lines, joined by line feeds.
    pub(super) data: String,
}

/// Incremental parser: takes bytes and returns events.
#[derive(Debug, Default)]
pub(super) struct SseParser {
    line: Vec<u8>,
    event: SseEvent,
    ready: VecDeque<SseEvent>,
    /// Bytes of the lines without data since the last event.
    ignored_bytes: usize,
}

impl SseParser {
    /// Parses more bytes; an event may be split anywhere.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for part in bytes.split_inclusive(|&byte| byte == b'\n') {
            self.line.extend_from_slice(part);
            let event_bytes = self.line.len() + self.event.data.len();
            if event_bytes as u64 > MAX_CALL_ANSWER_BYTES || self.ignored_bytes > MAX_EVENT_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "event too long"));
            }
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.parse_line(&line)?;
            }
        }
        Ok(())
    }

    /// Returns the next complete event.
    pub(super) fn next(&mut self) -> Option<SseEvent> {
        self.ready.pop_front()
    }

    fn parse_line(&mut self, line: &[u8]) -> io::Result<()> {
        let line = std::str::from_utf8(line)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?
            .trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            self.ignored_bytes += 1;
            self.finish_event();
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => self.add_data(value),
            _ => self.ignored_bytes += line.len() + 1,
        }
        Ok(())
    }

    fn add_data(&mut self, value: &str) {
        if !self.event.data.is_empty() {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
    }

    fn finish_event(&mut self) {
        let event = std::mem::take(&mut self.event);
        if event != SseEvent::default() {
            self.ignored_bytes = 0;
            self.ready.push_back(event);
        }
    }
}

/// Reads events from a response body.
#[derive(Debug)]
pub(super) struct SseReader {
    body: HttpBody,
    parser: SseParser,
    buf: Vec<u8>,
}

impl SseReader {
    pub(super) fn new(body: HttpBody) -> Self {
        Self {
            body,
            parser: SseParser::default(),
            buf: Vec::new(),
        }
    }

    /// Waits for the next event; `None` at the end of the body.
    pub(super) async fn next(&mut self) -> Result<Option<SseEvent>, HttpError> {
        loop {
            if let Some(event) = self.parser.next() {
                return Ok(Some(event));
            }
            self.buf.clear();
            if self.body.read_some(&mut self.buf).await? == 0 {
                return Ok(None);
            }
            let parsed = self.parser.feed(&self.buf);
            parsed.map_err(|error| HttpError::Failed(error.to_string()))?;
        }
    }
}
