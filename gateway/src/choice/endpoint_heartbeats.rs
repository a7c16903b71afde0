//! Heartbeats of endpoints whose ends were counted as crashes. They show that the endpoint still runs: the
//! network refused or reset its connections.

#[cfg(test)]
mod tests;

use galenapick::crashes::Lifetime;
use std::collections::{HashMap, HashSet};
use std::time::Instant;

/// Number of heartbeats after a supposed crash that prove that there was none. The store may append
/// the last one of a process that has ended late.
const MIN_HEARTBEATS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// When the lifetime was first known as crashed.
    since: Instant,
    heartbeats: u32,
}

/// Lifetimes that count as crashed, with their heartbeats since.
#[derive(Debug, Default)]
pub(crate) struct EndpointHeartbeats {
    suspects: HashMap<Lifetime, Suspect>,
    /// Start of the last read that reached the end of the list. Later reads return what was appended
    /// after it.
    appended_after: Option<Instant>,
}

impl EndpointHeartbeats {
    /// Replaces the lifetimes that count as crashed.
    pub(crate) fn watch(&mut self, now: Instant, crashed: &HashSet<Lifetime>) {
        self.suspects
            .retain(|lifetime, _| crashed.contains(lifetime));
        for lifetime in crashed {
            self.suspects.entry(*lifetime).or_insert(Suspect {
                since: now,
                heartbeats: 0,
            });
        }
    }

    /// Records an entry of the list that the last read returned. Returns whether it proves that its
    /// lifetime has not crashed.
    pub(crate) fn record(&mut self, lifetime: Lifetime) -> bool {
        let Some(suspect) = self.suspects.get_mut(&lifetime) else {
            return false;
        };
        if self.appended_after.is_some_and(|at| at > suspect.since) {
            suspect.heartbeats += 1;
        }
        suspect.heartbeats >= MIN_HEARTBEATS
    }

    /// Records that a read that was started at a time has reached the end of the list.
    pub(crate) fn reach_end(&mut self, started_at: Instant) {
        self.appended_after = Some(started_at);
    }
}
