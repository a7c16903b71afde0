use super::answered::{ANSWERED_RECENTLY, MAX_ANSWERED};
use super::entry::{
    PREFIX_CRASHES, PREFIX_QUARANTINE, QUARANTINE, REFRESH_INTERVAL, REPORT_INTERVAL,
    REPORTS_PER_CHANGE, SUSPICION, TRIAL_TIMEOUT,
};
use super::fingerprint::PREFIX_BYTES;
use super::{
    Admission, Claimant, CrashReport, Crashes, Fingerprint, Fingerprints, Lifetime, MAX_LIFETIMES,
    MAX_REQUESTS, SHARED_QUARANTINE, Suspicion, TrialReport, Withdrawal, fingerprints, lifetime,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::{Duration, Instant};

const FATAL: Fingerprint = Fingerprint::Request(7);

const PREFIX: Fingerprint = Fingerprint::Prefix(7);

const COPY: Fingerprints = [PREFIX, FATAL];

const OTHER: Fingerprints = [Fingerprint::Prefix(8), Fingerprint::Request(8)];

/// This gateway, whose claim counts if a peer claims a trial at the same time.
const HERE: Claimant = 1;

const PEER: Claimant = 2;

fn crash(crashes: &mut Crashes, now: Instant, lifetimes: impl IntoIterator<Item = u64>) {
    for lifetime in lifetimes {
        crashes.record_crash(now, FATAL, lifetime);
    }
}

fn quarantined(now: Instant) -> Crashes {
    let mut crashes = Crashes::default();
    crash(&mut crashes, now, 1..=3);
    crashes
}

fn report(age_ms: u64, lifetimes: &[(u64, bool)]) -> CrashReport {
    CrashReport {
        fingerprint: FATAL,
        age_ms,
        lifetimes: lifetimes.to_vec(),
        prefix: None,
        unrepeated: Vec::new(),
        trial: None,
    }
}

/// Records that these lifetimes ended while they had a request.
fn crash_under(
    crashes: &mut Crashes,
    now: Instant,
    request: &Fingerprints,
    lifetimes: impl IntoIterator<Item = Lifetime>,
) {
    for lifetime in lifetimes {
        for fingerprint in request {
            crashes.record_crash(now, *fingerprint, lifetime);
            crashes.record_prefix(request);
        }
    }
}

fn any_trial() -> impl Strategy<Value = Option<TrialReport>> {
    let trial = (0_u32..3, 0_u64..3, 0_u64..3);
    let trial = trial.prop_map(|(number, claimant, left)| TrialReport {
        number,
        claimant,
        left_ms: left * 4_000,
    });
    prop::option::of(trial)
}

/// Reports what one gateway knows to another.
fn gossip(now: Instant, from: &mut Crashes, to: &mut Crashes) {
    for report in from.due_reports(now, 9) {
        to.merge(now, &report);
    }
}

#[googletest::test]
fn a_request_is_quarantined_after_the_third_lifetime() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    // The second copy on the same lifetime does not count.
    crash(&mut crashes, now, [1, 1, 2, 2]);
    expect_that!(crashes.admit(now, &COPY, HERE), eq(Admission::Open));
    crash(&mut crashes, now, [3]);
    expect_that!(
        crashes.admit(now, &COPY, HERE),
        eq(Admission::Refused(QUARANTINE))
    );
    expect_that!(crashes.admit(now, &OTHER, HERE), eq(Admission::Open));
    expect_that!(crashes.quarantined_count(), eq(1));
}

#[googletest::test]
fn an_answer_clears_the_lifetimes_before_it_and_excuses_crashes_for_a_while() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crash(&mut crashes, now, 1..=2);
    expect_that!(
        crashes.record_answer(now, FATAL).map(|s| s.lifetimes),
        some(eq(2))
    );
    crash(&mut crashes, now, 3..=9);
    expect_that!(crashes.admit(now, &COPY, HERE), eq(Admission::Open));
    let later = now + ANSWERED_RECENTLY;
    crash(&mut crashes, later, 10..=11);
    expect_that!(crashes.admit(later, &COPY, HERE), eq(Admission::Open));
    crash(&mut crashes, later, [12]);
    expect_that!(crashes.is_quarantined(FATAL), eq(true));
}

