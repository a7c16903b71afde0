//! Requests whose crashes another one, or something else, may have caused.

use super::*;

// Guards against a long quarantine of a request that only ran beside one that crashes endpoints.
#[googletest::test]
fn requests_with_the_same_crashes_are_tried_soon_and_an_answer_ends_it() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for request in [&COPY, &OTHER] {
        crash_under(&mut crashes, now, request, 1..=3);
        expect_that!(crashes.is_quarantined(request[1]), eq(true));
    }
    for request in [&COPY, &OTHER] {
        expect_that!(
            crashes.admit(now, request, HERE),
            eq(Admission::Refused(SHARED_QUARANTINE))
        );
    }
    let end = now + SHARED_QUARANTINE;
    expect_that!(crashes.admit(end, &OTHER, HERE), eq(Admission::Trial));
    for fingerprint in OTHER {
        crashes.record_answer(end, fingerprint);
    }
    expect_that!(crashes.admit(end, &OTHER, HERE), eq(Admission::Open));
    // The other request is the only one left.
    let left = QUARANTINE - SHARED_QUARANTINE;
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(left))
    );
}

// Guards against a request that crashes endpoints in trial after trial because others were on them.
/// Records that lifetimes ended at the same time, while each had a copy of the request.
fn crash_at_once(crashes: &mut Crashes, now: Instant, lifetimes: impl IntoIterator<Item = u64>) {
    let sent_at = now.checked_sub(Duration::from_millis(100));
    let sent_at = sent_at.expect("a time");
    for lifetime in lifetimes {
        for fingerprint in COPY {
            crashes.record_crash_of_attempt(now, fingerprint, lifetime, sent_at);
        }
    }
}

// Guards against a long quarantine of an input that conversations share, because several endpoints
// crashed at the same time for another reason.
#[googletest::test]
fn a_request_whose_endpoints_crashed_at_once_is_tried_soon_and_an_answer_clears_it() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (Crashes::default(), Crashes::default());
    crash_at_once(&mut crashes, now, 1..=2);
    crash_at_once(&mut peer, now, 2..=6);
    gossip(now, &mut peer, &mut crashes);
    gossip(now, &mut crashes, &mut peer);
    for gateway in [&mut crashes, &mut peer] {
        expect_that!(
            gateway.admit(now, &COPY, HERE),
            eq(Admission::Refused(SHARED_QUARANTINE))
        );
    }
    let end = now + SHARED_QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    for fingerprint in COPY {
        crashes.record_answer(end, fingerprint);
    }
    gossip(end, &mut crashes, &mut peer);
    for gateway in [&mut crashes, &mut peer] {
        expect_that!(gateway.admit(end, &COPY, HERE), eq(Admission::Open));
    }
    // Later crashes begin anew.
    let later = end + ANSWERED_RECENTLY;
    crash_at_once(&mut crashes, later, 7..=9);
    expect_that!(
        crashes.admit(later, &COPY, HERE),
        eq(Admission::Refused(SHARED_QUARANTINE))
    );
}

// Guards against gateways that all learn of the same thing and all report it to all others.
#[googletest::test]
fn a_withdrawn_crash_is_reported_only_if_peers_do_not_learn_of_it() {
    for is_reported in [false, true] {
        let now = Instant::now();
        let mut crashes = quarantined(now);
        let later = now + REPORT_INTERVAL * u32::from(REPORTS_PER_CHANGE);
        for number in 0..=u32::from(REPORTS_PER_CHANGE) {
            crashes.due_reports(now + REPORT_INTERVAL * number, 9);
        }
        let withdrawn = crashes.withdraw_lifetime(2, is_reported);
        expect_that!(
            withdrawn,
            elements_are![matches_pattern!(Withdrawal {
                fingerprint: eq(&FATAL),
                left: matches_pattern!(Suspicion {
                    lifetimes: eq(&2),
                    is_quarantined: eq(&false),
                }),
                ends_quarantine: eq(&true),
            })]
        );
        expect_that!(crashes.admit(later, &COPY, HERE), eq(Admission::Open));
        let reports = crashes.due_reports(later + REPORT_INTERVAL, 9);
        expect_that!(reports.is_empty(), eq(!is_reported));
        expect_that!(crashes.withdraw_lifetime(2, is_reported), is_empty());
    }
}

