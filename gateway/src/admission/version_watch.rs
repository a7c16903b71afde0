//! Decides when the configuration must be read again because a peer has a newer one, and whether the
//! version in force is still confirmed.
//!
//! The load it answers: a change that all gateways read at the same time causes no read here, and a
//! version that this gateway cannot get causes ever fewer.

#[cfg(test)]
mod tests;

use crate::routes::ConfigurationVersion;
use std::time::{Duration, Instant};

/// Time for which a newer version of a peer is expected to arrive here by itself. The store tells all
/// gateways of a change at once, and heartbeats may be faster by some milliseconds.
const ARRIVAL_TIME: Duration = Duration::from_millis(150);

/// Minimum time between two reads. Each further one for the same version doubles it.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time between two reads for a version that does not come.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a newer version is expected soon, so that callers are asked to come back early.
const BEHIND_TIME: Duration = Duration::from_secs(5);

/// Time without confirmation after which the version in force may not be the newest. A waiting read
/// of the store, or the heartbeat of a peer that reaches it, confirms it more often.
const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);

/// A version that a peer has and this gateway does not.
#[derive(Clone, Copy, Debug)]
struct Missed {
    version: ConfigurationVersion,
    heard_at: Instant,
    /// When the next read is due.
    read_at: Instant,
    /// Reads so far.
    reads: u32,
}

/// What is known of the version of the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionWatch {
    /// Version in force; `None` before the first configuration.
    version: Option<ConfigurationVersion>,
    /// When it came into force.
    applied_at: Option<Instant>,
    /// When the store or a peer that has read it last had no newer version.
    confirmed_at: Option<Instant>,
    /// When this gateway itself last read the store to its end.
    read_to_end_at: Option<Instant>,
    missed: Option<Missed>,
}

impl VersionWatch {
    /// Records that a version came into force.
    pub(crate) fn apply(&mut self, now: Instant, version: ConfigurationVersion) {
        self.version = Some(version);
        self.applied_at = Some(now);
        if self.missed.is_some_and(|missed| missed.version <= version) {
            self.missed = None;
        }
    }

    /// Records that the store was read to its end and the newest version there is in force.
    pub(crate) fn confirm(&mut self, now: Instant) {
        self.read_to_end_at = Some(now);
        self.confirmed_at = Some(now);
    }

    /// Records the version of a peer; 0 if it has none. Returns whether it is newer than all before.
    ///
    /// `is_from_store` is whether the peer itself has recently read the store to its end. Only such peers
    /// confirm a version; otherwise gateways without the store would confirm it to each other forever.
    /// `jitter` in 0 to 1 spreads the reads of gateways that hear of the version at the same time.
    pub(crate) fn hear(
        &mut self,
        now: Instant,
        version: ConfigurationVersion,
        is_from_store: bool,
        jitter: f64,
    ) -> bool {
        let Some(own) = self.version else {
            // Until the first configuration has been read, it is read anyway.
            return false;
        };
        if is_from_store && version == own && self.missed.is_none() {
            self.confirmed_at = Some(now);
        }
        let newest = self.missed.map_or(own, |missed| missed.version);
        if version <= newest {
            return false;
        }
        self.missed = Some(Missed {
            version,
            heard_at: now,
            read_at: now + ARRIVAL_TIME.mul_f64(1.0 + jitter),
            reads: 0,
        });
        true
    }

    /// Returns whether a newer version is in force elsewhere, which may know what this one does not,
    /// and is expected here.
    pub(crate) fn is_behind(&self, now: Instant) -> bool {
        let is_recent =
            |missed: Missed| now.saturating_duration_since(missed.heard_at) < BEHIND_TIME;
        self.missed.is_some_and(is_recent)
    }

    /// Returns whether there is a version in force, it was recently the newest there is, and no newer one
    /// is known.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        self.version.is_some()
            && self.missed.is_none()
            && self.confirmation_age(now) <= CONFIRMED_FOR
    }

    /// Returns whether this gateway itself has recently read the store to its end.
    pub(crate) fn has_read_store(&self, now: Instant) -> bool {
        self.read_to_end_at
            .is_some_and(|at| now.saturating_duration_since(at) <= CONFIRMED_FOR)
    }

    /// Returns when a read is due; `None` while no newer version is known.
    pub(crate) fn read_at(&self) -> Option<Instant> {
        self.missed.map(|missed| missed.read_at)
    }

    /// Records that a read begins. Returns the version that it is to bring.
    pub(crate) fn begin_read(&mut self, now: Instant) -> Option<ConfigurationVersion> {
        let missed = self.missed.as_mut()?;
        let interval = MIN_READ_INTERVAL * 2_u32.pow(missed.reads.min(8));
        missed.read_at = now + interval.min(MAX_READ_INTERVAL);
        missed.reads += 1;
        Some(missed.version)
    }

    /// Returns the age of the version in force; zero if there is none.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let applied_at = self.applied_at.unwrap_or(now);
        now.saturating_duration_since(applied_at)
    }

    /// Returns the time since the version in force was last confirmed, or since it came into force if
    /// it never was.
    pub(crate) fn confirmation_age(&self, now: Instant) -> Duration {
        let confirmed_at = self.confirmed_at.or(self.applied_at).unwrap_or(now);
        now.saturating_duration_since(confirmed_at)
    }

    /// Returns the newest version that was heard of, here or at a peer; 0 if there is none.
    pub(crate) fn newest_version(&self) -> ConfigurationVersion {
        let own = self.version.unwrap_or_default();
        self.missed.map_or(own, |missed| missed.version)
    }

    /// Returns whether keys may have been revoked for `limit` without word here.
    pub(crate) fn is_unconfirmed(&self, now: Instant, limit: Option<Duration>) -> bool {
        let is_recent = |limit: Duration| {
            let confirmed_at = self.confirmed_at;
            confirmed_at.is_some_and(|at| now.saturating_duration_since(at) <= limit)
        };
        limit.is_some_and(|limit| !is_recent(limit))
    }
}
