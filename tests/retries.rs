//! Retries, hedging, limits, circuit breakers and watchdogs through the public interface.

use fastrand::Rng;
use galenapick::{
    Breaker, BreakerConfig, BreakerState, FailedCall, HedgeCandidate, HedgeConfig, Limit, Limits,
    Ran, RetryConfig, RetryPolicy, RunTimes, Watchdog, WatchdogConfig, WatchdogVerdict, hedge_at,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn failed_call(endpoint: &str, attempts: u32, deadline: Instant) -> FailedCall<'_> {
    FailedCall {
        client_account: "m",
        endpoint,
        repeatable: true,
        ran: Ran::Unknown,
        attempts,
        deadline,
        expected_run: Duration::ZERO,
    }
}

#[gtest]
fn retries_add_at_most_a_fifth_to_the_load_with_half_the_endpoints_down() {
    let mut now = Instant::now();
    let mut rng = Rng::with_seed(7);
    let mut retries = RetryPolicy::new(RetryConfig::default());
    let endpoints = ["up0", "up1", "down0", "down1"];
    let callers = 10_000;
    let mut offered = 0;
    for _ in 0..callers {
        now += Duration::from_millis(1);
        let mut attempts = 0;
        loop {
            let endpoint = endpoints[rng.usize(..endpoints.len())];
            if attempts == 0 {
                retries.record_first_attempt(now, "m", endpoint);
            }
            attempts += 1;
            offered += 1;
            if endpoint.starts_with("up") {
                break;
            }
            let call = failed_call(endpoint, attempts, now + 60 * SECOND);
            if retries.next_backoff(now, &call, &mut rng).is_none() {
                break;
            }
        }
    }
    expect_that!(offered, gt(callers), "some retries are made");
    expect_that!(f64::from(offered) / f64::from(callers), le(1.2));
}

#[gtest]
fn a_non_repeatable_call_is_retried_only_if_it_did_not_run() {
    let now = Instant::now();
    let mut rng = Rng::with_seed(8);
    let mut retries = RetryPolicy::new(RetryConfig::default());
    for (ran, is_retried) in [(Ran::Unknown, false), (Ran::Yes, false), (Ran::No, true)] {
        let call = FailedCall {
            repeatable: false,
            ran,
            ..failed_call("e", 1, now + 60 * SECOND)
        };
        expect_that!(
            retries.next_backoff(now, &call, &mut rng).is_some(),
            eq(is_retried)
        );
    }
}

#[gtest]
fn no_retry_runs_past_the_deadline() {
    let now = Instant::now();
    let mut rng = Rng::with_seed(9);
    let mut retries = RetryPolicy::new(RetryConfig::default());
    let call_near_deadline = FailedCall {
        expected_run: SECOND,
        ..failed_call("e", 1, now + SECOND)
    };
    expect_that!(
        retries.next_backoff(now, &call_near_deadline, &mut rng),
        none()
    );
}

#[gtest]
fn a_hedge_is_never_due_for_started_or_non_repeatable_calls() {
    let call = HedgeCandidate {
        repeatable: true,
        started: false,
        hedged: false,
        sent_at: Instant::now(),
        expected_wait: SECOND,
    };
    let cfg = HedgeConfig::default();
    expect_that!(hedge_at(&call, &cfg), some(eq(call.sent_at + 3 * SECOND)));
    let ineligible_calls = [
        HedgeCandidate {
            started: true,
            ..call
        },
        HedgeCandidate {
            repeatable: false,
            ..call
        },
        HedgeCandidate {
            hedged: true,
            ..call
        },
    ];
    for call in ineligible_calls {
        expect_that!(hedge_at(&call, &cfg), none());
    }
}

#[gtest]
fn a_call_is_slow_after_three_times_the_usual_run_time_of_its_operation() {
    let mut run_times = RunTimes::default();
    for _ in 0..50 {
        run_times.record("bank-core", "report", 2 * SECOND);
        run_times.record("bank-core", "offers", SECOND / 100);
    }
    let sent_at = Instant::now();
    let slow_after = |operation: &str| {
        let call = HedgeCandidate {
            repeatable: true,
            started: false,
            hedged: false,
            sent_at,
            expected_wait: run_times.expected("bank-core", operation),
        };
        hedge_at(&call, &HedgeConfig::default()).map(|at| at - sent_at)
    };
    expect_that!(slow_after("report"), some(eq(6 * SECOND)));
    expect_that!(slow_after("offers"), some(eq(SECOND / 2)));
    expect_that!(slow_after("never answered"), some(eq(3 * SECOND)));
}

