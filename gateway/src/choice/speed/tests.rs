use super::{MAX_REPORTED, Measured, SpeedReport, Speeds};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const SPEEDS: [f64; 9] = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7];

/// Returns a duration relative to the usual one: work is estimated with errors of a quarter.
fn noise(rng: &mut fastrand::Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (0.25 * normal).exp()
}

/// Returns speeds learned from this number of calls at each endpoint. Three calls in twenty run while
/// the endpoint is 2.5 times as slow and says so.
fn learned(calls: usize, rng: &mut fastrand::Rng) -> Speeds {
    let mut speeds = Speeds::default();
    let mut now = Instant::now();
    for _ in 0..calls {
        for (lifetime, speed) in SPEEDS.iter().enumerate() {
            now += Duration::from_millis(700);
            let slowdown = if rng.f64() < 0.15 { 2.5 } else { 1.0 };
            let lifetime = lifetime as u64;
            speeds.observe_slowdown(now, lifetime, slowdown);
            speeds.measure(now, lifetime, slowdown / speed * noise(rng));
        }
        speeds.refresh(|_| true);
    }
    speeds
}

/// Returns the mean over endpoints of the error of the learned ratios to the fastest endpoint.
fn error(speeds: &Speeds) -> f64 {
    let log = |at: usize| speeds.speed(at as u64).ln() - SPEEDS[at].ln();
    let mean = (0..SPEEDS.len()).map(log).sum::<f64>() / SPEEDS.len() as f64;
    let errors = (0..SPEEDS.len()).map(|at| (log(at) - mean).abs());
    errors.sum::<f64>() / SPEEDS.len() as f64
}

// Guards against speeds that are learned late or wrong from noisy answers.
#[googletest::test]
fn speeds_are_learned_within_a_tenth_after_20_calls() {
    for seed in 1..=10 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let speeds = learned(20, &mut rng);
        println!("seed {seed}: error {:.3}", error(&speeds));
        expect_that!(error(&speeds), le(0.1), "seed {seed}");
    }
}

// Guards against an endpoint that is favored or banned for its first answers.
#[googletest::test]
fn a_new_endpoint_counts_as_average_at_first() {
    let mut speeds = learned(20, &mut fastrand::Rng::with_seed(1));
    expect_that!(speeds.speed(99), near(1.0, 0.01));
    let now = Instant::now() + Duration::from_secs(1_000);
    speeds.observe_slowdown(now, 99, 1.0);
    speeds.measure(now, 99, 15.0);
    expect_that!(speeds.speed(99), gt(0.3));
}

// Guards against a stated slowness that is believed for long, and absurd ones.
#[googletest::test]
fn stated_slowness_ages_and_absurd_figures_are_bounded() {
    let mut speeds = Speeds::default();
    let now = Instant::now();
    speeds.observe_slowdown(now, 1, 2.5);
    expect_that!(speeds.slowdown(now, 1), near(2.5, 0.01));
    let half = now + Duration::from_millis(300);
    expect_that!(speeds.slowdown(half, 1), near(1.75, 0.01));
    expect_that!(speeds.slowdown(now + Duration::from_secs(1), 1), eq(1.0));
    for absurd in [0.0, -3.0, f64::NAN, f64::INFINITY] {
        speeds.observe_slowdown(now, 2, absurd);
        expect_that!(speeds.slowdown(now, 2), eq(1.0));
    }
    speeds.observe_slowdown(now, 2, 1e9);
    expect_that!(speeds.slowdown(now, 2), le(10.0));
}

// Guards against speeds for services that state nothing, which are served as before.
#[googletest::test]
fn nothing_is_learned_where_no_slowness_is_stated() {
    let mut speeds = Speeds::default();
    let now = Instant::now();
    for _ in 0..20 {
        speeds.measure(now, 1, 3.0);
    }
    expect_that!(speeds.factor(now, 1), eq(1.0));
    expect_that!(speeds.take_reports(now, true), is_empty());
}

// Guards against reports that count twice, that an older one replaces, or that are absurd.
#[googletest::test]
fn reports_count_once_and_only_if_they_are_sound() {
    let mut teller = learned(20, &mut fastrand::Rng::with_seed(1));
    let now = Instant::now();
    let reports = teller.take_reports(now, true);
    expect_that!(reports.len(), all![eq(SPEEDS.len()), le(MAX_REPORTED)]);
    expect_that!(teller.take_reports(now, true), is_empty());
    let mut told = Speeds::default();
    for _ in 0..3 {
        for report in &reports {
            told.merge(now, 7, report);
        }
    }
    let old = SpeedReport {
        measured: Some(Measured {
            calls: 1.0,
            log_ratios: 2.0,
        }),
        ..reports[0]
    };
    told.merge(now, 7, &old);
    for (calls, log_ratios) in [
        (f32::NAN, 1.0),
        (-1.0, 0.0),
        (10.0, 1e6),
        (f32::INFINITY, 0.0),
    ] {
        let measured = Some(Measured { calls, log_ratios });
        told.merge(now, 8, &SpeedReport { measured, ..old });
    }
    told.refresh(|_| true);
    teller.refresh(|_| true);
    for lifetime in 0..SPEEDS.len() as u64 {
        expect_that!(told.speed(lifetime), near(teller.speed(lifetime), 0.01));
    }
}
