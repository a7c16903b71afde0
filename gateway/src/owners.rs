//! Which gateway serves a partition of the turns.
//!
//! Ownership is only a saving: one reader and one writer a partition, where each gateway would
//! have to read all records. Gateways that disagree on the owner both write, and the partition's
//! order decides; so ownership needs no agreement, and nobody waits for it to pass on.

#[cfg(test)]
mod tests;

use crate::dialect::{Dialect, PartitionNumber};
use crate::node::Gateway;
use crate::partition::PartitionSet;
use crate::stable_hash::stable_hash;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a gateway that has just started waits for the addresses of the others.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two looks at whether a gateway that is awaited has been heard.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway that may serve a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) name: String,
    pub(crate) location: Location,
    /// The partitions that it has loaded.
    pub(crate) loaded: PartitionSet,
    /// What its VM may use, in thousandths of a core.
    pub(crate) processor_permille: u32,
}

/// Where a partition is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Location {
    /// At this gateway.
    Local,
    /// At another one.
    Remote(SocketAddr),
    /// At another one that has not been heard yet.
    Pending,
}

/// Part of the largest VM's processor that a VM must have to serve partitions: one that is much
/// smaller has enough to do with its own requests.
const MIN_PROCESSOR_SHARE: f64 = 0.5;

/// Chooses the owner of a partition: each gateway has a rank there that all compute alike, so that
/// only the partitions of a gateway that comes or goes change hands.
pub(crate) fn choose_owner(
    partition: PartitionNumber,
    candidates: &[Candidate],
) -> Option<&Candidate> {
    let processors = candidates
        .iter()
        .map(|candidate| candidate.processor_permille);
    let min_permille = f64::from(processors.max()?) * MIN_PROCESSOR_SHARE;
    let eligible = candidates
        .iter()
        .filter(|candidate| f64::from(candidate.processor_permille) >= min_permille);
    eligible.max_by_key(|candidate| rank(partition, &candidate.name))
}

/// Chooses where a partition is asked: at its owner, or at one that has it loaded as long as the
/// owner has not.
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

fn rank(partition: PartitionNumber, name: &str) -> u64 {
    stable_hash((partition, name))
}

impl<D: Dialect> Gateway<D> {
    /// Returns where a partition is asked; `None` if it is served here.
    pub(crate) async fn remote_owner(&self, partition: PartitionNumber) -> Option<SocketAddr> {
        let discovery_deadline = Instant::now() + DISCOVERY_TIMEOUT;
        loop {
            let has_discovered = self.gateways_loaded.get() || Instant::now() > discovery_deadline;
            match choose_server(partition, &self.candidates()) {
                Some(Location::Remote(address)) => return Some(address),
                Some(Location::Local) | None if has_discovered => return None,
                // One that is awaited is heard soon or no longer awaited.
                _ => Timer::after(PENDING_CHECK_INTERVAL).await,
            };
        }
    }

    /// Tells whether this gateway should have a partition loaded.
    pub(crate) fn owns(&self, partition: PartitionNumber) -> bool {
        let candidates = self.candidates();
        choose_owner(partition, &candidates).is_some_and(|owner| owner.location == Location::Local)
    }

    /// The gateways that may serve partitions, this one included.
    ///
    /// Whether one reaches the store does not count: it calls the store over the others, and an
    /// outage, which each notices at its own time, must not move partitions about.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = self.gossip.candidates(Instant::now());
        // One that is about to stop serves only where nobody else can.
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

    /// What this gateway's VM may use, in thousandths of a core.
    pub(crate) fn processor_permille(&self) -> u32 {
        (self.settings.processor_share * 1_000.0) as u32
    }
}
