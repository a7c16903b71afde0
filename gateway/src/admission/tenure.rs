//! Since when a gateway has been the one that grants, as far as it can know.

use std::time::{Duration, Instant};

/// Longest pause of a process that others do not notice. After a longer one, another gateway may have
/// granted meanwhile.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Time for which a gateway's view of its peers has been the same.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tenure {
    /// Hash of the gateways that may grant.
    view: u64,
    since: Instant,
    alive_at: Instant,
}

impl Tenure {
    /// Creates the tenure of a gateway that starts.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            view: 0,
            since: now,
            alive_at: now,
        }
    }

    /// Records that the process runs. Returns whether it had been paused for so long that what it
    /// knows about its buckets is void.
    pub(crate) fn resume(&mut self, now: Instant) -> bool {
        let was_paused = now.saturating_duration_since(self.alive_at) > MAX_PAUSE;
        self.alive_at = now;
        if was_paused {
            self.since = now;
        }
        was_paused
    }

    /// Records the gateways that may grant. Returns whether they have changed.
    pub(crate) fn set_view(&mut self, now: Instant, view: u64) -> bool {
        let is_changed = self.view != view;
        if is_changed {
            self.view = view;
            self.since = now;
        }
        is_changed
    }

    /// Returns the time since when a gateway that grants now has been the one to do so.
    pub(crate) fn since(&self) -> Instant {
        self.since
    }
}