#[googletest::test]
fn one_trial_runs_at_a_time_after_the_quarantine() {
    let now = Instant::now();
    let mut crashes = quarantined(now);
    let end = now + QUARANTINE;
    let almost = end.checked_sub(Duration::from_millis(1)).expect("a time");
    expect_that!(
        crashes.admit(almost, &COPY, HERE),
        eq(Admission::Refused(Duration::from_millis(1)))
    );
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    let next = end + TRIAL_TIMEOUT;
    expect_that!(crashes.admit(next, &COPY, HERE), eq(Admission::Trial));
    crash(&mut crashes, next, [4]);
    expect_that!(
        crashes.admit(next, &COPY, HERE),
        eq(Admission::Refused(QUARANTINE * 2))
    );
}

#[googletest::test]
fn a_trial_that_is_answered_ends_the_quarantine_everywhere() {
    let now = Instant::now();
    let (mut crashes, mut other) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    crashes.record_answer(end, FATAL);
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Open));
    for report in crashes.due_reports(end, 9) {
        other.merge(end, &report);
    }
    expect_that!(other.admit(end, &COPY, HERE), eq(Admission::Open));
}

#[googletest::test]
fn a_trial_at_a_full_list_of_lifetimes_renews_the_quarantine() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crash(&mut crashes, now, 1..=MAX_LIFETIMES as u64);
    let left = crashes.quarantine_left(now, &COPY).expect("a quarantine");
    let end = now + left;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    expect_that!(crashes.record_crash(end, FATAL, 99).is_some(), eq(true));
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(left))
    );
}

#[googletest::test]
fn a_peer_that_answered_the_request_recently_clears_what_others_report() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (Crashes::default(), Crashes::default());
    crash(&mut crashes, now, 1..=2);
    peer.record_answer(now, FATAL);
    for report in crashes.due_reports(now, 9) {
        peer.merge(now, &report);
    }
    for report in peer.due_reports(now, 9) {
        crashes.merge(now, &report);
    }
    crash(&mut crashes, now, [3]);
    expect_that!(crashes.admit(now, &COPY, HERE), eq(Admission::Open));
}

proptest! {
    // Guards against a state that depends on the order in which reports arrive.
    #[test]
    fn reports_merge_in_any_order(
        lifetimes in prop::collection::vec(
            (0_usize..4, 0_u64..6, any::<bool>(), 0_u64..1_000, any_trial()),
            1..24,
        ),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let fingerprints = [COPY, OTHER].concat();
        let mut shuffled = lifetimes.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let states = [lifetimes, shuffled].map(|order| {
            let mut crashes = Crashes::default();
            for (fingerprint, lifetime, is_cleared, age_ms, trial) in order {
                let fingerprint = fingerprints[fingerprint];
                let prefix = matches!(fingerprint, Fingerprint::Request(_)).then_some(lifetime);
                let report = CrashReport {
                    fingerprint,
                    prefix,
                    trial,
                    ..report(age_ms, &[(lifetime, is_cleared)])
                };
                crashes.merge(now, &report);
                crashes.merge(now, &report);
            }
            let reports = fingerprints.iter().map(|fingerprint| {
                let mut report = crashes.report(now, *fingerprint)?;
                report.lifetimes.sort_unstable();
                Some(report)
            });
            let reports: Vec<_> = reports.collect();
            let left = [COPY, OTHER].map(|request| crashes.quarantine_left(now, &request));
            (reports, left)
        });
        prop_assert_eq!(&states[0], &states[1]);
    }
}

