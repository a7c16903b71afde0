use super::*;
use googletest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn priority(client_account: &str, production: bool, attained_tokens: u64) -> Priority {
    Priority {
        environment: "e".into(),
        production,
        client_account: client_account.into(),
        share: 1.0,
        attained_tokens,
        slack_ms: 60_000,
    }
}

fn waiting(call: CallId, priority: Priority) -> PendingCall<CallId> {
    let cost = Cost {
        uncached_tokens: 100,
        max_tokens: 100,
    };
    PendingCall {
        call,
        program: call,
        priority,
        cost,
        item: call,
    }
}

fn admission_with_cap(calls: u32) -> Admission<CallId> {
    let cap = CapConfig {
        start_calls: calls,
        ..CapConfig::default()
    };
    Admission::new(AdmissionConfig {
        cap,
        ..AdmissionConfig::default()
    })
}

/// Runs the queued calls one after another and returns their order.
fn drain(admission: &mut Admission<CallId>, mut now: Instant) -> Vec<CallId> {
    let mut order = Vec::new();
    while let Some(call) = admission.pop(now) {
        order.push(call);
        now += Duration::from_millis(100);
        let ran = Duration::from_millis(100);
        let observed = CallObservation {
            uncached_tokens: 100,
            completion_tokens: 100,
            first_token: Some(ran / 2),
            ran,
        };
        admission.finish(now, call, observed);
    }
    order
}

#[gtest]
fn the_program_with_least_attained_service_goes_first() {
    let now = Instant::now();
    let mut admission = admission_with_cap(2);
    admission
        .push(now, waiting(1, priority("m", true, 500_000)))
        .unwrap();
    admission
        .push(now, waiting(2, priority("m", true, 0)))
        .unwrap();
    expect_that!(drain(&mut admission, now), elements_are![&2, &1]);
}

#[gtest]
fn a_long_wait_outweighs_attained_service() {
    let now = Instant::now();
    let mut admission = admission_with_cap(2);
    admission
        .push(now, waiting(1, priority("m", true, 500_000)))
        .unwrap();
    let later = now + 20 * SECOND;
    admission
        .push(later, waiting(2, priority("m", true, 0)))
        .unwrap();
    expect_that!(drain(&mut admission, later), elements_are![&1, &2]);
}

#[gtest]
fn production_goes_before_trial_but_trial_is_served() {
    let now = Instant::now();
    let mut admission = admission_with_cap(1);
    for call in 0..40 {
        let trial = call % 2 == 0;
        admission
            .push(now, waiting(call, priority("m", !trial, 0)))
            .unwrap();
    }
    let order = drain(&mut admission, now);
    let first_trial = order.iter().position(|call| call % 2 == 0).unwrap();
    expect_that!(first_trial, ge(8));
    expect_that!(first_trial, le(12));
    expect_that!(order.len(), eq(40));
}

#[gtest]
fn no_client_account_starves_behind_a_flood() {
    let now = Instant::now();
    let mut admission = admission_with_cap(1);
    for call in 0..300 {
        admission
            .push(now, waiting(call, priority("flood", true, 0)))
            .unwrap();
    }
    for call in 1000..1010 {
        admission
            .push(now, waiting(call, priority("small", true, 0)))
            .unwrap();
    }
    let order = drain(&mut admission, now);
    let last_small = order.iter().rposition(|call| *call >= 1000).unwrap();
    expect_that!(last_small, le(30));
}

#[gtest]
fn a_full_queue_refuses_as_not_run_with_a_retry_delay() {
    let now = Instant::now();
    let mut admission = admission_with_cap(1);
    for call in 0..512 {
        admission
            .push(now, waiting(call, priority("m", true, 0)))
            .unwrap();
    }
    let refusal = admission
        .push(now, waiting(999, priority("m", true, 0)))
        .unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Overloaded));
    expect_that!(refusal.ran, eq(crate::protocol::refusal::Ran::No));
    expect_that!(refusal.retry_after_ms, some(ge(MIN_RETRY_AFTER_MS)));
}

#[gtest]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let now = Instant::now();
    let mut admission = admission_with_cap(1);
    let mut late = priority("m", true, 0);
    late.slack_ms = 5;
    let refusal = admission.push(now, waiting(1, late)).unwrap_err();
    expect_that!(refusal.code, eq(RefusalCode::Deadline));
}

#[gtest]
fn expired_and_cancelled_calls_are_removed() {
    let now = Instant::now();
    let mut admission = admission_with_cap(1);
    for call in 0..4 {
        admission
            .push(now, waiting(call, priority("m", true, 0)))
            .unwrap();
    }
    expect_that!(admission.cancel(2), some(eq(2)));
    expect_that!(admission.cancel_program(3), elements_are![&3]);
    let expired = admission.expire(now + 61 * SECOND);
    expect_that!(expired.len(), eq(2));
    expect_that!(admission.load().queued_tokens, eq(0));
}

#[gtest]
fn the_cap_shrinks_while_gaps_are_late_and_grows_otherwise() {
    let mut now = Instant::now();
    let mut admission = admission_with_cap(8);
    for call in 0..100 {
        admission
            .push(now, waiting(call, priority("m", true, 0)))
            .unwrap();
    }
    while admission.pop(now).is_some() {}
    let mut feed = |gap_ms, admission: &mut Admission<CallId>| {
        for _ in 0..400 {
            now += Duration::from_millis(10);
            admission.record_token_gap(now, Duration::from_millis(gap_ms));
            admission.pop(now);
        }
    };
    feed(20, &mut admission);
    let grown = admission.load().cap;
    expect_that!(grown, gt(8));
    feed(40, &mut admission);
    expect_that!(admission.load().cap, lt(grown));
}

#[gtest]
fn a_cancelled_running_call_frees_its_slot() {
    let now = Instant::now();
    let mut admission = admission_with_cap(2);
    for call in 0..3 {
        admission
            .push(now, waiting(call, priority("m", true, 0)))
            .unwrap();
    }
    let first = admission.pop(now).unwrap();
    admission.pop(now).unwrap();
    expect_that!(admission.pop(now), none());
    admission.cancel(first);
    expect_that!(admission.pop(now), some(anything()));
}
