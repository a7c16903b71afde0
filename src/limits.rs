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

/// Maximum size of the answer of one call, as a whole or as the last event of a stream. The text of an
/// endpoint's answer is escaped in it.
pub(crate) const MAX_CALL_ANSWER_BYTES: u64 = 2 * MAX_ANSWER_BYTES + MAX_ANSWER_HEAD_BYTES;

/// Number of events beyond the most tokens of a generation that are still read, for events without
/// tokens such as a closing one.
pub(crate) const MAX_EXTRA_EVENTS: u64 = 8;

/// Maximum number of runs of one call whose tokens an entry sends to a caller.
pub(crate) const MAX_STREAMED_RUNS: u64 = 16;

/// Maximum number of bytes that are read until the other end of a link has proved that it belongs to
/// the deployment. The messages of the handshake have some 1 KiB; the rest is for what is read ahead.
pub(crate) const MAX_HANDSHAKE_BYTES: u64 = 256 << 10;
