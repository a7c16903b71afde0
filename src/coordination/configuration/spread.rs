//! Propagation of the configuration: it is offered to peers that run a lower version and fetched
//! from peers that run a higher one.
//!
//! Rendezvous hashing ranks the entries for each node. The first offers the configuration at once;
//! the others wait and offer it only if the node still needs it.

use crate::ids::{NodeId, Offset};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Delay of an entry's offer per entry that ranks before it.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// Delay after the first failed transfer; doubled by each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay after failed transfers.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of concurrent transfers.
const MAX_TRANSFERS: usize = 32;

/// A transfer to start. Its end must be reported to [`Propagation::on_transfer_done`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PropagationAction {
    /// Send the configuration to this node.
    Offer(NodeId),
    /// Request the configuration from this node.
    Fetch(NodeId),
}

/// State of a peer, which is any other node: an entry or a sidecar.
#[derive(Clone, Copy, Debug)]
struct Peer {
    version: Offset,
    not_before: Instant,
    failures: u32,
    is_in_flight: bool,
}

/// Decides which transfers to start.
#[derive(Debug, Default)]
pub(crate) struct Propagation {
    version: Offset,
    peers: HashMap<NodeId, Peer>,
}

impl Propagation {
    /// Sets this node's version. `rank` returns the number of entries that rank before this one for
    /// a node.
    pub(crate) fn on_version(&mut self, version: Offset, now: Instant, rank: impl Fn(&str) -> u32) {
        if version <= self.version {
            return;
        }
        self.version = version;
        for (node, peer) in &mut self.peers {
            peer.failures = 0;
            peer.not_before = now + RANK_DELAY * rank(node);
        }
    }

    /// Sets the version that a node reports. A node that restarted may report a lower one than
    /// before.
    pub(crate) fn on_peer_version(&mut self, node: &str, version: Offset, now: Instant) {
        let peer = self.peers.entry(node.to_string()).or_insert(Peer {
            version,
            not_before: now,
            failures: 0,
            is_in_flight: false,
        });
        peer.version = version;
    }

    /// Returns the highest version of a peer; 0 if there is none.
    pub(crate) fn newest_peer_version(&self) -> Offset {
        let versions = self.peers.values().map(|peer| peer.version);
        versions.max().unwrap_or(0)
    }

    /// Removes a node.
    pub(crate) fn on_peer_removed(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Handles the end of a transfer. `version` is the node's version now, or `None` if it did not
    /// answer.
    pub(crate) fn on_transfer_done(&mut self, node: &str, version: Option<Offset>, now: Instant) {
        let Some(peer) = self.peers.get_mut(node) else {
            return;
        };
        peer.is_in_flight = false;
        match version {
            Some(version) => {
                peer.version = version;
                peer.failures = 0;
            }
            None => {
                peer.failures = peer.failures.saturating_add(1);
                let delay = MIN_RETRY_DELAY * 2u32.pow(peer.failures.clamp(1, 8) - 1);
                peer.not_before = now + delay.min(MAX_RETRY_DELAY);
            }
        }
    }

    /// Returns the transfers to start now.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<PropagationAction> {
        let in_flight = self.peers.values().filter(|peer| peer.is_in_flight).count();
        let mut free_transfers = MAX_TRANSFERS.saturating_sub(in_flight);
        let mut transfers = Vec::new();
        for (node, peer) in &mut self.peers {
            let is_different = peer.version != self.version;
            if free_transfers == 0 || peer.is_in_flight || !is_different || peer.not_before > now {
                continue;
            }
            peer.is_in_flight = true;
            free_transfers -= 1;
            transfers.push(if peer.version < self.version {
                PropagationAction::Offer(node.clone())
            } else {
                PropagationAction::Fetch(node.clone())
            });
        }
        transfers
    }

    /// Counts the nodes accepted by `filter` that run at least the given version.
    pub(crate) fn count_at_version(&self, version: Offset, filter: impl Fn(&str) -> bool) -> usize {
        let peers = self.peers.iter();
        peers
            .filter(|(node, peer)| peer.version >= version && filter(node))
            .count()
    }
}
