//! The platform's append-only log, as this system needs it.

use crate::ids::Offset;
use std::fmt;
use std::future::Future;
use std::time::Duration;

/// Why the log did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// No answer, or a failure. An append may have taken effect or may yet take effect.
    Unavailable(String),
    /// Over the append rate; nothing was appended.
    Throttled {
        /// When to try again.
        retry_after: Duration,
    },
    /// The offset asked for is no longer kept.
    Trimmed {
        /// The first offset that is kept.
        first: Offset,
    },
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "log unavailable: {why}"),
            Self::Throttled { retry_after } => write!(f, "log throttled for {retry_after:?}"),
            Self::Trimmed { first } => write!(f, "log trimmed before offset {first}"),
        }
    }
}

impl std::error::Error for LogError {}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Its position; offsets in a stream grow, and may have gaps.
    pub offset: Offset,
    /// When the log took it, in Unix milliseconds by the log's clock.
    pub at_ms: u64,
    /// What was appended.
    pub data: Vec<u8>,
}

/// Part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Records in order, from the offset asked for.
    pub records: Vec<LogRecord>,
    /// The first offset that the stream still keeps.
    pub first: Offset,
    /// The offset that the next append will get, at the least.
    pub next: Offset,
}

/// How much a read returns and how long it waits for a first record.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimit {
    /// Stop after so many bytes of data; at least one record is returned.
    pub max_bytes: usize,
    /// Wait so long for a first record; zero answers at once.
    pub wait: Duration,
}

impl Default for ReadLimit {
    fn default() -> Self {
        Self {
            max_bytes: 1 << 20,
            wait: Duration::ZERO,
        }
    }
}

/// An append-only log with named streams.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// After [`LogError::Unavailable`] the record may stand in the stream, also later.
    fn append(
        &self,
        stream: &str,
        data: Vec<u8>,
    ) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads records from offset `from` on.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: ReadLimit,
    ) -> impl Future<Output = Result<LogPage, LogError>> + Send;
}
