//! Averages over a group of endpoints, with which each endpoint is compared.

use crate::protocol::link::SidecarLoad;

/// Prefill speed assumed before the first report, in tokens per second.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// Time between tokens assumed before the first report, in milliseconds.
const DEFAULT_TOKEN_GAP_MS: f64 = 20.0;

/// An endpoint is treated as average unless it is slower than the average by more than this factor.
///
/// Measured speeds differ by chance. Taking small differences into account would send most calls to
/// the endpoints that happened to be measured as fast.
const OUTLIER_FACTOR: f64 = 2.0;

/// Means over the load reports of a group of endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupAverages {
    /// Expected wait, in milliseconds.
    pub(super) wait_ms: f64,
    prefill_tokens_per_s: f64,
    token_gap_ms: f64,
}

impl GroupAverages {
    /// Averages load reports; values that were not measured are left out.
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

    /// Returns an endpoint's prefill speed in tokens per second: its own if it is an outlier, else
    /// the mean.
    pub(super) fn prefill_speed(&self, load: &SidecarLoad) -> f64 {
        let measured = load.prefill_tokens_per_s;
        let is_slow = measured > 0.0 && measured * OUTLIER_FACTOR < self.prefill_tokens_per_s;
        if is_slow {
            measured
        } else {
            self.prefill_tokens_per_s
        }
    }

    /// Returns an endpoint's time between tokens in milliseconds: its own if it is an outlier, else
    /// the mean.
    pub(super) fn token_gap_ms(&self, load: &SidecarLoad) -> f64 {
        let measured = load.token_gap_ms;
        if measured > self.token_gap_ms * OUTLIER_FACTOR {
            measured
        } else {
            self.token_gap_ms
        }
    }
}

/// Arithmetic mean of the values added.
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

    /// Adds a value unless it is 0, which means that it was not measured.
    fn add_measured(&mut self, value: f64) {
        if value > 0.0 {
            self.add(value);
        }
    }

    fn get(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
