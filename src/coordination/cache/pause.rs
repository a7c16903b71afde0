//! Decides what happens to a program's cache while the program waits for a tool.

use std::time::Duration;

/// A program's pause during a tool call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToolPause {
    /// Tokens that the engine caches for the program.
    pub held_tokens: u64,
    /// Expected time until the program's next call.
    pub expected_pause: Duration,
    /// Probability that the program makes another call.
    pub return_probability: f64,
    /// Fraction of the engine's cache that is in use.
    pub cache_used: f64,
    /// Expected time for which the engine keeps an unused prefix.
    pub lifetime: Duration,
    /// Expected wait of a call at this engine.
    pub wait_here: Duration,
    /// Shortest expected wait at another engine that serves the model.
    pub wait_elsewhere: Duration,
}

/// What to do with the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum PauseAction {
    /// Keep it in the engine.
    Hold,
    /// Export it to the sidecar's memory and release it in the engine.
    Demote,
    /// Export it and import it at another engine.
    Move,
    /// Release it.
    Drop,
}

/// Policy that chooses a [`PauseAction`].
///
/// ```
/// use galenapick::{PauseAction, PausePolicy, ToolPause};
/// use std::time::Duration;
///
/// let pause = ToolPause {
///     held_tokens: 8_000,
///     expected_pause: Duration::from_secs(1),
///     return_probability: 0.9,
///     cache_used: 0.5,
///     lifetime: Duration::from_secs(60),
///     wait_here: Duration::ZERO,
///     wait_elsewhere: Duration::ZERO,
/// };
/// assert_eq!(PausePolicy::default().decide(&pause), PauseAction::Hold);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PausePolicy {
    /// Fraction of the cache in use from which on holding a prefix displaces those of other
    /// programs.
    pub pressure_threshold: f64,
    /// Probability of another call below which the cache is dropped once the cache is that full.
    pub min_return_probability: f64,
    /// Number of tokens below which computing them again is cheaper than copying.
    pub min_copy_tokens: u64,
    /// Speed of a copy in tokens per second.
    pub copy_tokens_per_s: f64,
    /// Prefill speed in tokens per second.
    pub prefill_tokens_per_s: f64,
}

impl Default for PausePolicy {
    fn default() -> Self {
        Self {
            pressure_threshold: 0.9,
            min_return_probability: 0.2,
            min_copy_tokens: 2_048,
            copy_tokens_per_s: 100_000.0,
            prefill_tokens_per_s: 8_000.0,
        }
    }
}

impl PausePolicy {
    /// Returns the action for a pause.
    pub fn decide(&self, pause: &ToolPause) -> PauseAction {
        let is_copy_faster = self.is_copy_faster(pause);
        if is_copy_faster && self.is_move_faster(pause) {
            return PauseAction::Move;
        }
        if pause.cache_used < self.pressure_threshold {
            return PauseAction::Hold;
        }
        if pause.return_probability < self.min_return_probability {
            return PauseAction::Drop;
        }
        if pause.expected_pause <= pause.lifetime {
            return PauseAction::Hold;
        }
        if is_copy_faster {
            PauseAction::Demote
        } else {
            PauseAction::Drop
        }
    }

    /// Returns whether copying twice, out and back in, is faster than computing the tokens again.
    fn is_copy_faster(&self, pause: &ToolPause) -> bool {
        let is_faster = self.copy_tokens_per_s > 2.0 * self.prefill_tokens_per_s;
        is_faster && pause.held_tokens >= self.min_copy_tokens
    }

    /// Returns whether moving the cache saves more waiting time than it takes, and more than the
    /// pause lasts.
    fn is_move_faster(&self, pause: &ToolPause) -> bool {
        let copy_s = 2.0 * pause.held_tokens as f64 / self.copy_tokens_per_s;
        let saved_wait = pause.wait_here.saturating_sub(pause.wait_elsewhere);
        saved_wait.as_secs_f64() > copy_s && saved_wait > pause.expected_pause
    }
}
