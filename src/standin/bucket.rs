//! A token bucket for the stand-ins' rate limits.

use std::time::{Duration, Instant};

/// Permits that come back at a steady rate.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Permits that come back a second.
    rate_per_s: f64,
    /// The most that are kept.
    burst: f64,
    /// Permits left at `filled_at`.
    available: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub(crate) fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            available: burst,
            updated_at: now,
        }
    }

    /// Changes the rate.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    /// Takes one permit, or tells how long to wait for it.
    pub(crate) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let filled = self.available + elapsed.as_secs_f64() * self.rate_per_s;
        self.available = filled.min(self.burst);
        self.updated_at = now;
        if self.available >= 1.0 {
            self.available -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.available) / self.rate_per_s.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }
}

/// Returns a time to wait in whole milliseconds, rounded up.
pub(crate) fn retry_after_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis())
        .unwrap_or(u64::MAX)
        .saturating_add(1)
}
