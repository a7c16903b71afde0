//! Circuit breaker of one endpoint.

use std::time::{Duration, Instant};

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Failures in a row that open it.
    pub max_failures: u32,
    /// Part of the recent calls that opens it when failed.
    pub max_failed_share: f64,
    /// Time for which it stays open at first; doubled by each failed probe.
    pub initial_open: Duration,
    /// Longest time for which it stays open.
    pub max_open: Duration,
    /// Probes that must succeed in a row before it closes.
    pub required_probes: u32,
}

impl Default for BreakerConfig {
    fn default() -> Self {
        Self {
            max_failures: 3,
            max_failed_share: 0.5,
            initial_open: Duration::from_secs(1),
            max_open: Duration::from_secs(30),
            required_probes: 2,
        }
    }
}

/// State of a [`Breaker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BreakerState {
    /// Calls pass.
    Closed,
    /// No call passes until the time given.
    Open(Instant),
    /// One call at a time passes, as a probe.
    HalfOpen,
}

/// Weight of the newest call in the failed share.
const NEWEST_CALL_WEIGHT: f64 = 0.1;

/// Stops calls to an endpoint that fails, and lets probes through after a while.
///
/// ```
/// use galenapick::{Breaker, BreakerConfig};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut breaker = Breaker::new(BreakerConfig::default());
/// for _ in 0..3 {
///     breaker.record_failure(now);
/// }
/// assert!(!breaker.allow(now));
/// let later = now + Duration::from_secs(1);
/// assert!(breaker.allow(later), "a probe");
/// assert!(!breaker.allow(later), "only one at a time");
/// ```
#[derive(Clone, Debug)]
pub struct Breaker {
    cfg: BreakerConfig,
    state: BreakerState,
    /// Failures in a row while closed.
    consecutive_failures: u32,
    /// Smoothed part of calls that failed.
    failed_share: f64,
    /// Time for which the next opening lasts.
    next_open: Duration,
    /// Whether a probe is under way.
    is_probing: bool,
    /// Probes that succeeded in a row.
    successful_probes: u32,
}

impl Breaker {
    /// Makes a closed breaker.
    pub fn new(cfg: BreakerConfig) -> Self {
        Self {
            cfg,
            state: BreakerState::Closed,
            consecutive_failures: 0,
            failed_share: 0.0,
            next_open: cfg.initial_open,
            is_probing: false,
            successful_probes: 0,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Tells whether [`Breaker::allow`] would let a call pass.
    pub fn would_allow(&self, now: Instant) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open(until) => now >= until,
            BreakerState::HalfOpen => !self.is_probing,
        }
    }

    /// Lets a call pass or not; a call that passes must end in one of the other methods.
    pub fn allow(&mut self, now: Instant) -> bool {
        if !self.would_allow(now) {
            return false;
        }
        if self.state != BreakerState::Closed {
            self.state = BreakerState::HalfOpen;
            self.is_probing = true;
        }
        true
    }

    /// Notes a call that was answered.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failed_share *= 1.0 - NEWEST_CALL_WEIGHT;
        if self.state != BreakerState::HalfOpen {
            return;
        }
        self.is_probing = false;
        self.successful_probes += 1;
        if self.successful_probes >= self.cfg.required_probes {
            self.close();
        }
    }

    /// Notes a call that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failed_share += (1.0 - self.failed_share) * NEWEST_CALL_WEIGHT;
        match self.state {
            BreakerState::Closed => {
                let many = self.consecutive_failures >= self.cfg.max_failures;
                if many || self.failed_share >= self.cfg.max_failed_share {
                    self.open(now);
                }
            }
            BreakerState::HalfOpen => {
                self.next_open = (self.next_open * 2).min(self.cfg.max_open);
                self.open(now);
            }
            BreakerState::Open(_) => (),
        }
    }

    /// Notes a call that ended without telling anything about the endpoint.
    pub fn record_cancelled(&mut self) {
        self.is_probing = false;
    }

    fn open(&mut self, now: Instant) {
        self.state = BreakerState::Open(now + self.next_open);
        self.is_probing = false;
        self.successful_probes = 0;
    }

    fn close(&mut self) {
        self.state = BreakerState::Closed;
        self.consecutive_failures = 0;
        self.failed_share = 0.0;
        self.successful_probes = 0;
        self.next_open = self.cfg.initial_open;
    }
}
