use super::{Ask, Demand, QuotaBucket, Verdict};
use crate::routes::Quota;
use googletest::prelude::*;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

const SECOND: Duration = Duration::from_secs(1);

fn quota(rate_per_s: f64) -> Quota {
    Quota {
        rate_per_s,
        burst: rate_per_s,
    }
}

fn ask(demand: Demand, max_wait: Duration) -> Ask {
    Ask {
        demand,
        spare: 0,
        max_wait,
        used: 0,
    }
}

/// Returns a full bucket.
fn full(now: Instant, quota: Quota) -> QuotaBucket {
    QuotaBucket::new(now + SECOND * 60, now, quota, 1.0, 0.0)
}

/// Returns how many requests are granted at once.
fn granted_at_once(bucket: &mut QuotaBucket, now: Instant, demand: Demand) -> usize {
    let at_once = Verdict::Granted {
        delay: Duration::ZERO,
        spare: 0,
    };
    (0..10_000)
        .take_while(|_| bucket.decide(now, &ask(demand, Duration::ZERO)) == at_once)
        .count()
}

#[googletest::test]
fn a_bucket_grants_its_burst_and_then_its_rate() {
    let start = Instant::now();
    let now = start + SECOND * 60;
    let mut bucket = full(start, quota(100.0));
    expect_that!(granted_at_once(&mut bucket, now, Demand::UnderWay), eq(100));
    expect_that!(
        granted_at_once(&mut bucket, now + SECOND / 2, Demand::UnderWay),
        eq(50)
    );
}

// Guards against quotas that every gateway grants in full after a loss of all.
#[googletest::test]
fn a_gateway_that_begins_to_grant_has_no_burst() {
    let now = Instant::now();
    let mut bucket = QuotaBucket::new(now, now, quota(100.0), 1.0, 2.0);
    expect_that!(granted_at_once(&mut bucket, now, Demand::UnderWay), eq(0));
    let granted = granted_at_once(&mut bucket, now + SECOND, Demand::UnderWay);
    expect_that!(granted, le(100));
    expect_that!(granted, ge(70));
}

#[googletest::test]
fn requests_that_wait_are_granted_tokens_as_they_accrue() {
    let start = Instant::now();
    let now = start + SECOND * 60;
    let mut bucket = full(start, quota(10.0));
    granted_at_once(&mut bucket, now, Demand::UnderWay);
    for number in 1..=3 {
        let expected = Verdict::Granted {
            delay: MS * 100 * number,
            spare: 0,
        };
        let verdict = bucket.decide(now, &ask(Demand::UnderWay, MS * 301));
        expect_that!(rounded(verdict), eq(expected));
    }
    let expected = Verdict::Refused {
        wait: MS * 400,
        retry_after: MS * 400,
    };
    let verdict = bucket.decide(now, &ask(Demand::UnderWay, MS * 301));
    expect_that!(rounded(verdict), eq(expected));
}

fn rounded(verdict: Verdict) -> Verdict {
    let round = |it: Duration| MS * (it.as_secs_f64() * 1_000.0).round() as u32;
    match verdict {
        Verdict::Granted { delay, spare } => Verdict::Granted {
            delay: round(delay),
            spare,
        },
        Verdict::Refused { wait, retry_after } => Verdict::Refused {
            wait: round(wait),
            retry_after: round(retry_after),
        },
    }
}

