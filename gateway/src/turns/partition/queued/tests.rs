use super::{FORGET_AFTER, QueuedReservations};
use googletest::prelude::*;
use std::time::{Duration, Instant};

#[googletest::test]
fn a_reservation_counts_for_its_program_until_the_index_contains_it() {
    let now = Instant::now();
    let mut queued = QueuedReservations::default();
    queued.push(now, "a", "p", 30);
    queued.push(now, "b", "p", 20);
    queued.push(now, "c", "q", 10);
    queued.forget(now, |turn| turn == "a");
    expect_that!(queued.tokens("p"), eq(20));
    expect_that!(queued.tokens("q"), eq(10));
}

// Guards against a budget that stays charged for a reservation whose record is never read here.
#[googletest::test]
fn a_reservation_that_never_reaches_the_index_is_forgotten() {
    let now = Instant::now();
    let mut queued = QueuedReservations::default();
    queued.push(now, "a", "p", 30);
    queued.forget(now + FORGET_AFTER - Duration::from_millis(1), |_| false);
    expect_that!(queued.tokens("p"), eq(30));
    queued.forget(now + FORGET_AFTER, |_| false);
    expect_that!(queued.tokens("p"), eq(0));
}
