//! Assignment of the turns topic's partitions to gateways.
//!
//! Ownership is only an optimisation: one gateway reads and writes a partition, so that the others
//! need not read all records. If gateways disagree on the owner, both write and the order of
//! records in the partition decides. Ownership therefore needs no agreement, and no request waits
//! for a handover.

#[cfg(test)]
mod tests;

use crate::dialect::{Dialect, PartitionNumber};
use crate::node::Gateway;
use crate::turns::partition::PartitionSet;
use galenapick::stable_hash;
use smol::Timer;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum wait of a gateway that has just started for the addresses of its peers.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks whether a pending owner has sent a heartbeat.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway that may own a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) name: String,
    pub(crate) location: Location,
    /// Partitions that it has loaded.
    pub(crate) loaded: PartitionSet,
    /// Processor share available to its VM, in thousandths of a core.
    pub(crate) processor_permille: u32,
}

/// Where a partition is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Location {
    /// On this gateway.
    Local,
    /// On the peer at this address.
    Remote(SocketAddr),
    /// On a peer that has not sent a heartbeat yet.
    Pending,
}

/// Minimum processor share for owning partitions and relaying calls, relative to the largest VM. Much
/// smaller VMs are fully used by their own requests.
pub(super) const MIN_PROCESSOR_SHARE: f64 = 0.5;

/// Returns the owner of a partition, or of another key, which is the eligible gateway with the
/// highest rank. All gateways compute the same ranks, and a gateway that joins or leaves moves only
/// its own keys.
pub(crate) fn choose_owner(key: impl Hash + Copy, candidates: &[Candidate]) -> Option<&Candidate> {
    let processors = candidates
        .iter()
        .map(|candidate| candidate.processor_permille);
    let min_permille = f64::from(processors.max()?) * MIN_PROCESSOR_SHARE;
    let eligible = candidates
        .iter()
        .filter(|candidate| f64::from(candidate.processor_permille) >= min_permille);
    eligible.max_by_key(|candidate| rank(key, &candidate.name))
}

/// Returns the gateway to which requests for a partition go: its owner or, until the owner has
/// loaded the partition, another gateway that has.
pub(crate) fn choose_server(
    partition: PartitionNumber,
    candidates: &[Candidate],
) -> Option<Location> {
    let owner = choose_owner(partition, candidates)?;
    if !owner.loaded.contains(partition) {
        let loaded = candidates
            .iter()
            .filter(|candidate| candidate.loaded.contains(partition));
        if let Some(other) = loaded.max_by_key(|candidate| rank(partition, &candidate.name)) {
            return Some(other.location);
        }
    }
    Some(owner.location)
}

fn rank(key: impl Hash, name: &str) -> u64 {
    stable_hash((key, name))
}

impl<D: Dialect> Gateway<D> {
    /// Returns the address to which requests for a partition go, or `None` if this gateway serves
    /// it. Until the owner has loaded the partition, this may be another gateway that has.
    pub(crate) async fn remote_owner(&self, partition: PartitionNumber) -> Option<SocketAddr> {
        let discovery_deadline = Instant::now() + DISCOVERY_TIMEOUT;
        loop {
            let is_discovery_complete =
                self.gateways_loaded.get() || Instant::now() > discovery_deadline;
            match choose_server(partition, &self.candidates()) {
                Some(Location::Remote(address)) => return Some(address),
                Some(Location::Local) | None if is_discovery_complete => return None,
                // A pending owner soon sends a heartbeat or stops being a candidate.
                _ => Timer::after(PENDING_CHECK_INTERVAL).await,
            };
        }
    }

    /// Returns whether this gateway owns a partition and should load it.
    pub(crate) fn owns(&self, partition: PartitionNumber) -> bool {
        let candidates = self.candidates();
        choose_owner(partition, &candidates).is_some_and(|owner| owner.location == Location::Local)
    }

    /// Returns the gateways that may own partitions, including this one.
    ///
    /// Whether a gateway reaches the store does not matter, because its peers can relay its calls.
    /// Gateways notice an outage at different times, and it must not move partitions.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = self.gossip.candidates(Instant::now());
        // A gateway that is shutting down owns partitions only if there is no other candidate.
        if !self.is_stopping() || candidates.is_empty() {
            candidates.push(Candidate {
                name: self.settings.name.clone(),
                location: Location::Local,
                loaded: self.loaded_partitions(),
                processor_permille: self.processor_permille(),
            });
        }
        candidates
    }

    /// Processor share available to this gateway's VM, in thousandths of a core.
    pub(crate) fn processor_permille(&self) -> u32 {
        (self.settings.processor_share * 1_000.0) as u32
    }
}