#[googletest::test]
fn changes_are_reported_a_few_times_and_quarantined_requests_go_on() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    crash(&mut crashes, now, [1]);
    let mut at = now;
    for _ in 0..REPORTS_PER_CHANGE {
        expect_that!(crashes.due_reports(at, 9).len(), eq(1));
        expect_that!(crashes.due_reports(at, 9).len(), eq(0));
        at += REPORT_INTERVAL;
    }
    expect_that!(crashes.has_reports(), eq(false));
    crash(&mut crashes, at, 2..=3);
    for _ in 0..REPORTS_PER_CHANGE {
        expect_that!(crashes.due_reports(at, 9).len(), eq(1));
        at += REPORT_INTERVAL;
    }
    expect_that!(crashes.due_reports(at, 9).len(), eq(0));
    expect_that!(crashes.due_reports(at + REFRESH_INTERVAL, 9).len(), eq(1));
    crashes.report_all();
    expect_that!(crashes.due_reports(at, 9).len(), eq(1));
}

#[googletest::test]
fn requests_are_forgotten_in_time() {
    let now = Instant::now();
    let mut crashes = quarantined(now);
    crashes.record_crash(now, OTHER[1], 1);
    expect_that!(crashes.forget_expired(now + SUSPICION), is_empty());
    expect_that!(crashes.entries.len(), eq(1));
    let end = now + QUARANTINE + SUSPICION;
    expect_that!(crashes.forget_expired(end), elements_are![eq(&FATAL)]);
    expect_that!(crashes.entries.len(), eq(0));
}

// Guards against an old record that renews a quarantine after a restart.
#[googletest::test]
fn an_expired_report_is_ignored() {
    let long = QUARANTINE + SUSPICION;
    let now = Instant::now() + long * 2;
    let mut crashes = Crashes::default();
    let lifetimes = [(1, false), (2, false), (3, false)];
    let expired = report(long.as_millis() as u64, &lifetimes);
    expect_that!(crashes.merge(now, &expired), none());
    expect_that!(crashes.is_quarantined(FATAL), eq(false));
    let recent = report(1_000, &lifetimes);
    crashes.merge(now, &recent);
    let left = crashes.quarantine_left(now, &COPY).expect("a quarantine");
    expect_that!(left, eq(QUARANTINE - Duration::from_secs(1)));
}

#[googletest::test]
fn the_tables_are_bounded_and_quarantined_requests_stay() {
    let now = Instant::now();
    let mut crashes = quarantined(now);
    let requests = 100..100 + 2 * MAX_REQUESTS as u64;
    for (number, request) in requests.enumerate() {
        let at = now + Duration::from_millis(number as u64);
        crashes.record_crash(at, Fingerprint::Request(request), 1);
    }
    expect_that!(crashes.entries.len(), eq(MAX_REQUESTS));
    expect_that!(crashes.is_quarantined(FATAL), eq(true));
    crash(&mut crashes, now, 0..2 * MAX_LIFETIMES as u64);
    expect_that!(crashes.entries[&FATAL].lifetimes.len(), eq(MAX_LIFETIMES));
    for request in 0..2 * MAX_ANSWERED as u64 {
        crashes.record_answer(now, Fingerprint::Request(request));
    }
    expect_that!(crashes.answered.queue.len(), eq(MAX_ANSWERED));
    expect_that!(crashes.answered.last_answers.len(), eq(MAX_ANSWERED));
}

// Guards against a popular request that is forgotten because others were answered once.
#[googletest::test]
fn a_request_that_is_answered_again_and_again_stays_answered() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for request in 100..100 + 2 * MAX_ANSWERED as u64 {
        let at = now + Duration::from_millis(request);
        crashes.record_answer(at, Fingerprint::Request(request));
        crashes.record_answer(at, FATAL);
        expect_that!(crashes.answered.contains(at, FATAL), eq(true));
    }
    expect_that!(crashes.answered.queue.len(), le(MAX_ANSWERED));
}

