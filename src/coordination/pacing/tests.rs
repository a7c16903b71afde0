use super::{Pacer, PacerTicket, Urgency};
use crate::protocol::rate::RequestRate;
use googletest::prelude::*;
use std::time::{Duration, Instant};

const NEW: Urgency = Urgency {
    is_under_way: false,
    priority: 0,
};

const UNDER_WAY: Urgency = Urgency {
    is_under_way: true,
    priority: 0,
};

/// Interval at which the tests ask for permits.
const STEP: Duration = Duration::from_millis(10);

/// Most requests that an endpoint with a limit may get in 4 s.
fn allowed_in_window(rate_per_s: f64) -> usize {
    (rate_per_s * 4.0 * 1.5 + 5.0) as usize
}

fn pacer(start: Instant, rate_per_s: f64) -> Pacer {
    Pacer::new(start, RequestRate::per_second(rate_per_s))
}

/// Asks for one permit without waiting.
fn ask(pacer: &mut Pacer, now: Instant) -> bool {
    let ticket = pacer.enqueue(now, NEW);
    let is_granted = pacer.poll(now, ticket).is_zero();
    pacer.cancel(ticket);
    is_granted
}

/// Returns the times of the permits that a pacer grants to requests that come at each step.
fn grants(pacer: &mut Pacer, start: Instant, duration: Duration) -> Vec<Instant> {
    let steps = duration.as_millis() / STEP.as_millis();
    let times = (0..steps as u32).map(|step| start + STEP * step);
    times.filter(|now| ask(pacer, *now)).collect()
}

fn most_in_window(grants: &[Instant]) -> usize {
    let count = |start: &Instant| {
        let window = *start..*start + Duration::from_secs(4);
        grants.iter().filter(|at| window.contains(at)).count()
    };
    grants.iter().map(count).max().unwrap_or_default()
}

#[googletest::test]
fn the_pace_is_that_of_the_limit() {
    for rate_per_s in [0.5, 2.8, 30.0] {
        let start = Instant::now();
        let granted = grants(
            &mut pacer(start, rate_per_s),
            start,
            Duration::from_secs(20),
        );
        let expected = (rate_per_s * 20.0) as usize;
        expect_that!(granted.len(), all![ge(expected - 1), le(expected)]);
    }
}

// Guards against a burst beyond the limit after a pause.
#[googletest::test]
fn permits_saved_up_in_a_pause_do_not_exceed_the_allowance() {
    for rate_per_s in [0.5, 2.8, 30.0] {
        let start = Instant::now();
        let mut pacer = pacer(start, rate_per_s);
        let after_pause = start + Duration::from_secs(60);
        let granted = grants(&mut pacer, after_pause, Duration::from_secs(8));
        expect_that!(most_in_window(&granted), le(allowed_in_window(rate_per_s)));
    }
}

// Guards against an allowance that is spent twice when another gateway takes over.
#[googletest::test]
fn a_second_pacer_that_takes_over_does_not_exceed_the_allowance() {
    for rate_per_s in [0.5, 2.8, 30.0] {
        let start = Instant::now();
        let mut first = pacer(start, rate_per_s);
        let takeover = start + Duration::from_secs(60);
        let mut granted = grants(&mut first, takeover, Duration::from_secs(2));
        let mut second = pacer(takeover + Duration::from_secs(1), rate_per_s);
        let overlap = takeover + Duration::from_secs(1);
        granted.extend(grants(&mut second, overlap, Duration::from_secs(6)));
        granted.sort_unstable();
        expect_that!(most_in_window(&granted), le(allowed_in_window(rate_per_s)));
    }
}

// Guards against a changed limit that grants the permits of the former one.
#[googletest::test]
fn a_lower_limit_holds_at_once() {
    let start = Instant::now();
    let mut pacer = pacer(start, 100.0);
    let changed = start + Duration::from_secs(10);
    pacer.set_rate(changed, RequestRate::per_second(2.0));
    let granted = grants(&mut pacer, changed, Duration::from_secs(8));
    expect_that!(most_in_window(&granted), le(allowed_in_window(2.0)));
    pacer.set_rate(changed, RequestRate::per_second(0.0));
    expect_that!(pacer.period(), eq(Duration::from_secs(10)));
}

#[googletest::test]
fn requests_of_programs_under_way_precede_new_ones() {
    let start = Instant::now();
    let mut pacer = pacer(start, 2.0);
    let new = pacer.enqueue(start, NEW);
    let under_way = pacer.enqueue(start + STEP, UNDER_WAY);
    let less_urgent = Urgency {
        priority: 2,
        ..UNDER_WAY
    };
    let less_urgent = pacer.enqueue(start, less_urgent);
    let wait = |pacer: &mut Pacer, ticket: PacerTicket| pacer.poll(start + STEP, ticket);
    expect_that!(
        wait(&mut pacer, under_way),
        lt(wait(&mut pacer, less_urgent))
    );
    expect_that!(wait(&mut pacer, less_urgent), lt(wait(&mut pacer, new)));
}

// Guards against a new program that waits as long as others are under way.
#[googletest::test]
fn a_request_that_has_waited_precedes_later_ones() {
    let start = Instant::now();
    let mut pacer = pacer(start, 2.0);
    let new = pacer.enqueue(start, NEW);
    let mut granted_at = None;
    for step in 0..400 {
        let now = start + STEP * step;
        let under_way = pacer.enqueue(now, UNDER_WAY);
        pacer.poll(now, under_way);
        // It is refused unless it has its permit.
        pacer.cancel(under_way);
        if granted_at.is_none() && pacer.poll(now, new).is_zero() {
            granted_at = Some(now);
        }
    }
    let granted_at = granted_at.expect("a permit");
    expect_that!(granted_at - start, le(Duration::from_secs(1)));
}

// Guards against refused requests that all come back for the same permit.
#[googletest::test]
fn refused_requests_are_told_to_come_back_one_after_the_other() {
    let start = Instant::now();
    let mut pacer = pacer(start, 2.0);
    let refuse = |pacer: &mut Pacer| {
        let ticket = pacer.enqueue(start, NEW);
        pacer.refuse(start, ticket)
    };
    let waits: Vec<Duration> = (0..6).map(|_| refuse(&mut pacer)).collect();
    expect_that!(waits[0], eq(Duration::from_millis(500)));
    expect_that!(waits[1], eq(Duration::from_millis(1_000)));
    expect_that!(waits[5], le(Duration::from_secs(2)));
    expect_that!(ask(&mut pacer, start + waits[0]), eq(true));
}
