//! Parser of server-sent events.

use futures_lite::{AsyncRead, AsyncReadExt};
use std::collections::VecDeque;
use std::io;

/// Size of the read buffer.
const READ_BYTES: usize = 16 << 10;

/// Largest size of a line and the data of its event together.
const MAX_EVENT_BYTES: usize = 64 << 20;

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
}

impl SseParser {
    /// Parses more bytes; an event may be split anywhere.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> io::Result<()> {
        for part in bytes.split_inclusive(|&byte| byte == b'\n') {
            self.line.extend_from_slice(part);
            if self.line.len() + self.event.data.len() > MAX_EVENT_BYTES {
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
            self.finish_event();
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => self.add_data(value),
            _ => {}
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
            self.ready.push_back(event);
        }
    }
}

/// Reads events from a response body.
#[derive(Debug)]
pub(super) struct SseReader<R> {
    body: R,
    parser: SseParser,
    buf: Vec<u8>,
}

impl<R: AsyncRead + Unpin> SseReader<R> {
    pub(super) fn new(body: R) -> Self {
        Self {
            body,
            parser: SseParser::default(),
            buf: vec![0; READ_BYTES],
        }
    }

    /// Waits for the next event; `None` at the end of the body.
    pub(super) async fn next(&mut self) -> io::Result<Option<SseEvent>> {
        loop {
            if let Some(event) = self.parser.next() {
                return Ok(Some(event));
            }
            let len = self.body.read(&mut self.buf).await?;
            if len == 0 {
                return Ok(None);
            }
            self.parser.feed(&self.buf[..len])?;
        }
    }
}
