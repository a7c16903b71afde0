//! Lifetimes of the endpoint, as far as ended connections show them.

#[cfg(test)]
mod tests;

use crate::coordination::crashes::{Lifetime, lifetime};
use crate::ids::{CallId, EndpointId, Incarnation};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of crashed actions whose lifetimes are remembered.
const MAX_ACTIONS: usize = 256;

/// Number of a lifetime of the endpoint, counted by its sidecar.
pub(crate) type LifetimeNumber = u64;

/// Numbers the lifetimes of the endpoint.
///
/// Invariant: calls that were sent before a connection ended have another number than those that are
/// sent after it was noticed. So one crash under several calls counts once.
pub(crate) struct EndpointLifetimes {
    /// Name of this incarnation of the sidecar, which starts to count anew.
    sidecar: String,
    number: AtomicU64,
}

impl EndpointLifetimes {
    /// Starts to count.
    pub(crate) fn new(node: &EndpointId, incarnation: Incarnation) -> Self {
        Self {
            sidecar: format!("{node}/{incarnation}"),
            number: AtomicU64::new(0),
        }
    }

    /// Returns the number of the present lifetime.
    pub(crate) fn current(&self) -> LifetimeNumber {
        self.number.load(Ordering::Relaxed)
    }

    /// Records that a connection ended to which a call was sent in lifetime `number`.
    pub(crate) fn end(&self, number: LifetimeNumber) {
        self.number.fetch_max(number + 1, Ordering::Relaxed);
    }

    /// Returns the tag by which entries know a lifetime.
    pub(crate) fn tag(&self, number: LifetimeNumber) -> Lifetime {
        lifetime(&self.sidecar, Some(number))
    }
}

/// Lifetimes that ended while they had an action, for owners that ask for its result later.
#[derive(Default)]
pub(crate) struct CrashedActions {
    /// At most [`MAX_ACTIONS`], oldest first.
    actions: VecDeque<(CallId, Lifetime)>,
}

impl CrashedActions {
    /// Records the crash under an action.
    pub(crate) fn insert(&mut self, call: CallId, lifetime: Lifetime) {
        if self.actions.len() >= MAX_ACTIONS {
            self.actions.pop_front();
        }
        self.actions.push_back((call, lifetime));
    }

    /// Returns the lifetime that ended under an action.
    pub(crate) fn get(&self, call: CallId) -> Option<Lifetime> {
        let mut actions = self.actions.iter();
        let found = actions.find(|(crashed, _)| *crashed == call);
        found.map(|(_, lifetime)| *lifetime)
    }
}
