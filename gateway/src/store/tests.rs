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
fn a_single_failure_is_no_loss_but_makes_lapses_doubtful() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.failed(start);
    expect_that!(health.succeeded(start + Duration::from_millis(10)), none());
    let window = Duration::from_secs(4);
    expect_that!(
        health.was_unstable(start + Duration::from_secs(1), window),
        eq(true)
    );
    expect_that!(
        health.was_unstable(start + Duration::from_secs(9), window),
        eq(false)
    );
}
