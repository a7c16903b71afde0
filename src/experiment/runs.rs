//! Execution of a case under several policies and seeds.

use super::driver::{Driver, RunConfig};
use super::faults::ExperimentFault;
use super::mix::Deployment;
use super::policy::Policy;
use super::stats::Stats;
use crate::standin::EngineConfig;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time between tokens for which an engine's capacity is defined, in seconds.
const TOKEN_INTERVAL_S: f64 = 0.028;

/// Share of the arrival period at the start of a run whose arrivals are left out of the statistics.
const WARM_UP_SHARE: f64 = 0.15;

/// Combination of deployment, load and fault to run.
#[derive(Clone, Copy)]
pub(crate) struct Case<'a> {
    /// Simulated deployment.
    pub(crate) deployment: &'a Deployment,
    /// Load in percent of the capacity.
    pub(crate) load_percent: u32,
    /// Injected fault.
    pub(crate) fault: ExperimentFault,
    /// Time during which programs arrive.
    pub(crate) arrival_period: Duration,
}

/// Results of one case.
pub(crate) struct CaseResult {
    /// Name of the deployment.
    pub(crate) deployment: &'static str,
    /// Load in percent of the capacity.
    pub(crate) load_percent: u32,
    /// Injected fault.
    pub(crate) fault: ExperimentFault,
    /// Mean arrival rate, in programs per second.
    pub(crate) rate_per_s: f64,
    /// Policies with the statistics of their runs, ordered by seed.
    pub(crate) policies: Vec<(Policy, Vec<Stats>)>,
}

/// Returns the arrival rate that saturates the engines if no prompt token is computed twice, in
/// programs per second.
///
/// An engine step takes [`TOKEN_INTERVAL_S`]. Prompts and answers share the time that remains after
/// the fixed cost of the step.
pub(crate) fn capacity_per_s(deployment: &Deployment) -> f64 {
    let engine = EngineConfig::default();
    let work = deployment.mean_work();
    let prefill_s = work.prompt_tokens / engine.prefill_tokens_per_s;
    let decode_s = work.answer_tokens * engine.decode_per_stream.as_secs_f64();
    let free = 1.0 - engine.decode_base.as_secs_f64() / TOKEN_INTERVAL_S;
    let time_bound = free / (prefill_s + decode_s);
    let chunk_tokens_per_s = f64::from(engine.prefill_chunk_tokens) / TOKEN_INTERVAL_S;
    let chunk_bound = chunk_tokens_per_s / work.prompt_tokens;
    deployment.engines as f64 * time_bound.min(chunk_bound)
}

/// Runs a case under each policy with the seeds 1 to `seeds`, on `jobs` threads.
pub(crate) fn run(case: &Case<'_>, policies: &[Policy], seeds: u64, jobs: usize) -> CaseResult {
    let rate_per_s = capacity_per_s(case.deployment) * f64::from(case.load_percent) / 100.0;
    let seeded = |policy: &Policy| (1..=seeds).map(|seed| (*policy, seed)).collect::<Vec<_>>();
    let pending_runs: Vec<(Policy, u64)> = policies.iter().flat_map(seeded).collect();
    let next = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    let worker = || {
        while let Some((policy, seed)) = pending_runs.get(next.fetch_add(1, Ordering::Relaxed)) {
            let stats = run_one(case, *policy, *seed, rate_per_s);
            let mut finished = finished.lock().expect("the lock is not poisoned");
            finished.push((*policy, *seed, stats));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(worker);
        }
    });
    let mut finished = finished.into_inner().expect("the lock is not poisoned");
    finished.sort_by_key(|(_, seed, _)| *seed);
    let mut results: Vec<_> = policies.iter().map(|p| (*p, Vec::new())).collect();
    for (policy, _, stats) in finished {
        if let Some((_, runs)) = results.iter_mut().find(|(p, _)| *p == policy) {
            runs.push(stats);
        }
    }
    CaseResult {
        deployment: case.deployment.name,
        load_percent: case.load_percent,
        fault: case.fault,
        rate_per_s,
        policies: results,
    }
}

fn run_one(case: &Case<'_>, policy: Policy, seed: u64, rate_per_s: f64) -> Stats {
    let cfg = RunConfig {
        policy,
        fault: case.fault,
        seed,
        rate_per_s,
        arrival_period: case.arrival_period,
        warm_up: case.arrival_period.mul_f64(WARM_UP_SHARE),
    };
    Driver::new(cfg, case.deployment).run()
}
