//! Limits on what one exchange with a peer may cost, whatever the peer sends.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

/// Maximum total size of an answer's head and of the interim answers before it.
pub(crate) const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of an answer that is read as a whole before it is passed on.
pub(crate) const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of an answer of the store, or of a peer in its place. A page of newest records has at
/// most a megabyte before its encoding.
pub(crate) const MAX_STORE_ANSWER_BYTES: usize = 3 * 1024 * 1024;

/// Maximum number of bytes of a stream between two events with data.
pub(crate) const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Maximum total size of a stream.
pub(crate) const MAX_STREAM_BYTES: u64 = 4 * 1024 * 1024;

/// Number of events beyond the most tokens of a turn that are still passed on, for events without
/// tokens such as a closing one.
pub(crate) const MAX_EXTRA_EVENTS: u64 = 2;

/// Maximum size of the input of a turn that can be continued. Input and answer are one record.
pub(crate) const MAX_TURN_INPUT_BYTES: usize = 128 * 1024;

/// Maximum size of the input and the answer of a turn that can be continued.
pub(crate) const MAX_TURN_BYTES: usize = 192 * 1024;

/// Number of bytes that a task reads from a connection before other tasks and timers get their
/// turn.
pub(crate) const BYTES_PER_POLL: usize = 64 * 1024;

/// Fraction of the VM's memory that may be taken by messages that are being received.
const BUFFER_SHARE: u64 = 8;

/// Limit on these messages if the VM's memory is not known.
const DEFAULT_BUFFER_BYTES: u64 = 16 * 1024 * 1024;

/// Memory of the process that is taken by messages that are being received.
#[derive(Debug)]
pub(crate) struct BufferGauge {
    /// Sum over all buffers; at most `limit_bytes`.
    held_bytes: Cell<u64>,
    limit_bytes: u64,
}

impl BufferGauge {
    /// Creates a gauge for a VM with this much memory.
    pub(crate) fn new(memory_bytes: Option<u64>) -> Rc<Self> {
        let limit_bytes = memory_bytes.map_or(DEFAULT_BUFFER_BYTES, |bytes| bytes / BUFFER_SHARE);
        Rc::new(Self {
            held_bytes: Cell::new(0),
            limit_bytes,
        })
    }

    /// Returns an empty buffer's share of the gauge.
    pub(crate) fn buffer(self: &Rc<Self>) -> BufferShare {
        BufferShare {
            gauge: self.clone(),
            bytes: Cell::new(0),
        }
    }
}

/// Memory taken by one buffer. It is given back on drop.
pub(crate) struct BufferShare {
    gauge: Rc<BufferGauge>,
    bytes: Cell<u64>,
}

impl BufferShare {
    /// Sets the size of the buffer. Returns false if the process would hold too much, and then keeps
    /// the previous size.
    pub(crate) fn resize(&self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let others = self.gauge.held_bytes.get() - self.bytes.get();
        if bytes > self.bytes.get() && others + bytes > self.gauge.limit_bytes {
            return false;
        }
        self.gauge.held_bytes.set(others + bytes);
        self.bytes.set(bytes);
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}
