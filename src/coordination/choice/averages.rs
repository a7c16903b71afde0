//! Averages over the endpoints of a group, against which each is judged.

use crate::protocol::link::SidecarLoad;

/// Prefill speed assumed before any report, in tokens a second.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// Time between tokens assumed before any report, in milliseconds.
const DEFAULT_TOKEN_GAP_MS: f64 = 20.0;

/// An endpoint counts as typical unless it is slower by more than this factor.
///
/// Measured speeds differ by chance; were they believed, calls would pile up where chance was kind.
const OUTLIER_FACTOR: f64 = 2.0;

/// Means over a group of endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupAverages {
    /// Expected wait, in milliseconds.
    pub(super) wait_ms: f64,
    prefill_tokens_per_s: f64,
    token_gap_ms: f64,
}

impl GroupAverages {
    /// Averages load reports.
    pub(super) fn from_loads<'a>(loads: impl Iterator<Item = &'a SidecarLoad>) -> Self {
        let mut wait_ms = Mean::default();
        let mut speed = Mean::default();
        let mut gap_ms = Mean::default();
        for load in loads {
            wait_ms.add(load.wait_ms as f64);
            speed.add_measured(load.prefill_tokens_per_s);
            gap_ms.add_measured(load.token_gap_ms);
        }
        Self {
            wait_ms: wait_ms.get().unwrap_or(0.0),
            prefill_tokens_per_s: speed.get().unwrap_or(DEFAULT_PREFILL_TOKENS_PER_S),
            token_gap_ms: gap_ms.get().unwrap_or(DEFAULT_TOKEN_GAP_MS),
        }
    }

    /// Returns an endpoint's prefill speed, in tokens a second.
    pub(super) fn prefill_speed(&self, load: &SidecarLoad) -> f64 {
        let own = load.prefill_tokens_per_s;
        let is_slow = own > 0.0 && own * OUTLIER_FACTOR < self.prefill_tokens_per_s;
        if is_slow {
            own
        } else {
            self.prefill_tokens_per_s
        }
    }

    /// Returns an endpoint's time between tokens, in milliseconds.
    pub(super) fn token_gap_ms(&self, load: &SidecarLoad) -> f64 {
        let own = load.token_gap_ms;
        if own > self.token_gap_ms * OUTLIER_FACTOR {
            own
        } else {
            self.token_gap_ms
        }
    }
}

/// A mean.
#[derive(Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    /// Adds a value unless it is 0, which stands for "not measured".
    fn add_measured(&mut self, value: f64) {
        if value > 0.0 {
            self.add(value);
        }
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
