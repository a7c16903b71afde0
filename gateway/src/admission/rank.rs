//! Order in which requests that wait for room are sent.
//!
//! What goes last is what costs callers least: first come the programs that can still end in time,
//! the urgent ones before the others and those with the least slack first; the late ones follow.

use std::time::{Duration, Instant};

/// What is known of a waiting request and of its program.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    /// Priority; 0 is the highest.
    pub(crate) priority: u32,
    /// When the program should be finished; `None` if that is not known.
    pub(crate) finish_at: Option<Instant>,
    /// Estimated time that the rest of the program takes without waits, this request included.
    pub(crate) work_left: Duration,
    /// Number of the program's turns that were answered.
    pub(crate) turns_done: u32,
    /// Tokens of the request; those with fewer go first among equals.
    pub(crate) tokens: u32,
}

impl Need {
    /// Returns the latest moment at which the program can go on and still end in time.
    pub(crate) fn latest_start(&self) -> Option<Instant> {
        let finish_at = self.finish_at?;
        finish_at.checked_sub(self.work_left).or(Some(finish_at))
    }

    /// Returns whether the program ends late even if it goes on now.
    pub(crate) fn is_late(&self, now: Instant) -> bool {
        self.latest_start().is_some_and(|latest| latest < now)
    }
}

/// Place in the order; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    /// Latest start in steps, so that work already put in decides between nearly equal ones.
    latest_start_step: u64,
    /// Turns that are not done, up to a bound; one with much done goes before one that has just begun.
    undone: u32,
    tokens: u32,
    /// Number of the request, which makes ranks different.
    pub(crate) number: u64,
}

/// Difference in slack below which work already put in decides. Waits are not predicted better.
const SLACK_STEP_MS: u128 = 50;

impl Rank {
    /// Returns the rank of a request, with moments counted from `epoch`. `wait_until` stands in for
    /// the latest start of a request without a known finish.
    pub(crate) fn new(need: &Need, epoch: Instant, wait_until: Instant, number: u64) -> Self {
        let latest = need.latest_start().unwrap_or(wait_until);
        let step = latest.saturating_duration_since(epoch).as_millis() / SLACK_STEP_MS;
        Self {
            priority: need.priority,
            latest_start_step: u64::try_from(step).unwrap_or(u64::MAX),
            undone: u32::MAX - need.turns_done,
            tokens: need.tokens,
            number,
        }
    }
}
