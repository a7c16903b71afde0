//! Limits on what one exchange with another process may cost, whatever that process sends.
//!
//! The request bounds an answer first: by its timeout, the most tokens of a generation, and the size of
//! a read of the log.

mod stream;

pub(crate) use stream::{LimitedStream, limit_exceeded};

/// Maximum total size of an answer's head and of the interim answers before it; also of the lines after
/// its last chunk.
pub(crate) const MAX_ANSWER_HEAD_BYTES: u64 = 64 << 10;

/// Maximum size of an answer of an endpoint or of the platform, with its framing.
pub(crate) const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Maximum size of a cache that an engine exports.
pub(crate) const MAX_CACHE_BYTES: u64 = 256 << 20;

/// Largest value of the setting for the size of a caller's request.
pub(crate) const MAX_REQUEST_BYTES: u64 = 8 << 20;

/// Maximum size of a record of the log, which holds at most one large turn: its input and its answer.
/// A page contains at least one record, however large.
pub(crate) const MAX_LOG_RECORD_BYTES: u64 = MAX_REQUEST_BYTES + MAX_ANSWER_BYTES + (1 << 20);

/// Maximum size of an answer of the log.
pub(crate) const MAX_LOG_ANSWER_BYTES: u64 = 20 << 20;

/// Maximum number of bytes of a stream that carry no event. An engine's events are not larger either.
pub(crate) const MAX_EVENT_BYTES: usize = 64 << 10;

/// Number of bytes that a task reads from a connection before other tasks and timers get their turn.
pub(crate) const BYTES_PER_TURN: usize = 64 << 10;

/// Maximum size of an answer of an entry to a caller or an operator.
pub(crate) const MAX_ENTRY_ANSWER_BYTES: u64 = 32 << 20;
