//! Recent answers of an endpoint.

use std::time::{Duration, Instant};

/// Number of standard deviations by which the estimated share is lowered before it is compared.
const CONFIDENCE: f64 = 3.0;

/// Time in which the weight of an answer halves. An endpoint that gets its share of the calls of a
/// busy service answers about ten of them meanwhile.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Recent answers of an endpoint, each with a weight that halves in [`HALF_LIFE`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Recent {
    pub(super) answers: f64,
    /// Those of `answers` that were failures.
    pub(super) failures: f64,
    /// Time of the weights.
    pub(super) at: Instant,
}

impl Recent {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            answers: 0.0,
            failures: 0.0,
            at: now,
        }
    }

    /// Returns the same answers with their weights at a later time.
    pub(super) fn aged(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at);
        let weight = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Self {
            answers: self.answers * weight,
            failures: self.failures * weight,
            at: now,
        }
    }

    pub(super) fn add(&mut self, other: &Self, sign: f64) {
        let now = self.at.max(other.at);
        let (own, other) = (self.aged(now), other.aged(now));
        self.answers = (own.answers + sign * other.answers).max(0.0);
        self.failures = (own.failures + sign * other.failures).clamp(0.0, self.answers);
        self.at = now;
    }

    /// Returns the share of failures that the answers exceed for certain; the lower bound of Wilson's
    /// interval.
    pub(super) fn certain_share(&self) -> f64 {
        let answers = self.answers;
        if answers <= 0.0 {
            return 0.0;
        }
        let share = self.failures / answers;
        let squared = CONFIDENCE * CONFIDENCE;
        let deviation =
            (share * (1.0 - share) / answers + squared / (4.0 * answers * answers)).sqrt();
        (share + squared / (2.0 * answers) - CONFIDENCE * deviation) / (1.0 + squared / answers)
    }

    /// Returns the share of failures at which a further answer is expected to be one (Jeffreys' prior).
    pub(super) fn expected_share(&self) -> f64 {
        (self.failures + 0.5) / (self.answers + 1.0)
    }

    /// Returns the negative logarithm of a bound on the chance of so many failures if each answer is
    /// one with this chance (Chernoff's, which holds for weights up to 1 as well).
    pub(super) fn evidence_against(&self, share: f64) -> f64 {
        let answers = self.answers;
        if answers <= 0.0 || self.failures <= answers * share {
            return 0.0;
        }
        let successes = answers - self.failures;
        let term = |count: f64, expected: f64| {
            if count > 0.0 {
                count * (count / expected).ln()
            } else {
                0.0
            }
        };
        term(self.failures, answers * share) + term(successes, answers * (1.0 - share))
    }
}
