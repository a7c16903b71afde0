use super::{Closed, Lease, lease_time};
use crate::admission::quota::Demand;
use crate::routes::Quota;
use googletest::prelude::*;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[googletest::test]
fn tokens_are_used_in_the_order_of_their_expiry_and_not_after_it() {
    let now = Instant::now();
    let mut lease = Lease::new(now);
    lease.put(now, now + MS * 400, 2);
    lease.put(now, now + MS * 200, 1);
    lease.put(now, now, 7);
    expect_that!(lease.tokens(now), eq(3));
    expect_that!(lease.take(now), some(eq(now + MS * 200)));
    expect_that!(lease.take(now + MS * 399), some(eq(now + MS * 400)));
    expect_that!(lease.take(now + MS * 400), none());
}

#[googletest::test]
fn a_refusal_holds_until_a_token_accrues_in_time() {
    let now = Instant::now();
    let mut lease = Lease::new(now);
    lease.close(Demand::Begin, Closed::new(now, MS * 300, MS * 900));
    expect_that!(lease.closed(now, Demand::Begin, MS * 100), some(anything()));
    expect_that!(lease.closed(now, Demand::UnderWay, MS * 100), none());
    expect_that!(
        lease.closed(now + MS * 200, Demand::Begin, MS * 100),
        none()
    );
    let closed = lease.closed(now, Demand::Begin, Duration::ZERO);
    let told = closed.map(|closed| {
        [0.0, 0.5, 1.0].map(|random| closed.retry_after(now + MS * 100, random).as_millis())
    });
    expect_that!(told, some(eq([200, 500, 800])));
}

#[googletest::test]
fn more_tokens_are_asked_for_ahead_of_need_by_a_busy_account() {
    let now = Instant::now();
    let mut idle = Lease::new(now);
    idle.record_use(now, Demand::UnderWay);
    expect_that!(idle.spare(now), eq(1));
    expect_that!(idle.should_ask_ahead(now), eq(false));
    let mut busy = Lease::new(now);
    let mut at = now;
    for _ in 0..200 {
        busy.record_use(at, Demand::UnderWay);
        at += MS * 10;
    }
    expect_that!(busy.spare(at), all!(ge(15), le(30)));
    expect_that!(busy.should_ask_ahead(at), eq(true));
    expect_that!(busy.should_ask_ahead(at + MS), eq(false));
    expect_that!(busy.take_unreported(), eq(200));
    expect_that!(busy.take_unreported(), eq(0));
}

// Guards against gateways that each begin with a token of their own: 127 would exceed the slack.
#[googletest::test]
fn a_gateways_own_part_begins_empty_and_is_half_of_its_share() {
    let now = Instant::now();
    let mut lease = Lease::new(now);
    let quota = Quota {
        rate_per_s: 100.0,
        burst: 100.0,
    };
    let mut taken = 0;
    for step in 0..1_000 {
        let at = now + MS * 10 * step;
        taken += usize::from(lease.take_fallback(at, quota, 10, MS * 400).is_some());
    }
    expect_that!(taken, all!(ge(48), le(50)));
    lease.end_fallback();
    let later = now + Duration::from_secs(60);
    expect_that!(lease.take_fallback(later, quota, 10, MS * 400), none());
}

#[googletest::test]
fn the_life_of_a_token_follows_from_the_tolerance() {
    expect_that!(lease_time(Duration::from_secs(5), 0.1), eq(MS * 400));
    expect_that!(lease_time(Duration::from_secs(2), 0.1), eq(MS * 160));
    expect_that!(lease_time(Duration::ZERO, 0.0), eq(MS * 100));
}
