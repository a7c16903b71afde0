//! Event log in JSON lines on standard output, written from a bounded buffer by a separate task.
//!
//! If the buffer is full, new lines are dropped and counted, so requests never wait for the log.

use futures_lite::AsyncWriteExt;
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

pub(crate) use serde_json::Value as JsonValue;

/// Value of a field.
pub(crate) struct Value(JsonValue);

macro_rules! value_from {
    ($($kind:ty),*) => {
        $(impl From<$kind> for Value {
            fn from(value: $kind) -> Self {
                Self(JsonValue::from(value))
            }
        })*
    };
}

value_from!(&str, String, u16, u32, u64, usize, bool);

impl From<u128> for Value {
    fn from(value: u128) -> Self {
        Self(JsonValue::from(u64::try_from(value).unwrap_or(u64::MAX)))
    }
}

/// Returns the time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as u64)
}

/// Adds an event to the buffer, or counts it as dropped if the buffer is full.
pub(crate) fn push(name: &str, fields: &[(&str, Value)]) {
    let unix_ms = unix_ms();
    let mut line = serde_json::Map::with_capacity(fields.len() + 2);
    line.insert("unix_ms".to_owned(), unix_ms.into());
    line.insert("event".to_owned(), name.into());
    for (field, value) in fields {
        line.insert((*field).to_owned(), value.0.clone());
    }
    let text = JsonValue::Object(line).to_string();
    BUFFER.with_borrow_mut(|buffer| {
        if buffer.lines.len() + text.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        buffer.lines.extend_from_slice(text.as_bytes());
        buffer.lines.push(b'\n');
    });
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