#[gtest]
fn a_copy_is_sent_only_of_a_repeatable_call_within_its_attempts_and_its_deadline() {
    let now = Instant::now();
    let mut retries = RetryPolicy::new(RetryConfig::default());
    let deadline = now + 60 * SECOND;
    let not_repeatable = |ran| FailedCall {
        repeatable: false,
        ran,
        ..failed_call("e", 1, deadline)
    };
    for ran in [Ran::No, Ran::Unknown, Ran::Yes] {
        expect_that!(retries.spend_copy(now, &not_repeatable(ran)), eq(false));
    }
    let last_attempt = failed_call("e", 4, deadline);
    expect_that!(retries.spend_copy(now, &last_attempt), eq(false));
    let near_deadline = FailedCall {
        expected_run: SECOND,
        ..failed_call("e", 1, now + SECOND)
    };
    expect_that!(retries.spend_copy(now, &near_deadline), eq(false));
    expect_that!(
        retries.spend_copy(now, &failed_call("e", 3, deadline)),
        eq(true)
    );
}

#[gtest]
fn copies_add_at_most_a_tenth_to_the_load_of_a_service_that_got_slow() {
    let now = Instant::now();
    let mut retries = RetryPolicy::new(RetryConfig::default());
    let calls = 1_000;
    let mut copies = 0;
    for _ in 0..calls {
        retries.record_first_attempt(now, "m", "e");
        let call = failed_call("e", 1, now + 60 * SECOND);
        let may_copy = retries.may_copy(now, &call);
        expect_that!(retries.spend_copy(now, &call), eq(may_copy));
        copies += u32::from(may_copy);
    }
    expect_that!(copies, all!(ge(calls / 10), le(calls / 10 + 10)));
}

#[gtest]
fn limits_hold_for_the_client_account_and_the_environment() {
    let now = Instant::now();
    let mut limits = Limits::default();
    let environment_limit = Limit {
        open_calls: 3,
        calls_per_s: 100.0,
        burst_calls: 100.0,
    };
    let account_limit = Limit {
        open_calls: 2,
        ..environment_limit
    };
    limits
        .begin_call(now, "e", environment_limit, "a", account_limit)
        .unwrap();
    limits
        .begin_call(now, "e", environment_limit, "a", account_limit)
        .unwrap();
    expect_that!(
        limits.begin_call(now, "e", environment_limit, "a", account_limit),
        err(anything())
    );
    limits
        .begin_call(now, "e", environment_limit, "b", account_limit)
        .unwrap();
    expect_that!(
        limits.begin_call(now, "e", environment_limit, "c", account_limit),
        err(anything())
    );
    limits.finish_call("e", "a");
    expect_that!(
        limits.begin_call(now, "e", environment_limit, "c", account_limit),
        ok(anything())
    );
}

#[gtest]
fn a_rate_limit_refusal_has_a_retry_delay() {
    let now = Instant::now();
    let mut limits = Limits::default();
    let limit = Limit {
        open_calls: 100,
        calls_per_s: 2.0,
        burst_calls: 1.0,
    };
    limits.begin_call(now, "e", limit, "a", limit).unwrap();
    let refusal = limits.begin_call(now, "e", limit, "a", limit).unwrap_err();
    expect_that!(refusal.retry_after_ms, some(eq(500)));
    let later = now + Duration::from_millis(500);
    expect_that!(
        limits.begin_call(later, "e", limit, "a", limit),
        ok(anything())
    );
}

#[gtest]
fn a_failed_probe_doubles_the_time_a_breaker_stays_open() {
    let now = Instant::now();
    let mut breaker = Breaker::new(BreakerConfig::default());
    for _ in 0..3 {
        breaker.record_failure(now);
    }
    let probe = now + SECOND;
    expect_that!(breaker.allow(probe), eq(true));
    breaker.record_failure(probe);
    expect_that!(breaker.state(), eq(BreakerState::Open(probe + 2 * SECOND)));
    for step in [3, 4] {
        expect_that!(breaker.allow(now + step * SECOND), eq(true));
        breaker.record_success();
    }
    expect_that!(breaker.state(), eq(BreakerState::Closed));
}

#[gtest]
fn a_watchdog_resumes_a_few_times_and_then_gives_up() {
    let mut now = Instant::now();
    let mut watchdog = Watchdog::new(WatchdogConfig::default(), now);
    watchdog.record_progress(now, 4);
    for _ in 0..3 {
        now += 3 * SECOND;
        let verdict = watchdog.poll(now);
        expect_that!(verdict, eq(WatchdogVerdict::Resume { from: 4 }));
    }
    now += 3 * SECOND;
    expect_that!(watchdog.poll(now), eq(WatchdogVerdict::GiveUp));
}
