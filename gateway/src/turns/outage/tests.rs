//! Simulated clients of turns during an outage of the store, without a network.

use super::{max_wait, retry_delay};
use googletest::prelude::*;
use std::time::Duration;

/// Time budget of a request, its retries included.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of attempts that a client makes within the time budget.
const CLIENT_ATTEMPTS: usize = 2;

/// Number of times that a program sends a turn before it ends.
const PROGRAM_TRIES: usize = 3;

/// What became of a turn that began during an outage.
#[derive(Clone, Copy, Debug, Default)]
struct TurnOutcome {
    refusals: usize,
    /// Time from the store's recovery to the start of the turn, if it was not refused for good.
    started_after: Option<Duration>,
}

/// Simulates a turn that begins when the outage will last for `outage_left`.
fn simulate_turn(outage_left: Duration, rng: &mut fastrand::Rng) -> TurnOutcome {
    let mut outcome = TurnOutcome::default();
    let mut now = Duration::ZERO;
    for _ in 0..PROGRAM_TRIES {
        let deadline = now + CLIENT_TIMEOUT;
        for attempt in 1..=CLIENT_ATTEMPTS {
            let wait = max_wait(deadline - now);
            if now + wait >= outage_left {
                outcome.started_after = Some(now.saturating_sub(outage_left));
                return outcome;
            }
            now += wait;
            outcome.refusals += 1;
            if attempt < CLIENT_ATTEMPTS {
                now += retry_delay(deadline - now, rng.f64());
            }
        }
        now += Duration::from_millis(rng.u64(100..=400));
    }
    outcome
}

/// Simulates turns that begin at any time of an outage.
fn simulate_outage(duration: Duration, seed: u64) -> Vec<TurnOutcome> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let turns = (0..10_000).map(|_| {
        let outage_left = duration.mul_f64(rng.f64());
        simulate_turn(outage_left, &mut rng)
    });
    turns.collect()
}

// Guards against programs that end shortly before the store recovers, refused while engines idle.
#[googletest::test]
fn programs_outlive_an_outage_of_several_seconds() {
    for seed in 1..=3 {
        let turns = simulate_outage(Duration::from_secs(7), seed);
        let lost = turns.iter().filter(|turn| turn.started_after.is_none());
        let lost = lost.count();
        let refusals: usize = turns.iter().map(|turn| turn.refusals).sum();
        let mut delays: Vec<Duration> =
            turns.iter().filter_map(|turn| turn.started_after).collect();
        delays.sort_unstable();
        let late = delays[delays.len() * 9 / 10];
        println!("seed {seed}: {lost} lost, {refusals} refusals, nine in ten within {late:?}");
        expect_that!(lost, eq(0));
        // Fewer than three refusals a turn.
        expect_that!(refusals, lt(3 * turns.len()));
    }
}

// Guards against a turn that gets its place when too little time is left to run it.
#[googletest::test]
fn a_turn_that_waited_has_most_of_its_time_left() {
    expect_that!(max_wait(CLIENT_TIMEOUT), lt(CLIENT_TIMEOUT / 2));
}
