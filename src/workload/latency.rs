//! Latency histograms.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Upper bound of the histogram, in microseconds. Longer durations are recorded as this value.
const MAX_RECORDABLE_US: u64 = 3_600_000_000;

/// Precision of the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations from 1 µs to one hour, with three significant digits.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// Percentiles of a [`Latencies`] histogram, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDABLE_US, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.expect("the bounds are constant and valid"),
        }
    }
}

impl Latencies {
    /// Records a duration, clamped to the bounds of the histogram.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDABLE_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds the recorded values of another histogram.
    pub fn merge(&mut self, other: &Latencies) {
        // `add` fails only if a value is out of range, and both histograms have the same bounds.
        let _ = self.histogram.add(&other.histogram);
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the longest recorded duration in milliseconds, or 0 if there is none.
    pub fn max_ms(&self) -> f64 {
        self.histogram.max() as f64 / 1_000.0
    }

    /// Returns the percentiles, which are 0 if nothing has been recorded.
    pub fn percentiles(&self) -> Percentiles {
        let value_ms = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles {
            p50: value_ms(0.5),
            p95: value_ms(0.95),
            p99: value_ms(0.99),
        }
    }
}
