//! Exponentially weighted averages.

/// Weight of a new value.
const WEIGHT: f64 = 0.1;

/// An exponentially weighted average; empty until the first value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage(Option<f64>);

impl MovingAverage {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        let old = self.0.unwrap_or(value);
        self.0 = Some(old + (value - old) * WEIGHT);
    }

    /// Returns the average, if there is one.
    pub(crate) fn get(&self) -> Option<f64> {
        self.0
    }
}
