//! Distributions of times.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Longest time that is told apart, in microseconds.
const MAX_US: u64 = 3_600_000_000;

/// Significant decimal digits kept.
const DIGITS: u8 = 3;

/// A distribution of times.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// Percentiles of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half of the times are at most this.
    pub p50: f64,
    /// 95 in 100 of the times are at most this.
    pub p95: f64,
    /// 99 in 100 of the times are at most this.
    pub p99: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_US, DIGITS);
        Self {
            histogram: histogram.expect("the bounds are constant and valid"),
        }
    }
}

impl Latencies {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds another distribution.
    pub fn merge(&mut self, other: &Latencies) {
        // Both have the same bounds, so nothing is out of range.
        let _ = self.histogram.add(&other.histogram);
    }

    /// How many times were added.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The longest time, in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.histogram.max() as f64 / 1_000.0
    }

    /// Its percentiles.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}
