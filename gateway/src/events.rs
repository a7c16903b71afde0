//! Event log in JSON lines on standard output, written from a bounded buffer by a separate task.
//!
//! If the buffer is full, new lines are dropped and counted, so requests never wait for the log.

#[cfg(test)]
mod tests;

use futures_lite::AsyncWriteExt;
use smallvec::SmallVec;
use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum size of the buffer; enough for several seconds at the usual rate of events.
const BUFFER_BYTES: usize = 256 * 1024;

/// Interval between writes, so that a busy process writes many lines at once.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
}

thread_local! {
    static BUFFER: RefCell<Buffer> = RefCell::default();
}

/// Logs an event with its fields.
#[macro_export]
macro_rules! event {
    ($name:expr $(, $field:literal => $value:expr)* $(,)?) => {
        $crate::events::push($name, &[$(($field, $crate::events::Value::from($value))),*])
    };
}

/// Value of a field.
pub(crate) enum Value<'a> {
    /// A text that the caller keeps.
    Text(&'a str),
    /// A text made for this event.
    OwnedText(String),
    Number(u64),
    Flag(bool),
}

impl Value<'_> {
    fn write_json(&self, line: &mut Vec<u8>) {
        let written = match self {
            Self::Text(text) => serde_json::to_writer(line, text),
            Self::OwnedText(text) => serde_json::to_writer(line, text),
            Self::Number(number) => serde_json::to_writer(line, number),
            Self::Flag(flag) => serde_json::to_writer(line, flag),
        };
        written.expect("texts and numbers can be written to a buffer");
    }
}

impl<'a> From<&'a str> for Value<'a> {
    fn from(text: &'a str) -> Self {
        Self::Text(text)
    }
}

impl From<String> for Value<'_> {
    fn from(text: String) -> Self {
        Self::OwnedText(text)
    }
}

impl From<bool> for Value<'_> {
    fn from(flag: bool) -> Self {
        Self::Flag(flag)
    }
}

macro_rules! value_from_number {
    ($($kind:ty),*) => {
        $(impl From<$kind> for Value<'_> {
            fn from(number: $kind) -> Self {
                Self::Number(u64::try_from(number).unwrap_or(u64::MAX))
            }
        })*
    };
}

value_from_number!(u16, u32, u64, u128, usize);

/// Returns the time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as u64)
}

/// Adds an event to the buffer, or counts it as dropped if the buffer is full.
pub(crate) fn push(name: &str, fields: &[(&str, Value<'_>)]) {
    BUFFER.with_borrow_mut(|buffer| {
        let start = buffer.lines.len();
        write_line(unix_ms(), name, fields, &mut buffer.lines);
        if buffer.lines.len() > BUFFER_BYTES {
            buffer.lines.truncate(start);
            buffer.dropped += 1;
            return;
        }
        buffer.lines.push(b'\n');
    });
}

/// Appends an event as a JSON object with its fields in alphabetical order.
fn write_line(unix_ms: u64, name: &str, fields: &[(&str, Value<'_>)], line: &mut Vec<u8>) {
    let header = [
        ("event", Value::Text(name)),
        ("unix_ms", Value::Number(unix_ms)),
    ];
    let mut sorted: SmallVec<[&(&str, Value<'_>); 24]> = header.iter().chain(fields).collect();
    sorted.sort_unstable_by_key(|(field, _)| *field);
    let mut separator = b'{';
    for (field, value) in sorted {
        line.push(separator);
        Value::Text(field).write_json(line);
        line.push(b':');
        value.write_json(line);
        separator = b',';
    }
    line.push(b'}');
}

/// Writes buffered lines until standard output is closed.
pub(crate) async fn write_lines() {
    let mut output = smol::Unblock::new(std::io::stdout());
    let mut last_write = Instant::now();
    loop {
        let lines = take_buffer();
        if !lines.is_empty() {
            let written = output.write_all(&lines).await;
            if written.is_err() || output.flush().await.is_err() {
                return;
            }
        }
        last_write += WRITE_INTERVAL;
        smol::Timer::at(last_write.max(Instant::now() + WRITE_INTERVAL / 2)).await;
    }
}

/// Writes the remaining lines at the end of the process.
pub(crate) fn flush_now() {
    use std::io::Write;
    let mut output = std::io::stdout().lock();
    // A failure cannot be reported anywhere at this point.
    let _ = output
        .write_all(&take_buffer())
        .and_then(|()| output.flush());
}

fn take_buffer() -> Vec<u8> {
    BUFFER.with_borrow_mut(|buffer| {
        let mut lines = std::mem::take(&mut buffer.lines);
        let dropped = std::mem::take(&mut buffer.dropped);
        if dropped > 0 {
            lines.extend_from_slice(
                format!("{{\"event\":\"lines_dropped\",\"count\":{dropped}}}\n").as_bytes(),
            );
        }
        lines
    })
}
