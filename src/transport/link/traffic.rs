//! Byte counters of a node's links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Size of the mask in a WebSocket message from the dialling end.
const MASK_BYTES: u64 = 4;

/// Bytes sent and received on all links of a node, with WebSocket framing and without TCP and IP
/// headers.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    /// Counts a sent message. Adds the mask at both ends, although an accepting end sends none.
    pub(super) fn count_sent(&self, payload: usize) {
        let bytes = framed_bytes(payload) + MASK_BYTES;
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("galenapick_link_sent_bytes").increment(bytes);
    }

    /// Counts a received message.
    pub(super) fn count_received(&self, payload: usize) {
        let bytes = framed_bytes(payload);
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("galenapick_link_received_bytes").increment(bytes);
    }

    /// Returns the bytes sent and received so far.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        let sent = self.sent_bytes.load(Ordering::Relaxed);
        (sent, self.received_bytes.load(Ordering::Relaxed))
    }
}

/// Returns the size in bytes of an unmasked WebSocket message with its frame header.
fn framed_bytes(payload: usize) -> u64 {
    let header = match payload {
        0..126 => 2,
        126..=0xffff => 4,
        _ => 10,
    };
    (payload + header) as u64
}
