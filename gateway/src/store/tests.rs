use super::StoreHealth;
use googletest::prelude::*;
use std::time::{Duration, Instant};

#[googletest::test]
fn the_store_is_lost_only_after_a_while_without_answers() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.failed(start);
    expect_that!(
        health.is_lost(start + Duration::from_millis(100)),
        eq(false)
    );
    health.failed(start + Duration::from_millis(500));
    let later = start + Duration::from_secs(1);
    expect_that!(health.is_lost(later), eq(true));
    expect_that!(health.succeeded(later), some(eq(Duration::from_secs(1))));
    expect_that!(health.is_lost(later), eq(false));
}

#[googletest::test]
fn a_single_failure_makes_no_entry_doubtful() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.failed(start);
    let later = start + Duration::from_millis(10);
    expect_that!(health.succeeded(later), none());
    expect_that!(health.doubtful_until(later), none());
}

/// An endpoint that leaves 0.7 s after the store is back must get no work 2 s later, though
/// entries that lapsed meanwhile may still come back.
#[googletest::test]
fn entries_are_doubtful_from_the_return_of_the_store_on() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.failed(start);
    let back = start + Duration::from_secs(9);
    health.succeeded(back);
    let left = back + Duration::from_millis(700);
    let until = health.doubtful_until(left).expect("doubtful");
    expect_that!(until, lt(left + Duration::from_secs(2)));
    expect_that!(until, ge(back + Duration::from_secs(2)));
    expect_that!(health.doubtful_until(until), none());
}
