//! Interface to the platform's append-only log.

use crate::ids::Offset;
use std::fmt;
use std::future::Future;
use std::time::Duration;

/// Reason for a failed log operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogError {
    /// No answer, or an internal failure. An append may have taken effect or may still do so.
    Unavailable(String),
    /// The append rate was exceeded, and nothing was appended.
    Throttled {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The requested offset has been trimmed.
    Trimmed {
        /// The first offset that is still stored.
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
    /// Its position. Offsets in a stream increase and may have gaps.
    pub offset: Offset,
    /// Time of the append, in Unix milliseconds by the log's clock.
    pub at_ms: u64,
    /// The appended bytes.
    pub data: Vec<u8>,
}

/// A contiguous part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Records in order, starting at the requested offset.
    pub records: Vec<LogRecord>,
    /// The first offset that the stream still stores.
    pub first: Offset,
    /// Lower bound for the offset of the next append.
    pub next: Offset,
}

/// Limits on the size and the wait time of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimit {
    /// Maximum number of data bytes, except that at least one record is returned if one exists.
    pub max_bytes: usize,
    /// Maximum wait for the first record. With zero, the read returns immediately.
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
    /// After [`LogError::Unavailable`] the record may be in the stream or may appear there later.
    fn append(
        &self,
        stream: &str,
        data: Vec<u8>,
    ) -> impl Future<Output = Result<Offset, LogError>> + Send;

    /// Reads records starting at offset `from`.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: ReadLimit,
    ) -> impl Future<Output = Result<LogPage, LogError>> + Send;
}