// Guards against a request that crashes endpoints at the same time and is tried again and again, also
// with a full list of lifetimes.
#[googletest::test]
fn a_request_that_crashes_again_after_a_crash_at_once_is_quarantined_for_long() {
    for lifetimes in [3, MAX_LIFETIMES as u64] {
        let now = Instant::now();
        let (mut crashes, mut peer) = (Crashes::default(), Crashes::default());
        crash_at_once(&mut crashes, now, 1..=lifetimes);
        gossip(now, &mut crashes, &mut peer);
        let end = now + SHARED_QUARANTINE;
        expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
        for fingerprint in COPY {
            crashes.record_crash_of_attempt(end, fingerprint, 99, end);
        }
        gossip(end, &mut crashes, &mut peer);
        for gateway in [&crashes, &peer] {
            expect_that!(gateway.quarantine_left(end, &COPY), some(ge(QUARANTINE)));
        }
    }
}

#[googletest::test]
fn a_trial_that_crashes_singles_out_its_request() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for request in [&COPY, &OTHER] {
        crash_under(&mut crashes, now, request, 1..=3);
    }
    let end = now + SHARED_QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    crash_under(&mut crashes, end, &COPY, [4]);
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(QUARANTINE * 2))
    );
    expect_that!(crashes.admit(end, &OTHER, HERE), eq(Admission::Trial));
}

// Guards against a request that is taken for innocent because others were on one of its endpoints.
#[googletest::test]
fn a_request_with_most_crashes_is_quarantined_for_long() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crash_under(&mut crashes, now, &OTHER, 1..=2);
    crash_under(&mut crashes, now, &COPY, 1..=3);
    expect_that!(
        crashes.admit(now, &COPY, HERE),
        eq(Admission::Refused(QUARANTINE))
    );
    expect_that!(crashes.admit(now, &OTHER, HERE), eq(Admission::Open));
}

// Guards against a short quarantine of two requests that both crash endpoints, once under each other.
#[googletest::test]
fn a_request_that_shares_few_of_its_crashes_is_quarantined_for_long() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crash_under(&mut crashes, now, &COPY, 1..=3);
    crash_under(&mut crashes, now, &OTHER, 3..=5);
    for request in [&COPY, &OTHER] {
        expect_that!(
            crashes.admit(now, request, HERE),
            eq(Admission::Refused(QUARANTINE))
        );
    }
    // A request that was on endpoints of both is neither of them.
    let beside_both = [Fingerprint::Prefix(9), Fingerprint::Request(9)];
    crash_under(&mut crashes, now, &beside_both, [2, 4, 6]);
    expect_that!(
        crashes.admit(now, &beside_both, HERE),
        eq(Admission::Refused(SHARED_QUARANTINE))
    );
}

// Guards against a request whose own prefix counts as another request.
#[googletest::test]
fn a_request_does_not_share_its_crashes_with_its_prefix() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (Crashes::default(), Crashes::default());
    crash_under(&mut crashes, now, &COPY, 1..=3);
    let later_body = [PREFIX, OTHER[1]];
    crash_under(&mut crashes, now, &later_body, [4]);
    gossip(now, &mut crashes, &mut peer);
    for crashes in [&crashes, &peer] {
        let left = crashes.quarantine_left(now, &COPY);
        expect_that!(left, some(eq(QUARANTINE)));
        let left = crashes.quarantine_left(now, &later_body);
        expect_that!(left, some(eq(PREFIX_QUARANTINE)));
    }
}

// Guards against a long quarantine of a request beside others that only begin alike.
#[googletest::test]
fn crashes_under_bodies_that_begin_alike_explain_those_of_another_request() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for number in 1..=PREFIX_CRASHES as u64 {
        let body = [PREFIX, Fingerprint::Request(100 + number)];
        crash_under(&mut crashes, now, &body, [number]);
    }
    crash_under(&mut crashes, now, &OTHER, 1..=3);
    expect_that!(
        crashes.admit(now, &OTHER, HERE),
        eq(Admission::Refused(SHARED_QUARANTINE))
    );
    let body = [PREFIX, Fingerprint::Request(100)];
    expect_that!(
        crashes.admit(now, &body, HERE),
        eq(Admission::Refused(PREFIX_QUARANTINE))
    );
}