#[googletest::test]
fn a_fingerprint_is_that_of_the_target_and_the_body_or_its_beginning() {
    let copy = fingerprints(("POST", "/turns/x", Some("a")), b"body");
    let [prefix, request] = copy;
    expect_that!(
        fingerprints(("POST", "/turns/x", Some("a")), b"body"),
        eq(copy)
    );
    let other_body = fingerprints(("POST", "/turns/x", Some("a")), b"other");
    expect_that!(other_body[0], not(eq(prefix)));
    expect_that!(other_body[1], not(eq(request)));
    let long = [b'x'; PREFIX_BYTES + 1];
    let [prefix_of_long, long_request] = fingerprints("/turns/x", &long);
    let shorter = fingerprints("/turns/x", &long[1..]);
    expect_that!(shorter[0], eq(prefix_of_long));
    expect_that!(shorter[1], not(eq(long_request)));
    for other in [
        fingerprints(("POST", "/turns/y", Some("a")), b"body"),
        fingerprints(("PUT", "/turns/x", Some("a")), b"body"),
        fingerprints(("POST", "/turns/x", Some("b")), b"body"),
        fingerprints(("POST", "/turns/x", None::<&str>), b"body"),
    ] {
        expect_that!(other[0], not(eq(prefix)));
        expect_that!(other[1], not(eq(request)));
    }
}

#[googletest::test]
fn a_fingerprint_is_read_as_it_is_written() {
    for fingerprint in COPY {
        let text = fingerprint.to_string();
        expect_that!(text.parse::<Fingerprint>(), ok(eq(&fingerprint)));
    }
    expect_that!("7".parse::<Fingerprint>().is_err(), eq(true));
}

// Guards against a request that is new in each program because its body holds the history.
#[googletest::test]
fn bodies_that_begin_alike_are_quarantined_if_none_is_answered() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for number in 1..PREFIX_CRASHES as u64 {
        crashes.record_crash(now, PREFIX, number);
    }
    expect_that!(crashes.admit(now, &COPY, HERE), eq(Admission::Open));
    crashes.record_crash(now, PREFIX, PREFIX_CRASHES as u64);
    let with_other_body = [PREFIX, OTHER[1]];
    expect_that!(
        crashes.admit(now, &with_other_body, HERE),
        eq(Admission::Refused(PREFIX_QUARANTINE))
    );
    crashes.record_answer(now, PREFIX);
    expect_that!(
        crashes.admit(now, &with_other_body, HERE),
        eq(Admission::Open)
    );
}

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

// Guards against a trial at each of many gateways.
#[googletest::test]
fn one_trial_runs_at_a_time_over_all_gateways() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    gossip(end, &mut crashes, &mut peer);
    expect_that!(
        peer.admit(end, &COPY, PEER),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    let next = end + TRIAL_TIMEOUT;
    expect_that!(peer.admit(next, &COPY, PEER), eq(Admission::Trial));
}

// Guards against trials at gateways that claim them before they know of each other.
#[googletest::test]
fn of_two_claims_to_a_trial_one_counts() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    expect_that!(peer.admit(end, &COPY, PEER), eq(Admission::Trial));
    gossip(end, &mut peer, &mut crashes);
    gossip(end, &mut crashes, &mut peer);
    expect_that!(
        crashes.confirm_trial(end, &COPY, HERE),
        eq(Admission::Trial)
    );
    expect_that!(
        peer.confirm_trial(end, &COPY, PEER),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    peer.cancel_trial(end, &COPY, PEER);
    gossip(end, &mut peer, &mut crashes);
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    // A request that was answered meanwhile needs no trial.
    peer.record_answer(end, FATAL);
    expect_that!(peer.confirm_trial(end, &COPY, PEER), eq(Admission::Open));
}

