use super::{LOST_AFTER, PROBE_INTERVAL, StoreHealth, StorePaths};
use futures_lite::future;
use futures_util::future::join_all;
use googletest::prelude::*;
use smol::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

#[googletest::test]
fn the_store_is_lost_only_after_a_while_without_answers() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.record_failure(start);
    expect_that!(
        health.is_lost(start + Duration::from_millis(100)),
        eq(false)
    );
    health.record_failure(start + Duration::from_millis(500));
    let later = start + Duration::from_secs(1);
    expect_that!(health.is_lost(later), eq(true));
    expect_that!(
        health.record_success(later),
        some(eq(Duration::from_secs(1)))
    );
    expect_that!(health.is_lost(later), eq(false));
}

#[googletest::test]
fn a_single_failure_makes_no_entry_doubtful() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.record_failure(start);
    let later = start + Duration::from_millis(10);
    expect_that!(health.record_success(later), none());
    expect_that!(health.grace_until(later), none());
}

/// An endpoint that leaves 0.7 s after the store is back must get no work 2 s later, though
/// entries that lapsed meanwhile may still come back.
#[googletest::test]
fn entries_are_doubtful_from_the_return_of_the_store_on() {
    let health = StoreHealth::default();
    let start = Instant::now();
    health.record_failure(start);
    let back = start + Duration::from_secs(9);
    health.record_success(back);
    let left = back + Duration::from_millis(700);
    let until = health.grace_until(left).expect("doubtful");
    expect_that!(until, lt(left + Duration::from_secs(2)));
    expect_that!(until, ge(back + Duration::from_secs(2)));
    expect_that!(health.grace_until(until), none());
}

#[googletest::test]
fn while_the_store_is_lost_its_callers_try_one_after_the_other() {
    let paths = StorePaths::new("127.0.0.1:1".parse().expect("an address"));
    let tries = Cell::new(0);
    paths.health.record_failure(Instant::now() - LOST_AFTER);
    let callers = join_all([(); 20].map(|()| async {
        loop {
            paths.wait_for_probe_slot().await;
            tries.set(tries.get() + 1);
            Timer::after(Duration::from_millis(1)).await;
        }
    }));
    let enough = async {
        Timer::after(PROBE_INTERVAL * 5).await;
    };
    let callers = async {
        callers.await;
    };
    smol::block_on(future::or(callers, enough));
    expect_that!(tries.get(), all![ge(2), le(6)]);
}

#[googletest::test]
fn all_callers_go_on_when_the_store_is_back() {
    let store = "127.0.0.1:1".parse().expect("an address");
    let paths = StorePaths::new(store);
    paths.health.record_failure(Instant::now() - LOST_AFTER);
    let callers = join_all([(); 20].map(|()| paths.wait_for_probe_slot()));
    let back = async {
        Timer::after(Duration::from_millis(5)).await;
        paths.record_answer(store);
        Timer::after(PROBE_INTERVAL / 3).await;
        false
    };
    let all = async {
        callers.await;
        true
    };
    expect_that!(smol::block_on(future::or(all, back)), eq(true));
}
