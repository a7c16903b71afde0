mod shared;
mod trials;

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
