//! Which gateway serves a partition of the turns.
//!
//! Ownership is only a saving: one reader and one writer a partition, where each gateway would
//! have to read all records. Gateways that disagree on the owner both write, and the partition's
//! order decides; so ownership needs no agreement, and nobody waits for it to pass on.

#[cfg(test)]
mod tests;

use crate::dialect::{Dialect, PartitionNumber};
use crate::node::Gateway;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Instant;

/// A gateway that may serve a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) name: String,
    /// Where it is asked; `None` for this gateway.
    pub(crate) address: Option<SocketAddr>,
    /// Whether it has loaded its partitions.
    pub(crate) has_loaded: bool,
}

/// Chooses the owner of a partition: each gateway has a rank there that all compute alike, so that
/// only the partitions of a gateway that comes or goes change hands.
pub(crate) fn choose(partition: PartitionNumber, candidates: &[Candidate]) -> Option<&Candidate> {
    candidates
        .iter()
        .max_by_key(|candidate| rank(partition, &candidate.name))
}

fn rank(partition: PartitionNumber, name: &str) -> u64 {
    // The hasher has fixed keys: all gateways of a version agree.
    let mut hasher = DefaultHasher::new();
    (partition, name).hash(&mut hasher);
    hasher.finish()
}

impl<D: Dialect> Gateway<D> {
    /// Returns where a partition is asked; `None` if it is served here.
    pub(crate) fn owner_of(&self, partition: PartitionNumber) -> Option<SocketAddr> {
        let mut candidates = self.candidates();
        if candidates.iter().any(|candidate| candidate.has_loaded) {
            candidates.retain(|candidate| candidate.has_loaded);
        }
        choose(partition, &candidates)?.address
    }

    /// Tells whether this gateway should have a partition loaded.
    pub(crate) fn owns(&self, partition: PartitionNumber) -> bool {
        let owner = choose(partition, &self.candidates()).map(|owner| owner.address);
        owner == Some(None)
    }

    /// The gateways that may serve partitions, this one included.
    ///
    /// Whether one reaches the store does not count: it calls the store over the others, and an
    /// outage, which each notices at its own time, must not move partitions about.
    fn candidates(&self) -> Vec<Candidate> {
        let well = self.gossip.well(Instant::now());
        let mut candidates: Vec<Candidate> = well
            .into_iter()
            .filter(|(_, _, state)| !state.is_stopping)
            .map(|(name, address, state)| Candidate {
                name,
                address: Some(address),
                has_loaded: state.has_loaded,
            })
            .collect();
        // One that is about to stop serves only where nobody else can.
        if !self.is_stopping() || candidates.is_empty() {
            candidates.push(Candidate {
                name: self.settings.name.clone(),
                address: None,
                has_loaded: self.turns_loaded.get(),
            });
        }
        candidates
    }
}
