use super::super::{Admission, Crashes, Fingerprint, Fingerprints};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const COPY: Fingerprints = [Fingerprint::Prefix(7), Fingerprint::Request(7)];

const CHECK_TIME: Duration = Duration::from_secs(2);

fn suspect(crashes: &mut Crashes, now: Instant, lifetime: u64) {
    for fingerprint in COPY {
        crashes.suspect(now, fingerprint, lifetime, now + CHECK_TIME);
    }
}

fn withdraw(crashes: &mut Crashes, lifetime: u64) {
    for fingerprint in COPY {
        crashes.withdraw(fingerprint, lifetime);
    }
}

// Guards against copies that reach further endpoints while the last crash is being confirmed.
#[googletest::test]
fn unconfirmed_crashes_keep_a_request_from_endpoints_until_they_are_withdrawn() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.record_crash(now, COPY[1], 1);
    suspect(&mut crashes, now, 2);
    expect_that!(crashes.quarantine_left(now, &COPY), none());
    suspect(&mut crashes, now, 3);
    expect_that!(
        crashes.quarantine_left(now, &COPY),
        some(eq(CHECK_TIME)),
        "one confirmed and two unconfirmed crashes"
    );
    expect_that!(
        crashes.admit(now, &COPY, 1),
        eq(Admission::Refused(CHECK_TIME))
    );
    withdraw(&mut crashes, 3);
    expect_that!(crashes.admit(now, &COPY, 1), eq(Admission::Open));
}

// Guards against suspicions that peers take for crashes.
#[googletest::test]
fn unconfirmed_crashes_are_not_reported() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for lifetime in 1..=4 {
        suspect(&mut crashes, now, lifetime);
    }
    expect_that!(crashes.has_reports(), eq(false));
    expect_that!(crashes.due_reports(now, 9).is_empty(), eq(true));
}

#[googletest::test]
fn several_attempts_at_one_lifetime_count_once() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for _ in 0..3 {
        suspect(&mut crashes, now, 1);
    }
    crashes.record_crash(now, COPY[1], 2);
    suspect(&mut crashes, now, 2);
    expect_that!(crashes.quarantine_left(now, &COPY), none());
}

#[googletest::test]
fn an_unconfirmed_crash_counts_for_a_limited_time() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for lifetime in 1..=3 {
        suspect(&mut crashes, now, lifetime);
    }
    expect_that!(crashes.quarantine_left(now, &COPY), some(anything()));
    expect_that!(crashes.quarantine_left(now + CHECK_TIME, &COPY), none());
}

#[googletest::test]
fn a_request_that_was_answered_is_not_suspected() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crashes.record_answer(now, COPY[1]);
    let until = now + CHECK_TIME;
    expect_that!(crashes.suspect(now, COPY[1], 1, until), eq(false));
    expect_that!(crashes.suspect(now, COPY[0], 1, until), eq(true));
}