// Guards against two trials that end on one endpoint, so that neither request is singled out.
#[googletest::test]
fn requests_that_share_crashes_are_tried_one_after_the_other() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (Crashes::default(), Crashes::default());
    for crashes in [&mut crashes, &mut peer] {
        for request in [&COPY, &OTHER] {
            crash_under(crashes, now, request, 1..=3);
        }
    }
    let end = now + SHARED_QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    expect_that!(
        crashes.admit(end, &OTHER, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    expect_that!(peer.admit(end, &OTHER, PEER), eq(Admission::Trial));
    gossip(end, &mut peer, &mut crashes);
    gossip(end, &mut crashes, &mut peer);
    expect_that!(
        crashes.confirm_trial(end, &COPY, HERE),
        eq(Admission::Trial)
    );
    expect_that!(
        peer.confirm_trial(end, &OTHER, PEER),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    peer.cancel_trial(end, &OTHER, PEER);
    // The trial of the other request follows at once, at any gateway.
    crash_under(&mut crashes, end, &COPY, [4]);
    let later = end + REPORT_INTERVAL;
    gossip(later, &mut crashes, &mut peer);
    gossip(later, &mut peer, &mut crashes);
    expect_that!(crashes.admit(later, &OTHER, HERE), eq(Admission::Trial));
    expect_that!(
        peer.admit(later, &COPY, PEER),
        eq(Admission::Refused(QUARANTINE * 2 - REPORT_INTERVAL))
    );
}

// Guards against a trial that was claimed but not sent, and keeps others waiting.
#[googletest::test]
fn a_trial_that_is_not_run_makes_way_at_all_gateways() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    gossip(end, &mut crashes, &mut peer);
    crashes.cancel_trial(end, &COPY, HERE);
    gossip(end, &mut crashes, &mut peer);
    expect_that!(peer.admit(end, &COPY, PEER), eq(Admission::Trial));
    gossip(end, &mut peer, &mut crashes);
    // Another gateway's trial cannot be ended here.
    crashes.cancel_trial(end, &COPY, HERE);
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
}

/// Gateways that get copies of two requests all the time. One of them crashes endpoints, the other
/// one was on all endpoints that crashed.
struct Fleet {
    tables: Vec<Crashes>,
    /// Order in which copies arrive at each gateway.
    order: [Fingerprints; 2],
    /// Reports on their way, with their arrival.
    sent: Vec<(Instant, Vec<CrashReport>)>,
    /// Requests that wait for the claims of others, with the end of the wait and their gateway.
    held: Vec<(Instant, usize, Fingerprints)>,
    fatal_runs: u64,
    served_at: Option<Instant>,
}

impl Fleet {
    const GATEWAYS: usize = 20;
    const STEP: Duration = Duration::from_millis(20);
    const TRANSIT: Duration = Duration::from_millis(40);
    const STEPS_PER_REPORT: usize = 20;
    const CLAIM_TIME: Duration = Duration::from_millis(900);

    fn new(now: Instant, order: [Fingerprints; 2]) -> Self {
        let table = |_| {
            let mut table = Crashes::default();
            for request in [&COPY, &OTHER] {
                crash_under(&mut table, now, request, 1..=3);
            }
            table
        };
        Self {
            tables: (0..Self::GATEWAYS).map(table).collect(),
            order,
            sent: Vec::new(),
            held: Vec::new(),
            fatal_runs: 0,
            served_at: None,
        }
    }

    fn step(&mut self, now: Instant, number: usize) {
        for (_, reports) in self.sent.extract_if(.., |(at, _)| *at <= now) {
            for table in &mut self.tables {
                for report in &reports {
                    table.merge(now, report);
                }
            }
        }
        for gateway in 0..Self::GATEWAYS {
            if (number + gateway * 7).is_multiple_of(Self::STEPS_PER_REPORT) {
                let reports = self.tables[gateway].due_reports(now, 9);
                self.sent.push((now + Self::TRANSIT, reports));
            }
            for request in self.order {
                self.receive(now, gateway, &request);
            }
        }
        let confirmed: Vec<_> = self.held.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, gateway, request) in confirmed {
            self.confirm(now, gateway, &request);
        }
    }

    fn receive(&mut self, now: Instant, gateway: usize, request: &Fingerprints) {
        match self.tables[gateway].admit(now, request, gateway as Claimant) {
            Admission::Open => self.run(now, gateway, request),
            Admission::Trial => self.held.push((now + Self::CLAIM_TIME, gateway, *request)),
            Admission::Refused(_) => {}
        }
    }

    fn confirm(&mut self, now: Instant, gateway: usize, request: &Fingerprints) {
        let table = &mut self.tables[gateway];
        match table.confirm_trial(now, request, gateway as Claimant) {
            Admission::Refused(_) => table.cancel_trial(now, request, gateway as Claimant),
            Admission::Open | Admission::Trial => self.run(now, gateway, request),
        }
    }

    fn run(&mut self, now: Instant, gateway: usize, request: &Fingerprints) {
        let table = &mut self.tables[gateway];
        if *request == COPY {
            self.fatal_runs += 1;
            crash_under(table, now, request, [100 + self.fatal_runs]);
        } else {
            for fingerprint in request {
                table.record_answer(now, *fingerprint);
            }
            self.served_at.get_or_insert(now);
        }
    }
}

