use super::{EndpointReport, Failing};
use googletest::prelude::*;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const SERVICE: [u64; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

fn report(lifetime: u64, answers: f32, failures: f32, trials: (u32, u32)) -> EndpointReport {
    EndpointReport {
        lifetime,
        answers,
        failures,
        succeeded_trials: trials.0,
        failed_trials: trials.1,
        passed: 0,
    }
}

fn judge(failing: &mut Failing, now: Instant) -> Vec<(u64, bool)> {
    let verdicts = failing.judge(now, &SERVICE, 2, 0.5);
    let verdicts = verdicts.into_iter();
    verdicts.map(|it| (it.lifetime, it.is_failing)).collect()
}

/// Has nine endpoints answer ten calls each.
fn healthy_service(now: Instant) -> Failing {
    let mut failing = Failing::default();
    for lifetime in 1..10 {
        for _ in 0..10 {
            failing.finish(now, lifetime, Some(false), 2, 0.5);
        }
    }
    failing
}

/// Returns whether the tenth endpoint, with these answers, is failing.
fn is_judged_failing(answers: u32, failures: u32) -> bool {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    for number in 0..answers {
        failing.finish(now, 0, Some(number < failures), 2, 0.5);
    }
    !judge(&mut failing, now).is_empty()
}

// Guards against a failing endpoint that is found late, and a tool's own rare failures that count.
#[googletest::test]
fn an_endpoint_is_judged_by_its_share_of_failures_within_tens_of_calls() {
    for (answers, failures, is_failing) in [
        (1, 1, false),
        (3, 3, true),
        (20, 8, true),
        (40, 15, true),
        (100, 1, false),
        (100, 5, false),
        (300, 10, false),
    ] {
        expect_that!(
            is_judged_failing(answers, failures),
            eq(is_failing),
            "{failures} failures in {answers} answers"
        );
    }
}

// Guards against reports that count twice, or that an older one replaces.
#[googletest::test]
fn a_report_counts_once_whenever_it_arrives() {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    for number in [2, 2, 1, 2] {
        failing.merge(now, 7, number, &[report(0, 2.0, 2.0, (0, 0))], 0.5);
    }
    expect_that!(judge(&mut failing, now), is_empty());
    failing.merge(now, 7, 3, &[report(0, 4.0, 4.0, (0, 0))], 0.5);
    expect_that!(judge(&mut failing, now), elements_are![eq(&(0, true))]);
}

// Guards against absurd figures of a peer.
#[googletest::test]
fn absurd_reports_are_ignored() {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    for (number, (answers, failures)) in [
        (f32::NAN, 5.0),
        (f32::INFINITY, 5.0),
        (3.0, 9.0),
        (-5.0, -5.0),
    ]
    .into_iter()
    .enumerate()
    {
        let number = number as u64 + 1;
        failing.merge(now, 7, number, &[report(0, answers, failures, (0, 0))], 0.5);
    }
    expect_that!(judge(&mut failing, now), is_empty());
}

// Guards against the reports of a lost peer counting for ever.
#[googletest::test]
fn the_report_of_a_silent_peer_expires() {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    failing.merge(now, 7, 1, &[report(0, 4.0, 4.0, (0, 0))], 0.5);
    let later = now + Duration::from_secs(2);
    failing.forget_old(later, |_| true);
    expect_that!(judge(&mut failing, later), is_empty());
    expect_that!(failing.has_suspects(), eq(false));
}

// Guards against a new incarnation that pays for the failures of the one before.
#[googletest::test]
fn an_endpoint_that_is_gone_is_forgotten() {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    failing.merge(now, 7, 1, &[report(0, 4.0, 4.0, (0, 0))], 0.5);
    expect_that!(judge(&mut failing, now), elements_are![eq(&(0, true))]);
    failing.forget_old(now, |lifetime| lifetime != 0);
    expect_that!(failing.is_failing(0), eq(false));
    expect_that!(failing.has_suspects(), eq(false));
}

// Guards against gateways that go on with trials long after others have ended them.
#[googletest::test]
fn a_peer_that_ended_the_trials_ends_them_for_all() {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    let failed = report(0, 9.0, 9.0, (0, 0));
    failing.merge(now, 7, 1, &[failed], 0.5);
    expect_that!(judge(&mut failing, now), elements_are![eq(&(0, true))]);
    // The first report of a peer may tell of an earlier period.
    let passed = EndpointReport {
        passed: 1,
        ..failed
    };
    failing.merge(now, 8, 1, &[passed], 0.5);
    expect_that!(judge(&mut failing, now), is_empty());
    failing.merge(now, 7, 2, &[passed], 0.5);
    expect_that!(judge(&mut failing, now), elements_are![eq(&(0, false))]);
}

// Guards against a return before trials have succeeded, whichever gateway sent them.
#[googletest::test]
fn trials_of_all_gateways_end_the_failing_state() {
    let now = Instant::now();
    let mut failing = healthy_service(now);
    failing.merge(now, 7, 1, &[report(0, 9.0, 9.0, (0, 0))], 0.5);
    expect_that!(judge(&mut failing, now), elements_are![eq(&(0, true))]);
    let later = now + Duration::from_secs(30);
    expect_that!(judge(&mut failing, later), is_empty());
    expect_that!(failing.is_failing(0), eq(true));
    failing.merge(later, 7, 2, &[report(0, 5.0, 0.0, (5, 0))], 0.5);
    failing.merge(later, 8, 1, &[report(0, 1.0, 1.0, (0, 1))], 0.5);
    failing.merge(later, 7, 3, &[report(0, 9.0, 0.0, (9, 0))], 0.5);
    expect_that!(judge(&mut failing, later), is_empty());
    expect_that!(
        failing.is_trial_due(later + Duration::from_secs(1), 0),
        eq(true)
    );
    for _ in 0..2 {
        failing.begin(0);
        expect_that!(
            failing.is_trial_due(later + Duration::from_secs(1), 0),
            eq(false)
        );
        failing.finish(later, 0, Some(false), 2, 0.5);
    }
    expect_that!(judge(&mut failing, later), elements_are![eq(&(0, false))]);
    expect_that!(judge(&mut failing, later), is_empty());
}

/// Has 40 endpoints that fail these shares of their calls answer 400 calls a second for 5 s, and returns when
/// each that was judged as failing was. A failure comes at once and a success after 150 ms; all are judged
/// each 100 ms.
fn judged_failing(shares: &[f64; 40], seed: u64) -> Vec<(Duration, u64)> {
    let endpoints: Vec<u64> = (0..40).collect();
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mut failing = Failing::default();
    let mut successes: VecDeque<(u64, u64)> = VecDeque::new();
    let mut judged = Vec::new();
    for at_ms in 0..5_000 {
        let now = start + Duration::from_millis(at_ms);
        if at_ms * 400 % 1_000 < 400 {
            let endpoint = rng.u64(0..40);
            if rng.f64() < shares[endpoint as usize] {
                failing.finish(now, endpoint, Some(true), 1, 0.5);
            } else {
                successes.push_back((at_ms + 150, endpoint));
            }
        }
        while let Some((_, endpoint)) = successes.pop_front_if(|(at, _)| *at <= at_ms) {
            failing.finish(now, endpoint, Some(false), 1, 0.5);
        }
        if at_ms % 100 == 99 {
            let verdicts = failing.judge(now, &endpoints, 1, 0.5);
            let verdicts = verdicts.iter().filter(|it| it.is_failing);
            judged.extend(verdicts.map(|it| (now - start, it.lifetime)));
        }
    }
    judged
}

// Guards against an endpoint that exceeds the bound by chance, as all are judged again and again.
#[googletest::test]
fn repeated_judgement_takes_no_endpoint_with_the_common_share_of_failures_for_failing() {
    for share in [0.05, 0.2, 0.5] {
        let judged = (0..200).map(|seed| (seed, judged_failing(&[share; 40], seed)));
        let judged: Vec<_> = judged.filter(|(_, judged)| !judged.is_empty()).collect();
        let count = judged.len();
        expect_that!(judged, is_empty(), "share {share}: {count} of 200 seeds");
    }
}

// Guards against failures of many endpoints that count as common to all.
#[googletest::test]
fn endpoints_that_fail_all_calls_are_found_within_20_calls_although_a_third_does() {
    for seed in 0..20 {
        let mut shares = [0.0; 40];
        shares[..13].fill(1.0);
        let judged = judged_failing(&shares, seed);
        let in_time = judged
            .iter()
            .filter(|(at, _)| *at <= Duration::from_secs(2));
        let mut found: Vec<u64> = in_time.map(|(_, endpoint)| *endpoint).collect();
        found.sort_unstable();
        expect_that!(found, eq(&(0..13).collect::<Vec<u64>>()), "seed {seed}");
    }
}
