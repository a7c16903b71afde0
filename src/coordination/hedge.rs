//! Hedging: sending a second copy of a repeatable call that has not started.

use crate::coordination::average::MovingAverage;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A call that has been sent.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCandidate {
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the endpoint has started the call.
    pub started: bool,
    /// Whether a second copy has been sent.
    pub hedged: bool,
    /// Time at which the call was sent.
    pub sent_at: Instant,
    /// Expected wait at the endpoint when the call was sent.
    pub expected_wait: Duration,
}

/// Settings that decide when to send a second copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Multiple of the expected wait after which a second copy is worth its additional load.
    pub wait_factor: f64,
    /// Minimum delay before a second copy.
    pub min_delay: Duration,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self {
            wait_factor: 3.0,
            min_delay: Duration::from_millis(500),
        }
    }
}

/// Returns the earliest time for a second copy, or `None` if none may be sent.
///
/// The caller must still spend its retry budget on the copy, and cancel the copy that answers
/// later.
///
/// ```
/// use galenapick::{HedgeCandidate, HedgeConfig, hedge_at};
/// use std::time::{Duration, Instant};
///
/// let call = HedgeCandidate {
///     repeatable: true,
///     started: false,
///     hedged: false,
///     sent_at: Instant::now(),
///     expected_wait: Duration::ZERO,
/// };
/// assert!(hedge_at(&call, &HedgeConfig::default()).is_some());
/// let started = HedgeCandidate { started: true, ..call };
/// assert!(hedge_at(&started, &HedgeConfig::default()).is_none());
/// ```
pub fn hedge_at(call: &HedgeCandidate, cfg: &HedgeConfig) -> Option<Instant> {
    if !call.repeatable || call.started || call.hedged {
        return None;
    }
    let delay = call.expected_wait.mul_f64(cfg.wait_factor);
    Some(call.sent_at + delay.max(cfg.min_delay))
}

/// Run time of a service call that is expected before the first answer.
const DEFAULT_RUN: Duration = Duration::from_secs(1);

/// Maximum number of averages.
const MAX_AVERAGES: usize = 16_384;

/// How long the calls of each operation of a service usually run.
///
/// ```
/// use galenapick::RunTimes;
/// use std::time::Duration;
///
/// let mut run_times = RunTimes::default();
/// run_times.record("bank-core", "lookup", Duration::from_millis(20));
/// assert_eq!(run_times.expected("bank-core", "lookup"), Duration::from_millis(20));
/// assert_eq!(run_times.expected("bank-core", "report"), Duration::from_secs(1));
/// ```
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Average seconds by service and operation.
    averages_s: HashMap<(String, String), MovingAverage>,
}

impl RunTimes {
    /// Adds the time that an answered call took. A full table is cleared first so that it cannot grow
    /// without limit.
    pub fn record(&mut self, service: &str, operation: &str, run_time: Duration) {
        let key = (service.to_owned(), operation.to_owned());
        if self.averages_s.len() >= MAX_AVERAGES && !self.averages_s.contains_key(&key) {
            self.averages_s.clear();
        }
        let average = self.averages_s.entry(key).or_default();
        average.add(run_time.as_secs_f64());
    }

    /// Returns the average time of an operation's calls, or a default before its first answer.
    pub fn expected(&self, service: &str, operation: &str) -> Duration {
        let key = (service.to_owned(), operation.to_owned());
        let average_s = self.averages_s.get(&key).and_then(MovingAverage::get);
        average_s.map_or(DEFAULT_RUN, Duration::from_secs_f64)
    }
}
