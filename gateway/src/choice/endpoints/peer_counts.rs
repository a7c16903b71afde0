//! Calls in flight at endpoints, as gateways report them to each other.

use super::{Endpoints, InstanceTag};
use std::time::{Duration, Instant};

/// Age at which a peer's counts expire; by then several of its reports are missing.
const PEER_COUNTS_TTL: Duration = Duration::from_millis(1_500);

/// Counts that one peer reported.
#[derive(Debug)]
pub(super) struct PeerCounts {
    calls: Vec<(InstanceTag, u32)>,
    pub(super) received_at: Instant,
}

impl Endpoints {
    /// Replaces the counts of a peer.
    pub(crate) fn set_peer_counts(
        &mut self,
        now: Instant,
        gateway: &str,
        calls: Vec<(InstanceTag, u32)>,
    ) {
        self.remove_peer_counts(gateway);
        for (tag, count) in &calls {
            *self.peer_calls.entry(*tag).or_default() += count;
        }
        let peer_counts = PeerCounts {
            calls,
            received_at: now,
        };
        self.peer_counts.insert(gateway.to_owned(), peer_counts);
    }

    /// Removes the counts of peers whose last report is older than [`PEER_COUNTS_TTL`].
    pub(crate) fn expire_peer_counts(&mut self, now: Instant) {
        let expired = self.peer_counts.iter().filter(|(_, peer_counts)| {
            now.saturating_duration_since(peer_counts.received_at) >= PEER_COUNTS_TTL
        });
        let expired: Vec<String> = expired.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in expired {
            self.remove_peer_counts(&gateway);
        }
    }

    fn remove_peer_counts(&mut self, gateway: &str) {
        let Some(previous) = self.peer_counts.remove(gateway) else {
            return;
        };
        for (tag, count) in previous.calls {
            if let Some(sum) = self.peer_calls.get_mut(&tag) {
                *sum -= count;
                if *sum == 0 {
                    self.peer_calls.remove(&tag);
                }
            }
        }
    }

    /// Returns the counts to report to peers by endpoint, without zeros: this gateway's calls in
    /// flight and, at an endpoint in back-off, as many more as the endpoint has slots.
    ///
    /// An endpoint that fails at once looks idle, and each of many gateways would send calls to it
    /// until it has seen failures of its own. A false report of one gateway makes the endpoint look
    /// busy, but keeps it in use.
    pub(crate) fn reported_counts(&self, now: Instant) -> Vec<(InstanceTag, u32)> {
        let counts = self.endpoints.values().map(|endpoint| {
            let failing = if endpoint.is_backing_off(now) {
                endpoint.record.slots.max(1)
            } else {
                0
            };
            (endpoint.tag, endpoint.local_calls() + failing)
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }
}
