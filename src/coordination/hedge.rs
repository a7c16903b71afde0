//! Hedging: sending a second copy of a repeatable call that has not started.

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
