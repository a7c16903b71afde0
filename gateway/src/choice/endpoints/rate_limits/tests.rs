use super::RateLimits;
use galenapick::RequestRate;
use googletest::prelude::*;
use std::time::{Duration, Instant};

fn rate(requests_per_s: f64) -> Option<RequestRate> {
    Some(RequestRate::per_second(requests_per_s))
}

// Guards against an older answer that arrives later bringing back a limit that has ended.
#[googletest::test]
fn the_latest_statement_counts_in_whatever_order_they_arrive() {
    let mut limits = RateLimits::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    expect_that!(limits.observe(at(10), 1, rate(3.0)), eq(true));
    expect_that!(limits.observe(at(20), 1, rate(3.0)), eq(false));
    expect_that!(limits.observe(at(40), 1, None), eq(true));
    expect_that!(limits.observe(at(30), 1, rate(3.0)), eq(false));
    expect_that!(limits.rate(1), none());
    expect_that!(limits.observe(at(50), 1, rate(2.0)), eq(true));
    expect_that!(limits.rate(1), eq(rate(2.0)));
    expect_that!(limits.limited_count(), eq(1));
}

#[googletest::test]
fn limits_of_other_incarnations_are_independent() {
    let mut limits = RateLimits::default();
    let now = Instant::now();
    limits.observe(now, 1, rate(3.0));
    expect_that!(limits.rate(2), none());
    expect_that!(limits.observe(now, 2, None), eq(false));
    expect_that!(limits.limited_count(), eq(1));
}

// Guards against a limit that ends because nothing was sent to its endpoint for long.
#[googletest::test]
fn a_limit_holds_as_long_as_its_endpoint_is_listed() {
    let mut limits = RateLimits::default();
    let start = Instant::now();
    limits.observe(start, 1, rate(3.0));
    limits.observe(start, 2, rate(3.0));
    limits.observe(start, 3, rate(3.0));
    limits.observe(start, 3, None);
    limits.forget_old(start + Duration::from_secs(600), |lifetime| lifetime != 2);
    expect_that!(limits.rate(1), eq(rate(3.0)));
    expect_that!(limits.limited_count(), eq(1));
}
