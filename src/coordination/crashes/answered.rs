//! Requests that were answered recently.

use crate::protocol::crashes::Fingerprint;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time after a complete answer in which crashes are not blamed on the request. It covers the pause
/// between two copies of a popular request.
pub(super) const ANSWERED_RECENTLY: Duration = Duration::from_secs(10);

/// Maximum number of fingerprints that are remembered as answered recently; one takes about 90 bytes.
pub(super) const MAX_ANSWERED: usize = 4_096;

/// Requests that were answered completely within [`ANSWERED_RECENTLY`].
#[derive(Debug, Default)]
pub(super) struct AnsweredRequests {
    pub(super) last_answers: HashMap<Fingerprint, Instant>,
    /// One element for each request, with an answer that may not be its last one.
    pub(super) queue: VecDeque<(Instant, Fingerprint)>,
}

impl AnsweredRequests {
    pub(super) fn insert(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.last_answers.insert(fingerprint, now).is_none() {
            self.queue.push_back((now, fingerprint));
        }
        while let Some((at, oldest)) = self.queue.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= ANSWERED_RECENTLY;
            if !is_expired && self.queue.len() <= MAX_ANSWERED {
                break;
            }
            self.queue.pop_front();
            match self.last_answers.get(&oldest) {
                Some(last_answer) if *last_answer > at => {
                    self.queue.push_back((*last_answer, oldest));
                }
                _ => {
                    self.last_answers.remove(&oldest);
                }
            }
        }
    }

    pub(super) fn contains(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let answered_at = self.last_answers.get(&fingerprint);
        answered_at.is_some_and(|at| now.saturating_duration_since(*at) < ANSWERED_RECENTLY)
    }
}
