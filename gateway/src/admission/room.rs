//! Demand on a service and its room, and the wait that follows from them.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Duration assumed of a call before one has ended, in ms.
const DEFAULT_CALL_MS: f64 = 200.0;

/// Weight of the latest call in the moving average of durations without a wait.
const AVERAGE_WEIGHT: f64 = 0.05;

/// What a gateway knows of the room of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Room {
    /// Calls that its healthy endpoints can run at once.
    pub(crate) slots: f64,
    /// Calls in flight of all gateways: own ones exactly, those of peers as they last told.
    pub(crate) calls: f64,
    /// Calls that wait in gateways.
    pub(crate) waiting: f64,
    /// Duration of a call that finds a free slot, in ms.
    pub(crate) call_ms: f64,
    /// Age of the oldest count of a peer that is reckoned with.
    pub(crate) age: Duration,
}

impl Room {
    /// Returns the time that a call which comes now waits for a slot. The calls in flight and those
    /// that wait in gateways go first.
    pub(crate) fn wait(&self) -> Duration {
        if self.slots < 1.0 {
            return Duration::ZERO;
        }
        let ahead = (self.calls + self.waiting + 1.0 - self.slots).max(0.0);
        Duration::from_secs_f64(ahead / self.slots * self.call_ms / 1_000.0)
    }

    /// Returns the number of calls that may be sent now, so that each endpoint has `depth` times as
    /// many as it runs at once.
    pub(crate) fn free(&self, depth: f64) -> f64 {
        (self.slots * depth - self.calls).max(0.0)
    }

    /// Returns whether a slot is free and nothing waits for it. No request is refused then.
    pub(crate) fn is_free(&self) -> bool {
        self.slots < 1.0 || self.calls + self.waiting < self.slots
    }

    /// Returns the demand as a multiple of the slots.
    pub(crate) fn load(&self) -> f64 {
        (self.calls + self.waiting) / self.slots.max(1.0)
    }
}

/// Moving average of the durations of calls that found a free slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallDuration {
    average_ms: Option<f64>,
}

impl CallDuration {
    pub(crate) fn ms(&self) -> f64 {
        self.average_ms.unwrap_or(DEFAULT_CALL_MS)
    }

    /// Adds a call. Calls that queued would make a wait look like work.
    pub(crate) fn add(&mut self, duration: Duration, found_free_slot: bool) {
        if found_free_slot {
            let ms = duration.as_secs_f64() * 1_000.0;
            let average_ms = self.average_ms.get_or_insert(ms);
            *average_ms += (ms - *average_ms) * AVERAGE_WEIGHT;
        }
    }
}

/// Predicted waits against those that followed, summed since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ForecastError {
    pub(crate) calls: u64,
    pub(crate) predicted_ms: u64,
    pub(crate) observed_ms: u64,
    /// Sum of the differences, without their signs.
    pub(crate) error_ms: u64,
}

impl ForecastError {
    /// Adds a call for which `predicted` was expected and that took `duration`.
    pub(crate) fn add(&mut self, predicted: Duration, duration: Duration, call_ms: f64) {
        let work = Duration::from_secs_f64(call_ms.max(0.0) / 1_000.0);
        let observed = duration.saturating_sub(work);
        self.calls += 1;
        self.predicted_ms += predicted.as_millis() as u64;
        self.observed_ms += observed.as_millis() as u64;
        self.error_ms += predicted.abs_diff(observed).as_millis() as u64;
    }
}
