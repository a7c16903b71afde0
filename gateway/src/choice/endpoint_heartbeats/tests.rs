use super::EndpointHeartbeats;
use googletest::prelude::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const CUT_OFF: u64 = 1;

const MS: Duration = Duration::from_millis(1);

fn crashed() -> HashSet<u64> {
    HashSet::from([CUT_OFF])
}

// Guards against the last heartbeat of a crashed endpoint, which is read or appended after the crash.
#[googletest::test]
fn two_heartbeats_that_were_appended_after_the_crash_prove_that_there_was_none() {
    let now = Instant::now();
    let mut heartbeats = EndpointHeartbeats::default();
    heartbeats.reach_end(now);
    heartbeats.watch(now + MS, &crashed());
    // These may precede the crash.
    for _ in 0..3 {
        expect_that!(heartbeats.record(CUT_OFF), eq(false));
    }
    heartbeats.reach_end(now + MS * 2);
    expect_that!(heartbeats.record(CUT_OFF), eq(false));
    expect_that!(heartbeats.record(CUT_OFF + 1), eq(false));
    expect_that!(heartbeats.record(CUT_OFF), eq(true));
}

#[googletest::test]
fn a_lifetime_that_no_longer_counts_as_crashed_is_forgotten() {
    let now = Instant::now();
    let mut heartbeats = EndpointHeartbeats::default();
    heartbeats.watch(now, &crashed());
    heartbeats.reach_end(now + MS);
    heartbeats.record(CUT_OFF);
    heartbeats.watch(now + MS, &HashSet::new());
    heartbeats.watch(now + MS * 2, &crashed());
    expect_that!(heartbeats.record(CUT_OFF), eq(false));
    expect_that!(heartbeats.record(CUT_OFF), eq(false));
}