// Guards against programs that begin and are refused halfway: at seven times its usual, an account
// begins only the programs that its quota carries to their end.
#[googletest::test]
fn no_more_programs_begin_than_the_quota_carries_to_their_end() {
    const PROGRAM_REQUESTS: u32 = 12;
    const TURN: Duration = Duration::from_millis(60);
    let rate = 120.0;
    let start = Instant::now();
    let mut now = start + SECOND * 60;
    let begun_at = now;
    let mut bucket = full(start, quota(rate));
    // Times of the next request of each program under way, with the requests left.
    let mut under_way: Vec<(Instant, u32)> = Vec::new();
    let mut begun = 0;
    let mut ended = 0;
    let mut used = 0;
    let mut refused_under_way = 0;
    while now < begun_at + SECOND * 20 {
        let offered = (rate * 7.0 / 1.6 / f64::from(PROGRAM_REQUESTS) * 0.01).max(1.0) as u32;
        for _ in 0..offered {
            let verdict = bucket.decide(
                now,
                &Ask {
                    used: std::mem::take(&mut used),
                    ..ask(Demand::Begin, MS * 100)
                },
            );
            if let Verdict::Granted { delay, .. } = verdict {
                begun += 1;
                under_way.push((now + delay + TURN, PROGRAM_REQUESTS - 1));
            }
        }
        let mut left = Vec::new();
        for (at, requests) in under_way.drain(..) {
            if at > now {
                left.push((at, requests));
                continue;
            }
            match bucket.decide(now, &ask(Demand::UnderWay, MS * 500)) {
                Verdict::Granted { delay, .. } => {
                    used += 1;
                    if requests > 1 {
                        left.push((now + delay + TURN, requests - 1));
                    } else {
                        ended += 1;
                    }
                }
                Verdict::Refused { .. } => refused_under_way += 1,
            }
        }
        under_way = left;
        now += MS * 10;
    }
    let possible = (rate * 21.0 / f64::from(PROGRAM_REQUESTS)) as u32;
    // Those that end are those that begin, but for the ones under way at the end.
    expect_that!(
        refused_under_way * 20,
        le(begun),
        "of {begun} begun, {ended} ended"
    );
    expect_that!(ended * 10, ge(possible * 9), "of {possible}");
}

#[googletest::test]
fn new_programs_leave_a_reserve_to_those_under_way() {
    let start = Instant::now();
    let now = start + SECOND * 60;
    let mut bucket = full(start, quota(100.0));
    granted_at_once(&mut bucket, now, Demand::Single);
    let under_way = granted_at_once(&mut bucket, now, Demand::UnderWay);
    expect_that!(under_way, eq(10));
}

// Guards against a smallest account whose reserve would be all of its bucket.
#[googletest::test]
fn programs_of_a_quota_of_one_request_begin() {
    let start = Instant::now();
    let tiny = Quota {
        rate_per_s: 0.5,
        burst: 0.0,
    };
    let mut bucket = full(start, tiny);
    let now = start + SECOND * 60;
    expect_that!(granted_at_once(&mut bucket, now, Demand::Begin), eq(1));
}

#[googletest::test]
fn a_cut_of_the_quota_holds_at_once() {
    let start = Instant::now();
    let now = start + SECOND * 60;
    let mut bucket = full(start, quota(800.0));
    granted_at_once(&mut bucket, now, Demand::UnderWay);
    bucket.decide(now, &ask(Demand::UnderWay, SECOND));
    bucket.set_quota(now, quota(8.0), 1.0);
    let granted = granted_at_once(&mut bucket, now + SECOND * 5, Demand::UnderWay);
    expect_that!(granted, le(8));
    let mut raised = full(start, quota(8.0));
    raised.set_quota(now, quota(800.0), 1.0);
    let granted = granted_at_once(&mut raised, now + SECOND, Demand::UnderWay);
    expect_that!(granted, ge(790));
}

#[googletest::test]
fn tokens_ahead_of_need_come_from_the_upper_half_of_the_bucket() {
    let start = Instant::now();
    let now = start + SECOND * 60;
    let mut bucket = full(start, quota(20.0));
    let ask = Ask {
        spare: 8,
        ..ask(Demand::UnderWay, Duration::ZERO)
    };
    let spare = |spare| Verdict::Granted {
        delay: Duration::ZERO,
        spare,
    };
    expect_that!(bucket.decide(now, &ask), eq(spare(8)));
    expect_that!(bucket.decide(now, &ask), eq(spare(0)));
}

#[googletest::test]
fn programs_that_are_refused_are_told_times_as_far_apart_as_they_can_begin() {
    let start = Instant::now();
    let now = start + SECOND * 60;
    let mut bucket = full(start, quota(80.0));
    let begun = granted_at_once(&mut bucket, now, Demand::Begin) as u32;
    // Eight requests a program are ten programs a second.
    let report = Ask {
        used: begun * 7,
        ..ask(Demand::Ahead, Duration::ZERO)
    };
    bucket.decide(now, &report);
    let mut told: Vec<Duration> = Vec::new();
    for _ in 0..5 {
        if let Verdict::Refused { retry_after, .. } =
            bucket.decide(now, &ask(Demand::Begin, Duration::ZERO))
        {
            told.push(retry_after);
        }
    }
    expect_that!(told.len(), eq(5));
    expect_that!(told.is_sorted(), eq(true));
    expect_that!(told[4] - told[0], all!(ge(MS * 399), le(MS * 401)));
    expect_that!(told[4], le(SECOND * 5));
}
