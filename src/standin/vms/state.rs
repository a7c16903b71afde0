//! A list whose changes become visible after a time.

use crate::protocol::vms::Vm;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How a VM list stand-in behaves.
#[derive(Clone, Debug, Default)]
pub struct VmsConfig {
    /// The list at the start, which is visible at once.
    pub vms: Vec<Vm>,
    /// How long a change stays invisible.
    pub lag: Duration,
}

/// A change in what the list says or how it behaves; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsControl {
    /// The new list.
    pub vms: Option<Vec<Vm>>,
    /// How long a change stays invisible, in milliseconds.
    pub lag_ms: Option<u64>,
    /// With `true`, stops listening and closes every connection; with `false`, listens again.
    pub down: Option<bool>,
}

/// The versions of the list.
///
/// Invariant: there is at least one; they are in the order of their times.
pub(crate) struct VmsState {
    versions: VecDeque<(Instant, Vec<Vm>)>,
    lag: Duration,
}

impl VmsState {
    /// Makes a list that is visible at once.
    pub(crate) fn new(config: VmsConfig, now: Instant) -> Self {
        Self {
            versions: VecDeque::from([(now, config.vms)]),
            lag: config.lag,
        }
    }

    /// Changes the truth.
    pub(crate) fn set(&mut self, vms: Vec<Vm>, now: Instant) {
        self.drop_superseded(now);
        self.versions.push_back((now, vms));
    }

    /// Changes the lag.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the newest visible list; the first one is always visible.
    pub(crate) fn visible_list(&mut self, now: Instant) -> Vec<Vm> {
        self.drop_superseded(now);
        let first = self.versions.front();
        first.map_or_else(Vec::new, |(_, vms)| vms.clone())
    }

    /// Forgets the versions before the newest visible one.
    fn drop_superseded(&mut self, now: Instant) {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= self.lag;
        while self.versions.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            self.versions.pop_front();
        }
    }
}
