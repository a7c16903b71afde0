//! A list whose changes become visible after a lag.

use crate::protocol::vms::Vm;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Settings of a VM list stand-in.
#[derive(Clone, Debug, Default)]
pub struct VmsConfig {
    /// The initial list, which is visible immediately.
    pub vms: Vec<Vm>,
    /// Time until a change becomes visible.
    pub lag: Duration,
}

/// A change of the list or its behaviour. Omitted fields keep their values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsControl {
    /// The new list.
    pub vms: Option<Vec<Vm>>,
    /// Time until a change becomes visible, in milliseconds.
    pub lag_ms: Option<u64>,
    /// With `true`, stops listening and closes every connection. With `false`, resumes listening.
    pub down: Option<bool>,
}

/// The versions of the list, with the times of the changes.
///
/// Invariant: there is at least one version, and versions are ordered by time.
pub(crate) struct VmsState {
    versions: VecDeque<(Instant, Vec<Vm>)>,
    lag: Duration,
}

impl VmsState {
    /// Creates a list that is visible immediately.
    pub(crate) fn new(config: VmsConfig, now: Instant) -> Self {
        Self {
            versions: VecDeque::from([(now, config.vms)]),
            lag: config.lag,
        }
    }

    /// Adds a new version of the list.
    pub(crate) fn set(&mut self, vms: Vec<Vm>, now: Instant) {
        self.drop_superseded(now);
        self.versions.push_back((now, vms));
    }

    /// Sets the time until a change becomes visible.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the newest visible version. The first version is always visible.
    pub(crate) fn visible_list(&mut self, now: Instant) -> Vec<Vm> {
        self.drop_superseded(now);
        let first = self.versions.front();
        first.map_or_else(Vec::new, |(_, vms)| vms.clone())
    }

    /// Removes the versions before the newest visible one.
    fn drop_superseded(&mut self, now: Instant) {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= self.lag;
        while self.versions.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            self.versions.pop_front();
        }
    }
}
