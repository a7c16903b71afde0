//! Circuit breaker that stops calls to a failing endpoint.

use std::time::{Duration, Instant};

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Consecutive failures that open the breaker.
    pub max_failures: u32,
    /// Fraction of failed recent calls that opens the breaker.
    pub max_failed_share: f64,
    /// Time for which the breaker stays open at first; doubled by each failed probe.
    pub initial_open: Duration,
    /// Maximum time for which the breaker stays open.
    pub max_open: Duration,
    /// Consecutive successful probes that close the breaker.
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
    /// All calls are allowed.
    Closed,
    /// No call is allowed until the given time.
    Open(Instant),
    /// One call at a time is allowed, as a probe.
    HalfOpen,
}

/// Weight of the newest call in the fraction of failed calls.
const NEWEST_CALL_WEIGHT: f64 = 0.1;

/// Blocks calls to a failing endpoint, and allows probes after some time.
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
    /// Failures since the last success.
    consecutive_failures: u32,
    /// Moving average of the fraction of failed calls.
    failed_share: f64,
    /// Time for which the breaker stays open when it opens next.
    next_open: Duration,
    /// Whether a probe is in flight.
    is_probing: bool,
    /// Consecutive successful probes.
    successful_probes: u32,
}

impl Breaker {
    /// Creates a closed breaker.
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

    /// Returns the state, which stays open after its time has passed until a call is allowed.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns whether [`Breaker::allow`] would allow a call.
    pub fn would_allow(&self, now: Instant) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open(until) => now >= until,
            BreakerState::HalfOpen => !self.is_probing,
        }
    }

    /// Returns whether a call is allowed. The end of an allowed call must be reported by one of the
    /// `record` methods.
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

    /// Records a successful call.
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

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failed_share += (1.0 - self.failed_share) * NEWEST_CALL_WEIGHT;
        match self.state {
            BreakerState::Closed => {
                let has_too_many = self.consecutive_failures >= self.cfg.max_failures;
                if has_too_many || self.failed_share >= self.cfg.max_failed_share {
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

    /// Records a call that ended without showing whether the endpoint is healthy.
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
