//! A token bucket for the rate limits of the stand-ins.

use std::time::{Duration, Instant};

/// A token bucket: permits accumulate at a constant rate up to a maximum.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Permits added per second.
    rate_per_s: f64,
    /// Maximum number of accumulated permits.
    burst: f64,
    /// Permits available at `updated_at`.
    available: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
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

    /// Takes one permit, or returns the time until one is available.
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

/// Converts a wait to whole milliseconds, rounded up so that a permit is available afterwards.
pub(crate) fn retry_after_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis())
        .unwrap_or(u64::MAX)
        .saturating_add(1)
}
