//! Prefill speed of an endpoint over all its streams.

use crate::coordination::average::MovingAverage;
use std::time::{Duration, Instant};

/// Prefill speed assumed before the first measurement, in tokens per second.
const DEFAULT_TOKENS_PER_S: f64 = 8_000.0;

/// Minimum busy time over which the speed is measured.
const MIN_WINDOW: Duration = Duration::from_millis(250);

/// Measures the prompt tokens computed per second of busy time, that is, while there are prompts to
/// compute.
#[derive(Debug, Default)]
pub(super) struct PrefillMeter {
    /// Time since which prompts are being computed; `None` if there are none.
    busy_since: Option<Instant>,
    busy: Duration,
    tokens: u64,
    tokens_per_s: MovingAverage,
}

impl PrefillMeter {
    /// Records that the computation of a prompt begins.
    pub(super) fn begin(&mut self, now: Instant) {
        self.busy_since.get_or_insert(now);
    }

    /// Records that a prompt with this many uncached tokens has been computed. `has_others` tells
    /// whether others are still being computed.
    pub(super) fn finish(&mut self, now: Instant, tokens: u64, has_others: bool) {
        if let Some(since) = self.busy_since {
            self.busy += now.saturating_duration_since(since);
        }
        self.busy_since = has_others.then_some(now);
        self.tokens += tokens;
        if self.busy >= MIN_WINDOW {
            let speed = self.tokens as f64 / self.busy.as_secs_f64();
            self.tokens_per_s.add(speed);
            self.tokens = 0;
            self.busy = Duration::ZERO;
        }
    }

    /// Returns the speed in tokens per second.
    pub(super) fn tokens_per_s(&self) -> f64 {
        let measured = self.tokens_per_s.get().filter(|speed| *speed > 0.0);
        measured.unwrap_or(DEFAULT_TOKENS_PER_S)
    }
}
