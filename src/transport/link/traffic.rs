//! Counts what a node's links carry.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of the mask that a message of a dialling end carries.
const MASK_BYTES: u64 = 4;

/// Bytes on the links of a node, frames included, without the headers of TCP and IP.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    /// Counts a message; also that of an accepting end with a mask, which it does not have.
    pub(super) fn add_sent(&self, payload: usize) {
        let bytes = framed(payload) + MASK_BYTES;
        self.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("galenapick_link_sent_bytes").increment(bytes);
    }

    /// Counts a message.
    pub(super) fn add_received(&self, payload: usize) {
        let bytes = framed(payload);
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        metrics::counter!("galenapick_link_received_bytes").increment(bytes);
    }

    /// Returns the bytes sent and received so far.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        let sent = self.sent_bytes.load(Ordering::Relaxed);
        (sent, self.received_bytes.load(Ordering::Relaxed))
    }
}

/// Returns the size of a WebSocket message on the wire, without a mask.
fn framed(payload: usize) -> u64 {
    let header = match payload {
        0..126 => 2,
        126..=0xffff => 4,
        _ => 10,
    };
    (payload + header) as u64
}
