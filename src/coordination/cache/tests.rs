use super::*;
use crate::protocol::engine::CacheEvent;
use googletest::prelude::*;
use std::time::{Duration, Instant};

fn event(sequence: u64, program: u128, held_tokens: u64) -> CacheEvent {
    CacheEvent {
        sequence,
        program,
        held_tokens,
    }
}

fn table(now: Instant) -> CacheTable {
    CacheTable::new(CacheTableConfig::default(), now)
}

#[gtest]
fn an_eviction_event_clears_the_estimate() {
    let now = Instant::now();
    let mut table = table(now);
    table.record_answer(now, "e1", 1, 1_000, 0, 10);
    table.apply_event(now, "e1", &event(1, 1, 0));
    expect_that!(table.holders(now, 1).is_empty(), eq(true));
    expect_that!(table.computed_tokens(1), eq(1_010));
}

#[gtest]
fn lost_events_lower_the_trust_and_answers_restore_it() {
    let now = Instant::now();
    let mut table = table(now);
    table.record_answer(now, "e1", 1, 1_000, 0, 0);
    table.apply_event(now, "e1", &event(1, 9, 5));
    table.apply_event(now, "e1", &event(5, 9, 5));
    let after_gap = table.holders(now, 1)[0].1;
    expect_that!(after_gap, lt(1_000));
    for _ in 0..50 {
        table.record_answer(now, "e1", 1, 1_000, 1_000, 0);
    }
    expect_that!(table.holders(now, 1)[0].1, gt(after_gap));
}

#[gtest]
fn an_event_older_than_the_last_one_is_ignored() {
    let now = Instant::now();
    let mut table = table(now);
    table.apply_event(now, "e1", &event(5, 9, 5));
    table.record_answer(now, "e1", 1, 1_000, 0, 0);
    table.apply_event(now, "e1", &event(4, 1, 0));
    expect_that!(table.holders(now, 1).len(), eq(1));
}

#[gtest]
fn the_table_is_bounded_and_evicts_the_least_recently_used() {
    let start = Instant::now();
    let cfg = CacheTableConfig {
        max_programs: 100,
        ..CacheTableConfig::default()
    };
    let mut table = CacheTable::new(cfg, start);
    for program in 0..1_000 {
        let now = start + Duration::from_millis(program as u64);
        table.record_answer(now, "e1", program, 100, 0, 0);
        expect_that!(table.len(), le(100));
    }
    expect_that!(table.computed_tokens(999), eq(100));
    expect_that!(table.computed_tokens(0), eq(0));
}

#[gtest]
fn removing_a_program_returns_all_its_holders() {
    let now = Instant::now();
    let mut table = table(now);
    table.record_answer(now, "e1", 1, 100, 0, 0);
    table.record_answer(now, "e2", 1, 100, 0, 0);
    let holders: Vec<_> = table.remove_program(1).into_iter().collect();
    expect_that!(holders, unordered_elements_are![eq("e1"), eq("e2")]);
    expect_that!(table.is_empty(), eq(true));
}

#[gtest]
fn a_release_is_repeated_until_the_engine_confirms_it() {
    let mut now = Instant::now();
    let mut releases = CacheReleases::new(ReleaseConfig::default());
    releases.begin_call(now, 1);
    releases.finish_call(now, 1);
    releases.release(now, 1);
    for _ in 0..5 {
        expect_that!(releases.take_due(now), elements_are![&1]);
        releases.on_release_answer(1, 10);
        now += Duration::from_secs(10);
    }
    releases.take_due(now);
    releases.on_release_answer(1, 0);
    expect_that!(releases.is_empty(), eq(true));
}

#[gtest]
fn idle_programs_that_no_owner_confirms_are_released() {
    let now = Instant::now();
    let mut releases = CacheReleases::new(ReleaseConfig::default());
    for program in 1..=3 {
        releases.begin_call(now, program);
    }
    releases.finish_call(now, 1);
    releases.finish_call(now, 2);
    let later = now + Duration::from_secs(119);
    expect_that!(releases.take_due(later).is_empty(), eq(true));
    releases.confirm(later, 2);
    let lapsed = now + Duration::from_secs(120);
    expect_that!(releases.take_due(lapsed), elements_are![&1]);
}

fn pause() -> ToolPause {
    ToolPause {
        held_tokens: 8_000,
        expected_pause: Duration::from_secs(1),
        return_probability: 0.9,
        cache_used: 0.95,
        lifetime: Duration::from_secs(10),
        wait_here: Duration::ZERO,
        wait_elsewhere: Duration::ZERO,
    }
}

#[gtest]
fn pause_actions_depend_on_pressure_duration_and_size() {
    let rule = PausePolicy::default();
    let long = Duration::from_secs(60);
    let cases = [
        (pause(), PauseAction::Hold),
        (
            ToolPause {
                expected_pause: long,
                ..pause()
            },
            PauseAction::Demote,
        ),
        (
            ToolPause {
                expected_pause: long,
                cache_used: 0.1,
                ..pause()
            },
            PauseAction::Hold,
        ),
        (
            ToolPause {
                expected_pause: long,
                held_tokens: 100,
                ..pause()
            },
            PauseAction::Drop,
        ),
        (
            ToolPause {
                return_probability: 0.0,
                ..pause()
            },
            PauseAction::Drop,
        ),
        (
            ToolPause {
                wait_here: long,
                ..pause()
            },
            PauseAction::Move,
        ),
    ];
    for (pause, action) in cases {
        expect_that!(rule.decide(&pause), eq(action), "{pause:?}");
    }
}