// Guards against trials at each of many gateways, and against requests that wait for them for long.
#[googletest::test]
fn many_gateways_try_a_request_once_and_serve_the_other_one_soon() {
    let now = Instant::now();
    let steps = 20_000 / Fleet::STEP.as_millis() as usize;
    for (order, fatal_runs) in [([COPY, OTHER], 1), ([OTHER, COPY], 0)] {
        let mut fleet = Fleet::new(now, order);
        for number in 0..steps {
            fleet.step(now + Fleet::STEP * number as u32, number);
        }
        expect_that!(fleet.fatal_runs, eq(fatal_runs));
        let served_at = fleet.served_at.expect("an answer");
        expect_that!(served_at - now, lt(Duration::from_secs(6)));
    }
}

#[googletest::test]
fn lifetimes_differ_by_id_and_by_start() {
    let first = lifetime("i-a", Some(1));
    expect_that!(lifetime("i-a", Some(1)), eq(first));
    expect_that!(lifetime("i-a", Some(2)), not(eq(first)));
    expect_that!(lifetime("i-b", Some(1)), not(eq(first)));
}

proptest! {
    // Guards against arithmetic that a peer's figures can break.
    #[test]
    fn any_report_can_be_merged(
        age_ms in any::<u64>(),
        lifetimes in prop::collection::vec((any::<u64>(), any::<bool>()), 0..20),
        number in any::<u32>(),
        left_ms in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut crashes = Crashes::default();
        let trial = TrialReport { number, claimant: PEER, left_ms };
        let report = CrashReport { trial: Some(trial), ..report(age_ms, &lifetimes) };
        crashes.merge(now, &report);
        crashes.admit(now, &COPY, HERE);
        crashes.due_reports(now, 9);
        prop_assert!(crashes.forget_expired(now).is_empty());
    }
}

// Guards against crashes that peers never hear of because many quarantined requests are reported again.
#[googletest::test]
fn a_new_crash_is_reported_before_quarantined_requests_are_again() {
    let now = Instant::now();
    let mut crashes = Crashes::default();
    for number in 100..300 {
        for lifetime in 1..=3 {
            crashes.record_crash(now, Fingerprint::Request(number), lifetime);
        }
    }
    let round = Duration::from_millis(400);
    let mut at = now;
    for _ in 0..60 {
        crashes.due_reports(at, 24);
        at += round;
    }
    crashes.record_crash(at, FATAL, 1);
    let reports = crashes.due_reports(at, 24);
    expect_that!(
        reports.iter().any(|report| report.fingerprint == FATAL),
        eq(true)
    );
}
