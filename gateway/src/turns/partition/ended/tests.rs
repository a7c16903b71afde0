use super::{EndedTurns, FORGET_AFTER, MAX_TURNS};
use googletest::prelude::*;
use std::time::{Duration, Instant};

#[googletest::test]
fn a_turn_is_remembered_for_a_limited_time() {
    let now = Instant::now();
    let mut ended = EndedTurns::default();
    ended.insert(now, "a");
    ended.insert(now, "a");
    ended.insert(now + FORGET_AFTER - Duration::from_millis(1), "b");
    expect_that!(ended.contains("a"), eq(true));
    ended.insert(now + FORGET_AFTER, "c");
    expect_that!(
        ["a", "b", "c"].map(|turn| ended.contains(turn)),
        eq([false, true, true])
    );
}

#[googletest::test]
fn the_number_of_turns_is_bounded() {
    let now = Instant::now();
    let mut ended = EndedTurns::default();
    for number in 0..=MAX_TURNS {
        ended.insert(now, &number.to_string());
    }
    expect_that!(ended.contains("0"), eq(false));
    expect_that!(ended.contains("1"), eq(true));
    expect_that!(ended.turns.len(), eq(MAX_TURNS));
    expect_that!(ended.queue.len(), eq(MAX_TURNS));
}
