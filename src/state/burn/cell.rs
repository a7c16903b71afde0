//! Recording into and merging of [`Cell`]s.

use crate::protocol::operations::{Cell, SparseHistogram};
use hdrhistogram::Histogram;
use std::sync::OnceLock;

/// Significant decimal digits of a recorded duration.
const DIGITS: u8 = 2;

/// Upper bound of recorded durations, in milliseconds. Longer ones count as this value.
const MAX_MS: u64 = 24 * 3600 * 1_000;

impl Cell {
    /// Counts a program that ended.
    pub(super) fn add_program(&mut self, latency_ms: u64, objective_ms: u64, succeeded: bool) {
        self.programs += 1;
        if !succeeded {
            self.failed += 1;
            return;
        }
        self.late += u64::from(latency_ms > objective_ms);
        self.program_latency.add(bucket_ms(latency_ms), 1);
    }

    /// Counts a first token.
    pub(super) fn add_first_token(&mut self, latency_ms: u64, objective_ms: u64) {
        self.first_tokens += 1;
        self.late_first_tokens += u64::from(latency_ms > objective_ms);
        self.first_token.add(bucket_ms(latency_ms), 1);
    }

    /// Adds the counts of another cell.
    pub(crate) fn merge(&mut self, other: &Cell) {
        self.programs += other.programs;
        self.failed += other.failed;
        self.late += other.late;
        self.first_tokens += other.first_tokens;
        self.late_first_tokens += other.late_first_tokens;
        self.program_latency.merge(&other.program_latency);
        self.first_token.merge(&other.first_token);
    }
}

impl SparseHistogram {
    /// Adds `count` occurrences of a value.
    fn add(&mut self, value: u64, count: u64) {
        match self.0.binary_search_by_key(&value, |(value, _)| *value) {
            Ok(index) => self.0[index].1 += count,
            Err(index) => self.0.insert(index, (value, count)),
        }
    }

    fn merge(&mut self, other: &SparseHistogram) {
        for (value, count) in &other.0 {
            self.add(*value, *count);
        }
    }

    /// Returns the values at the given quantiles; zeros if nothing was recorded.
    pub(super) fn quantiles<const N: usize>(&self, quantiles: [f64; N]) -> [u64; N] {
        let mut histogram = new_histogram();
        for (value, count) in &self.0 {
            histogram.saturating_record_n(*value, *count);
        }
        quantiles.map(|quantile| histogram.value_at_quantile(quantile))
    }
}

/// Rounds a duration down to the bucket of a histogram with [`DIGITS`] significant digits.
fn bucket_ms(value_ms: u64) -> u64 {
    static EMPTY: OnceLock<Histogram<u64>> = OnceLock::new();
    let empty = EMPTY.get_or_init(new_histogram);
    empty.lowest_equivalent(value_ms.min(MAX_MS))
}

/// Creates an empty histogram.
fn new_histogram() -> Histogram<u64> {
    // The constant bounds are valid.
    Histogram::new_with_bounds(1, MAX_MS, DIGITS).expect("bounds in range")
}
