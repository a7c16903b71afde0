//! Tests of the experiment itself: it repeats, and it counts what it should.

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
        lasts: Duration::from_secs(15),
        warm_up: Duration::ZERO,
    };
    Driver::new(cfg, &deployment).run()
}

#[gtest]
fn a_seed_gives_the_same_run_again() {
    let first = run(Policy::Product, ExperimentFault::None, 0.5, 3);
    let again = run(Policy::Product, ExperimentFault::None, 0.5, 3);
    expect_that!(first.latency_ms, eq(&again.latency_ms));
    expect_that!(first.recomputed_tokens, eq(again.recomputed_tokens));
}

#[gtest]
fn every_program_is_counted_once_under_every_policy() {
    let policies = [
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::PrefixSticky,
        Policy::Product,
    ];
    let programs = policies.map(|policy| {
        let stats = run(policy, ExperimentFault::None, 0.3, 1);
        stats.latency_ms.len()
    });
    expect_that!(programs[0], gt(10));
    expect_that!(programs, each(eq(programs[0])));
}

#[gtest]
fn the_choice_by_cost_computes_less_again_than_the_least_loaded() {
    let product = run(Policy::Product, ExperimentFault::None, 0.5, 2);
    let simple = run(Policy::LeastLoaded, ExperimentFault::None, 0.5, 2);
    expect_that!(product.recomputed_tokens * 2, lt(simple.recomputed_tokens));
}

#[gtest]
fn half_the_capacity_survives_a_dead_endpoint_without_a_retry_storm() {
    let stats = run(Policy::Product, ExperimentFault::Dead, 0.4, 4);
    expect_that!(stats.met_share(), gt(0.9));
    expect_that!(stats.sent as f64 / stats.calls as f64, le(1.2));
}
