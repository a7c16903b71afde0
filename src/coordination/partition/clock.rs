//! Estimate of the log's time from the timestamps of its records.

use crate::ids::Offset;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of samples per retention time of the log.
const SAMPLES_PER_RETENTION: u32 = 256;

/// Estimates the log's current time, and which offsets are older than a given age.
pub(super) struct LogClock {
    /// Latest timestamp of a record, in Unix milliseconds.
    latest_ms: u64,
    /// Local time of the last observation.
    observed_at: Option<Instant>,
    sample_interval_ms: u64,
    /// Offsets and timestamps of some records, oldest first.
    samples: VecDeque<(Offset, u64)>,
}

impl LogClock {
    /// Creates a clock for a log that keeps records for `retention`.
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            latest_ms: 0,
            observed_at: None,
            sample_interval_ms: (retention.as_millis() as u64 / u64::from(SAMPLES_PER_RETENTION))
                .max(1),
            samples: VecDeque::new(),
        }
    }

    /// Observes the timestamp of a record.
    pub(super) fn observe(&mut self, now: Instant, offset: Offset, at_ms: u64) {
        self.latest_ms = self.latest_ms.max(at_ms);
        self.observed_at = Some(now);
        let due = self.samples.back().is_none_or(|last| {
            let (sampled, sampled_ms) = *last;
            offset > sampled && at_ms >= sampled_ms + self.sample_interval_ms
        });
        if !due {
            return;
        }
        self.samples.push_back((offset, at_ms));
        while self.samples.len() > 2 * SAMPLES_PER_RETENTION as usize {
            self.samples.pop_front();
        }
    }

    /// Returns the log's estimated current time in milliseconds, or `None` before the first record.
    pub(super) fn now_ms(&self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.observed_at?);
        Some(self.latest_ms + age.as_millis() as u64)
    }

    /// Returns an offset that comes after every record older than `age`.
    pub(super) fn cutoff_offset(&self, now: Instant, age: Duration) -> Offset {
        let now_ms = self.now_ms(now).unwrap_or(0);
        let limit_ms = now_ms.saturating_sub(age.as_millis() as u64);
        let first_younger = self.samples.iter().find(|sample| sample.1 >= limit_ms);
        match first_younger.or(self.samples.back()) {
            Some(sample) => sample.0,
            None => 0,
        }
    }
}
