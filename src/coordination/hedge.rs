//! Hedging: a second copy of a repeatable call that has not started.

use std::time::{Duration, Instant};

/// A call that has been sent once.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCandidate {
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether the endpoint has begun it.
    pub started: bool,
    /// Whether a second copy is out.
    pub hedged: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// Wait that was expected when it was sent.
    pub expected_wait: Duration,
}

/// Settings of hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeConfig {
    /// Multiple of the expected wait after which a second copy is worth its load.
    pub wait_factor: f64,
    /// Least time before a second copy.
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

/// Returns when a second copy may be sent; `None` for never.
///
/// The caller still pays for the copy from its retry budget and cancels the copy that lost.
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
    let patience = call.expected_wait.mul_f64(cfg.wait_factor);
    Some(call.sent_at + patience.max(cfg.min_delay))
}
