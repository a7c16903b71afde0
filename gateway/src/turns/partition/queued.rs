//! Reservations of this gateway that are not in the index yet.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Time after which a reservation is forgotten although the index does not contain it. The gateway
/// may have stopped reading the partition, or the record may have been deleted since. Whether a
/// reservation is valid is decided by the order of the records in any case.
const FORGET_AFTER: Duration = Duration::from_secs(30);

struct QueuedReservation {
    turn: String,
    program: String,
    max_tokens: u64,
    queued_at: Instant,
}

/// Reservations between their submission and the time at which the index contains them.
#[derive(Default)]
pub(super) struct QueuedReservations(Vec<QueuedReservation>);

impl QueuedReservations {
    pub(super) fn push(&mut self, now: Instant, turn: &str, program: &str, max_tokens: u64) {
        self.0.push(QueuedReservation {
            turn: turn.to_owned(),
            program: program.to_owned(),
            max_tokens,
            queued_at: now,
        });
    }

    /// Forgets reservations of turns that the index contains, and old ones.
    pub(super) fn forget(&mut self, now: Instant, is_in_index: impl Fn(&str) -> bool) {
        self.0.retain(|reservation| {
            let age = now.saturating_duration_since(reservation.queued_at);
            age < FORGET_AFTER && !is_in_index(&reservation.turn)
        });
    }

    /// Returns the tokens reserved for a program.
    pub(super) fn tokens(&self, program: &str) -> u64 {
        let reservations = self.0.iter();
        let of_program = reservations.filter(|reservation| reservation.program == program);
        of_program.map(|reservation| reservation.max_tokens).sum()
    }
}
