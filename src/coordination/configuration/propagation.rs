//! Passing the configuration on: to nodes that run a lower version, from nodes that run a higher.
//!
//! Each node has one entry that offers at once, by rendezvous hashing; the others wait and offer
//! only if it has not been done by then.

use crate::ids::{NodeId, Offset};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Wait of an entry for each entry before it in the node's ranking.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// First pause after a failed transfer; doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest pause after failed transfers.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Transfers under way at once.
const MAX_TRANSFERS: usize = 32;

/// A transfer to begin. Its end is told by [`Spread::on_done`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PropagationAction {
    /// Send the configuration.
    Offer(NodeId),
    /// Ask for the configuration.
    Fetch(NodeId),
}

/// What is known of another node.
#[derive(Clone, Copy, Debug)]
struct Peer {
    version: Offset,
    not_before: Instant,
    failures: u32,
    is_in_flight: bool,
}

/// Decides about transfers.
#[derive(Debug, Default)]
pub(crate) struct Propagation {
    version: Offset,
    peers: HashMap<NodeId, Peer>,
}

impl Propagation {
    /// Takes the own version. `rank` counts the entries before this one in a node's ranking.
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

    /// Takes the version that a node says it runs; a node that restarted may run a lower one.
    pub(crate) fn on_peer_version(&mut self, node: &str, version: Offset, now: Instant) {
        let peer = self.peers.entry(node.to_string()).or_insert(Peer {
            version,
            not_before: now,
            failures: 0,
            is_in_flight: false,
        });
        peer.version = version;
    }

    /// Forgets a node.
    pub(crate) fn on_peer_removed(&mut self, node: &str) {
        self.peers.remove(node);
    }

    /// Takes the end of a transfer: the version that the node runs now, if it answered.
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
                let doubled = MIN_RETRY_DELAY * 2u32.pow(peer.failures.clamp(1, 8) - 1);
                peer.not_before = now + doubled.min(MAX_RETRY_DELAY);
            }
        }
    }

    /// Returns the transfers that begin now.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<PropagationAction> {
        let busy = self.peers.values().filter(|peer| peer.is_in_flight).count();
        let mut room = MAX_TRANSFERS.saturating_sub(busy);
        let mut due = Vec::new();
        for (node, peer) in &mut self.peers {
            let differs = peer.version != self.version;
            if room == 0 || peer.is_in_flight || !differs || peer.not_before > now {
                continue;
            }
            peer.is_in_flight = true;
            room -= 1;
            due.push(if peer.version < self.version {
                PropagationAction::Offer(node.clone())
            } else {
                PropagationAction::Fetch(node.clone())
            });
        }
        due
    }

    /// Counts the nodes, of those that `of` takes, that run at least a version.
    pub(crate) fn count_at_version(&self, version: Offset, of: impl Fn(&str) -> bool) -> usize {
        let peers = self.peers.iter();
        peers
            .filter(|(node, peer)| peer.version >= version && of(node))
            .count()
    }
}
