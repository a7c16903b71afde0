use super::CheckIns;
use googletest::prelude::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const CUT_OFF: u64 = 1;

const MS: Duration = Duration::from_millis(1);

fn crashed() -> HashSet<u64> {
    HashSet::from([CUT_OFF])
}

// Guards against the last check-in of a crashed endpoint, which is read or appended after the crash.
#[googletest::test]
fn two_check_ins_that_were_appended_after_the_crash_prove_that_there_was_none() {
    let now = Instant::now();
    let mut check_ins = CheckIns::default();
    check_ins.reach_end(now);
    check_ins.watch(now + MS, &crashed());
    // These may precede the crash.
    for _ in 0..3 {
        expect_that!(check_ins.record(CUT_OFF), eq(false));
    }
    check_ins.reach_end(now + MS * 2);
    expect_that!(check_ins.record(CUT_OFF), eq(false));
    expect_that!(check_ins.record(CUT_OFF + 1), eq(false));
    expect_that!(check_ins.record(CUT_OFF), eq(true));
}

#[googletest::test]
fn a_lifetime_that_no_longer_counts_as_crashed_is_forgotten() {
    let now = Instant::now();
    let mut check_ins = CheckIns::default();
    check_ins.watch(now, &crashed());
    check_ins.reach_end(now + MS);
    check_ins.record(CUT_OFF);
    check_ins.watch(now + MS, &HashSet::new());
    check_ins.watch(now + MS * 2, &crashed());
    expect_that!(check_ins.record(CUT_OFF), eq(false));
    expect_that!(check_ins.record(CUT_OFF), eq(false));
}
