use super::{FIRST_TIMEOUT, LEAST_TIMEOUT, SendTimes};
use googletest::prelude::*;
use std::time::Duration;

#[googletest::test]
fn a_lost_answer_is_noticed_soon_where_appends_are_quick() {
    let mut times = SendTimes::new();
    for _ in 0..30 {
        times.took(Duration::from_millis(12));
    }
    expect_that!(times.timeout(), eq(LEAST_TIMEOUT));
}

#[googletest::test]
fn a_slow_store_is_given_time() {
    let mut times = SendTimes::new();
    for _ in 0..30 {
        times.took(Duration::from_millis(12));
    }
    for _ in 0..3 {
        times.took(Duration::from_millis(400));
    }
    expect_that!(times.timeout(), eq(FIRST_TIMEOUT));
}
