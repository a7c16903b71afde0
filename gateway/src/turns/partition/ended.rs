//! Turns that this gateway has ended recently.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Time after which an ended turn is forgotten. A request to reserve its tokens waits no longer: for the
/// store, for a frozen peer, or on a connection that is resent.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Maximum number of ended turns, about 1 MB; the oldest are forgotten first.
const MAX_TURNS: usize = 8_192;

/// Turns whose end this gateway has written. Requests of one turn may be executed in another order
/// than they were sent, so a request to reserve its tokens may come up later.
#[derive(Default)]
pub(super) struct EndedTurns {
    turns: HashSet<String>,
    /// Turns in the order in which they were added; each is in `turns`.
    queue: VecDeque<(Instant, String)>,
}

impl EndedTurns {
    pub(super) fn insert(&mut self, now: Instant, turn: &str) {
        while let Some((ended_at, _)) = self.queue.front() {
            let is_expired = now.saturating_duration_since(*ended_at) >= FORGET_AFTER;
            if !is_expired && self.queue.len() < MAX_TURNS {
                break;
            }
            if let Some((_, oldest)) = self.queue.pop_front() {
                self.turns.remove(&oldest);
            }
        }
        if self.turns.insert(turn.to_owned()) {
            self.queue.push_back((now, turn.to_owned()));
        }
    }

    pub(super) fn contains(&self, turn: &str) -> bool {
        self.turns.contains(turn)
    }
}
