//! Tests that runs are reproducible, count every program and separate the policies.

use super::driver::{Driver, RunConfig};
use super::faults::ExperimentFault;
use super::mix;
use super::policy::Policy;
use super::runs::capacity_per_s;
use super::stats::Stats;
use googletest::prelude::*;
use std::time::Duration;

fn run(policy: Policy, fault: ExperimentFault, load: f64, seed: u64) -> Stats {
    let deployment = mix::tn_north();
    let cfg = RunConfig {
        policy,
        fault,
        seed,
        rate_per_s: capacity_per_s(&deployment) * load,
        arrival_period: Duration::from_secs(15),
        warm_up: Duration::ZERO,
    };
    Driver::new(cfg, &deployment).run()
}

#[gtest]
fn runs_with_the_same_seed_are_identical() {
    let first = run(Policy::Galenapick, ExperimentFault::None, 0.5, 3);
    let again = run(Policy::Galenapick, ExperimentFault::None, 0.5, 3);
    expect_that!(first.latency_ms, eq(&again.latency_ms));
    expect_that!(first.recomputed_tokens, eq(again.recomputed_tokens));
}

#[gtest]
fn every_program_is_counted_once_under_every_policy() {
    let policies = [
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::PrefixSticky,
        Policy::Galenapick,
    ];
    let programs = policies.map(|policy| {
        let stats = run(policy, ExperimentFault::None, 0.3, 1);
        stats.latency_ms.len()
    });
    expect_that!(programs[0], gt(10));
    expect_that!(programs, each(eq(programs[0])));
}

#[gtest]
fn galenapick_recomputes_less_than_half_as_much_as_least_loaded() {
    let galenapick = run(Policy::Galenapick, ExperimentFault::None, 0.5, 2);
    let least_loaded = run(Policy::LeastLoaded, ExperimentFault::None, 0.5, 2);
    expect_that!(
        galenapick.recomputed_tokens * 2,
        lt(least_loaded.recomputed_tokens)
    );
}

#[gtest]
fn partial_load_survives_a_dead_endpoint_without_a_retry_storm() {
    let stats = run(Policy::Galenapick, ExperimentFault::Dead, 0.4, 4);
    expect_that!(stats.met_share(), gt(0.9));
    expect_that!(stats.sent as f64 / stats.calls as f64, le(1.2));
}
