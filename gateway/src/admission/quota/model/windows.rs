//! Checks that no window exceeds the quota, and that most of it is used.

use super::*;

/// Returns the most that was sent in a window that begins at `from` or later.
fn most_in_window(sent: &[Instant], from: Instant) -> usize {
    let mut sent: Vec<Instant> = sent.iter().copied().filter(|at| *at >= from).collect();
    sent.sort();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in sent.iter().enumerate() {
        while *at - sent[first] >= WINDOW {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn tolerated(quota: Quota) -> usize {
    let regular = quota.rate_per_s * WINDOW.as_secs_f64() + quota.burst;
    (regular * (1.0 + OVERAGE) + SLACK) as usize
}

/// Load: the usual, then from 6 to 16 s many times that.
fn hot(rate_per_s: f64) -> impl Fn(Duration) -> f64 {
    move |elapsed| {
        let is_hot = (MS * 6_000..MS * 16_000).contains(&elapsed);
        rate_per_s / 1.6 * if is_hot { 7.0 } else { 1.0 }
    }
}

/// Numbers of gateways, each with quotas in requests a second.
const SITES: [(usize, f64); 6] = [
    (7, 4.0),
    (7, 850.0),
    (34, 60.0),
    (34, 850.0),
    (127, 4.0),
    (127, 850.0),
];

fn no_window_exceeds_the_quota(fault: Fault, loss: f64) {
    for (number, (gateways, rate_per_s)) in SITES.into_iter().enumerate() {
        let seed = number as u64 + 1;
        let mut site = Site::new(seed, gateways, rate_per_s, fault, loss);
        site.run(hot(rate_per_s), gateways);
        let from = match fault {
            // One window after the quota was cut.
            Fault::Cut => site.start + MS * 10_000 + WINDOW,
            _ => site.start,
        };
        let most = most_in_window(&site.sent, from);
        let case = format!("{fault:?}, {gateways} gateways, {rate_per_s}/s, seed {seed}");
        expect_that!(most, le(tolerated(site.quota)), "{case}");
        expect_that!(most, gt(0), "{case}");
    }
}

#[googletest::test]
fn no_window_exceeds_the_quota_without_faults() {
    no_window_exceeds_the_quota(Fault::None, 0.0);
}

#[googletest::test]
fn no_window_exceeds_the_quota_while_messages_are_lost() {
    no_window_exceeds_the_quota(Fault::None, 0.2);
}

#[googletest::test]
fn no_window_exceeds_the_quota_while_gateways_die() {
    no_window_exceeds_the_quota(Fault::Deaths, 0.01);
}

#[googletest::test]
fn no_window_exceeds_the_quota_while_the_granting_gateway_freezes() {
    no_window_exceeds_the_quota(Fault::Freezes, 0.01);
}

#[googletest::test]
fn no_window_exceeds_the_quota_with_two_views() {
    no_window_exceeds_the_quota(Fault::TwoViews, 0.01);
}

#[googletest::test]
fn no_window_exceeds_the_quota_when_all_are_killed() {
    no_window_exceeds_the_quota(Fault::AllKilled, 0.01);
}

#[googletest::test]
fn no_window_exceeds_a_quota_that_was_cut() {
    no_window_exceeds_the_quota(Fault::Cut, 0.01);
}

// Guards against shares that strand a quota: an account's callers may sit behind one gateway.
#[googletest::test]
fn nine_tenths_of_a_quota_are_used_behind_one_gateway_and_behind_all() {
    for (gateways, rate_per_s) in SITES {
        for spread in [1, gateways] {
            let mut site = Site::new(5, gateways, rate_per_s, Fault::None, 0.0);
            site.run(|_| rate_per_s * 1.5, spread);
            let used = site.sent_between(MS * 10_000, MS * 18_000);
            let expected = (rate_per_s * 8.0 * 0.9) as usize;
            let case = format!("{gateways} gateways, {rate_per_s}/s behind {spread}");
            expect_that!(used, ge(expected), "{case}");
        }
    }
}

// Guards against messages for accounts that are far from their quota.
#[googletest::test]
fn an_account_far_from_its_quota_costs_few_messages() {
    for gateways in [7, 34, 127] {
        let mut site = Site::new(6, gateways, 4_000.0, Fault::None, 0.0);
        let per_s = 25.0 * gateways as f64;
        site.run(|_| per_s.min(2_000.0), gateways);
        let asked_per_request = site.asked as f64 / site.sent.len() as f64;
        expect_that!(asked_per_request, lt(0.35), "{gateways} gateways");
    }
}
