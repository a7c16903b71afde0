//! What to do with a program's cache while it waits for a tool.

use std::time::Duration;

/// A program that pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    /// Tokens that the engine holds for it.
    pub held_tokens: u64,
    /// Time until its next call, as far as known.
    pub expected: Duration,
    /// Probability that there is a next call.
    pub returns: f64,
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
/// use galenapick::{Pause, PauseAction, PauseRule};
/// use std::time::Duration;
///
/// let pause = Pause {
///     held_tokens: 8_000,
///     expected: Duration::from_secs(1),
///     returns: 0.9,
///     cache_used: 0.5,
///     lifetime: Duration::from_secs(60),
///     wait_here: Duration::ZERO,
///     wait_elsewhere: Duration::ZERO,
/// };
/// assert_eq!(PauseRule::default().decide(&pause), PauseAction::Hold);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseRule {
    /// Part of the cache in use from which holding costs others.
    pub pressure: f64,
    /// Probability of a next call below which the cache is dropped under pressure.
    pub returns_at_least: f64,
    /// Tokens below which computing again is cheaper than copying.
    pub copy_tokens: u64,
    /// Speed of a copy, in tokens a second.
    pub copy_tokens_per_s: f64,
    /// Prefill speed, in tokens a second.
    pub prefill_tokens_per_s: f64,
}

impl Default for PauseRule {
    fn default() -> Self {
        Self {
            pressure: 0.9,
            returns_at_least: 0.2,
            copy_tokens: 2_048,
            copy_tokens_per_s: 100_000.0,
            prefill_tokens_per_s: 8_000.0,
        }
    }
}

impl PauseRule {
    /// Decides for one program.
    pub fn decide(&self, pause: &Pause) -> PauseAction {
        let copy_pays = self.copy_pays(pause);
        if copy_pays && self.move_pays(pause) {
            return PauseAction::Move;
        }
        if pause.cache_used < self.pressure {
            return PauseAction::Hold;
        }
        if pause.returns < self.returns_at_least {
            return PauseAction::Drop;
        }
        if pause.expected <= pause.lifetime {
            return PauseAction::Hold;
        }
        if copy_pays {
            PauseAction::Demote
        } else {
            PauseAction::Drop
        }
    }

    /// Tells whether copying twice is faster than computing once.
    fn copy_pays(&self, pause: &Pause) -> bool {
        let faster = self.copy_tokens_per_s > 2.0 * self.prefill_tokens_per_s;
        faster && pause.held_tokens >= self.copy_tokens
    }

    /// Tells whether the wait saved elsewhere is longer than the copy.
    fn move_pays(&self, pause: &Pause) -> bool {
        let copy_s = 2.0 * pause.held_tokens as f64 / self.copy_tokens_per_s;
        let saved = pause.wait_here.saturating_sub(pause.wait_elsewhere);
        saved.as_secs_f64() > copy_s && saved > pause.expected
    }
}
