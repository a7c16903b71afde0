//! Ends of connections that may be crashes, until it is known whether the endpoint still runs.

#[cfg(test)]
mod tests;

use super::entry::Entry;
use crate::protocol::crashes::{Fingerprint, Lifetime};
use smallvec::SmallVec;
use std::time::Instant;

/// Maximum number of unconfirmed crashes; later ones count only once they are confirmed.
const MAX_UNCONFIRMED: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct UnconfirmedCrash {
    fingerprint: Fingerprint,
    lifetime: Lifetime,
    until: Instant,
}

/// Unconfirmed crashes, one for each attempt whose connection ended. Most of the time there are none.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedCrashes(Vec<UnconfirmedCrash>);

impl UnconfirmedCrashes {
    pub(super) fn insert(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lifetime: Lifetime,
        until: Instant,
    ) {
        self.0.retain(|crash| crash.until > now);
        if self.0.len() < MAX_UNCONFIRMED {
            self.0.push(UnconfirmedCrash {
                fingerprint,
                lifetime,
                until,
            });
        }
    }

    /// Removes one crash with this request and lifetime.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint, lifetime: Lifetime) {
        let mut crashes = self.0.iter();
        let found = crashes
            .position(|crash| crash.fingerprint == fingerprint && crash.lifetime == lifetime);
        found.map(|index| self.0.swap_remove(index));
    }

    /// Removes all crashes of a lifetime.
    pub(super) fn remove_lifetime(&mut self, lifetime: Lifetime) {
        self.0.retain(|crash| crash.lifetime != lifetime);
    }

    /// Returns the crashes of a request, whose confirmed ones are in `entry`.
    pub(super) fn of<'a>(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        entry: Option<&'a Entry>,
    ) -> UnconfirmedOf<'a> {
        let crashes = self.0.iter();
        let own = crashes.filter(|crash| crash.fingerprint == fingerprint && crash.until > now);
        UnconfirmedOf {
            fingerprint,
            entry,
            crashes: own.map(|crash| (crash.lifetime, crash.until)).collect(),
        }
    }
}

/// The unconfirmed crashes of one request.
pub(super) struct UnconfirmedOf<'a> {
    fingerprint: Fingerprint,
    entry: Option<&'a Entry>,
    crashes: SmallVec<[(Lifetime, Instant); 4]>,
}

impl UnconfirmedOf<'_> {
    /// Returns how long the request must not be sent because of these crashes: `None` if they are not
    /// enough for a quarantine together with the confirmed ones.
    pub(super) fn quarantined_until(&self) -> Option<Instant> {
        let until = self.crashes.iter().map(|(_, until)| *until).max()?;
        let is_known = |lifetime| {
            let mut lifetimes = self.entry.into_iter().flat_map(|entry| &entry.lifetimes);
            lifetimes.any(|(known, _)| *known == lifetime)
        };
        let mut lifetimes: SmallVec<[Lifetime; 4]> = self
            .crashes
            .iter()
            .map(|(lifetime, _)| *lifetime)
            .filter(|lifetime| !is_known(*lifetime))
            .collect();
        lifetimes.sort_unstable();
        lifetimes.dedup();
        let confirmed = self.entry.map_or(0, |entry| entry.suspicion().lifetimes);
        let is_quarantined = confirmed + lifetimes.len() >= self.fingerprint.quarantine_crashes();
        is_quarantined.then_some(until)
    }
}
