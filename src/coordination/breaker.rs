//! Circuit breaker of one endpoint.

use std::time::{Duration, Instant};

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BreakerConfig {
    /// Failures in a row that open it.
    pub failures: u32,
    /// Part of the recent calls that opens it when failed.
    pub failed_share: f64,
    /// Time for which it stays open at first; doubled by each failed probe.
    pub open_for: Duration,
    /// Longest time for which it stays open.
    pub open_at_most: Duration,
    /// Probes that must succeed in a row before it closes.
    pub probes: u32,
}

impl Default for BreakerConfig {
    fn default() -> Self {
        Self {
            failures: 3,
            failed_share: 0.5,
            open_for: Duration::from_secs(1),
            open_at_most: Duration::from_secs(30),
            probes: 2,
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
const SHARE_WEIGHT: f64 = 0.1;

/// Stops calls to an endpoint that fails, and lets probes through after a while.
///
/// ```
/// use galenapick::{Breaker, BreakerConfig};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut breaker = Breaker::new(BreakerConfig::default());
/// for _ in 0..3 {
///     breaker.failure(now);
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
    failures: u32,
    /// Smoothed part of calls that failed.
    failed_share: f64,
    /// Time for which the next opening lasts.
    open_for: Duration,
    /// Whether a probe is under way.
    probing: bool,
    /// Probes that succeeded in a row.
    probed: u32,
}

impl Breaker {
    /// Makes a closed breaker.
    pub fn new(cfg: BreakerConfig) -> Self {
        Self {
            cfg,
            state: BreakerState::Closed,
            failures: 0,
            failed_share: 0.0,
            open_for: cfg.open_for,
            probing: false,
            probed: 0,
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
            BreakerState::HalfOpen => !self.probing,
        }
    }

    /// Lets a call pass or not; a call that passes must end in one of the other methods.
    pub fn allow(&mut self, now: Instant) -> bool {
        if !self.would_allow(now) {
            return false;
        }
        if self.state != BreakerState::Closed {
            self.state = BreakerState::HalfOpen;
            self.probing = true;
        }
        true
    }

    /// Notes a call that was answered.
    pub fn success(&mut self) {
        self.failures = 0;
        self.failed_share *= 1.0 - SHARE_WEIGHT;
        if self.state != BreakerState::HalfOpen {
            return;
        }
        self.probing = false;
        self.probed += 1;
        if self.probed >= self.cfg.probes {
            self.close();
        }
    }

    /// Notes a call that failed.
    pub fn failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failed_share += (1.0 - self.failed_share) * SHARE_WEIGHT;
        match self.state {
            BreakerState::Closed => {
                let many = self.failures >= self.cfg.failures;
                if many || self.failed_share >= self.cfg.failed_share {
                    self.open(now);
                }
            }
            BreakerState::HalfOpen => {
                self.open_for = (self.open_for * 2).min(self.cfg.open_at_most);
                self.open(now);
            }
            BreakerState::Open(_) => (),
        }
    }

    /// Notes a call that ended without telling anything about the endpoint.
    pub fn withdrawn(&mut self) {
        self.probing = false;
    }

    fn open(&mut self, now: Instant) {
        self.state = BreakerState::Open(now + self.open_for);
        self.probing = false;
        self.probed = 0;
    }

    fn close(&mut self) {
        self.state = BreakerState::Closed;
        self.failures = 0;
        self.failed_share = 0.0;
        self.probed = 0;
        self.open_for = self.cfg.open_for;
    }
}
