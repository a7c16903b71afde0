//! Splits a server-sent event stream into events.

#[cfg(test)]
mod tests;

use crate::serve::http::Framing;

/// Header in which a client or a gateway names the last event that it received.
pub(crate) const LAST_EVENT_ID: &str = "Last-Event-Id";

/// Id of an event; ids increase within a stream.
pub(crate) type EventId = u64;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: Vec<u8>,
    /// Position in `pending` from which to search for the end of the next event.
    scan_start: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event with its terminating empty line.
    pub(crate) fn next_event(&mut self) -> Option<Vec<u8>> {
        let from = self.scan_start;
        let found = (from..self.pending.len()).find_map(|at| event_end(&self.pending, at));
        let Some(end) = found else {
            // The end of the event may be split between these bytes and the next ones.
            self.scan_start = self.pending.len().saturating_sub(3);
            return None;
        };
        self.scan_start = 0;
        let rest = self.pending.split_off(end);
        Some(std::mem::replace(&mut self.pending, rest))
    }

    /// Checks whether a stream whose body has ended is complete; an error contains the reason why it
    /// is not.
    ///
    /// A body that ended as its framing requires is not enough: the endpoint may have stopped inside
    /// an event, and without a length or chunks a lost connection looks like the end.
    pub(crate) fn check_end(
        &self,
        framing: Framing,
        has_data_events: bool,
    ) -> Result<(), &'static str> {
        if !self.pending.iter().copied().all(is_line_end) {
            return Err("the stream ended inside an event");
        }
        if framing == Framing::UntilClose && !has_data_events {
            return Err("the connection ended before the first event");
        }
        Ok(())
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn rest(&self) -> &[u8] {
        &self.pending
    }
}

/// Returns the end of an event if the line that ends at `at` is followed by an empty line.
fn event_end(bytes: &[u8], at: usize) -> Option<usize> {
    let tail = &bytes[at..];
    if tail.starts_with(b"\n\n") || tail.starts_with(b"\r\r") {
        Some(at + 2)
    } else if tail.starts_with(b"\n\r\n") {
        Some(at + 3)
    } else {
        None
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the id of an event, if it has a numeric one.
pub(crate) fn event_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|byte| is_line_end(*byte));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns whether an event has data.
pub(crate) fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| is_line_end(*byte));
    lines.any(|line| line.starts_with(b"data:"))
}

/// Appends the data of an event and a line feed to a turn's text; returns whether it had any data.
pub(crate) fn append_data(event: &[u8], text: &mut Vec<u8>) -> bool {
    let lines = event.split(|byte| is_line_end(*byte));
    let data = lines.filter_map(|line| {
        let value = line.strip_prefix(b"data:")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    });
    let mut has_data = false;
    for value in data {
        if has_data {
            text.push(b'\n');
        }
        text.extend_from_slice(value);
        has_data = true;
    }
    if has_data {
        text.push(b'\n');
    }
    has_data
}
