//! Exponentially weighted moving averages.

/// Weight of a new value.
const WEIGHT: f64 = 0.1;

/// Exponentially weighted moving average; empty until the first value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        let old = self.0.unwrap_or(value);
        self.0 = Some(old + (value - old) * WEIGHT);
    }

    /// Returns the average, or `None` before the first value.
    pub(crate) fn get(&self) -> Option<f64> {
        self.0
    }
}
