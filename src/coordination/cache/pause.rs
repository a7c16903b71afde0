//! What to do with a program's cache while it waits for a tool.

use std::time::Duration;

/// A program that pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToolPause {
    /// Tokens that the engine holds for it.
    pub held_tokens: u64,
    /// Time until its next call, as far as known.
    pub expected_pause: Duration,
    /// Probability that there is a next call.
    pub return_probability: f64,
    /// Part of the engine's cache in use.
    pub cache_used: f64,
    /// Time for which the engine keeps an unused prefix, as far as known.
    pub lifetime: Duration,
    /// Expected wait at this engine.
    pub wait_here: Duration,
    /// Least expected wait at another engine that serves the model.
    pub wait_elsewhere: Duration,
}

/// What becomes of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum PauseAction {
    /// It stays in the engine.
    Hold,
    /// It is exported to the sidecar's memory and released in the engine.
    Demote,
    /// It is exported and imported at another engine.
    Move,
    /// It is released.
    Drop,
}

/// Rule for [`PauseAction`]s.
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
    /// Part of the cache in use from which holding costs others.
    pub pressure_threshold: f64,
    /// Probability of a next call below which the cache is dropped under pressure.
    pub min_return_probability: f64,
    /// Tokens below which computing again is cheaper than copying.
    pub min_copy_tokens: u64,
    /// Speed of a copy, in tokens a second.
    pub copy_tokens_per_s: f64,
    /// Prefill speed, in tokens a second.
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
    /// Decides for one program.
    pub fn decide(&self, pause: &ToolPause) -> PauseAction {
        let copy_pays = self.is_copy_faster(pause);
        if copy_pays && self.is_move_faster(pause) {
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
        if copy_pays {
            PauseAction::Demote
        } else {
            PauseAction::Drop
        }
    }

    /// Tells whether copying twice is faster than computing once.
    fn is_copy_faster(&self, pause: &ToolPause) -> bool {
        let faster = self.copy_tokens_per_s > 2.0 * self.prefill_tokens_per_s;
        faster && pause.held_tokens >= self.min_copy_tokens
    }

    /// Tells whether the wait saved elsewhere is longer than the copy.
    fn is_move_faster(&self, pause: &ToolPause) -> bool {
        let copy_s = 2.0 * pause.held_tokens as f64 / self.copy_tokens_per_s;
        let saved = pause.wait_here.saturating_sub(pause.wait_elsewhere);
        saved.as_secs_f64() > copy_s && saved > pause.expected_pause
    }
}
