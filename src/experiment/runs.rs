//! Runs of one case under several policies and seeds.

use super::driver::{Driver, RunConfig};
use super::faults::ExperimentFault;
use super::mix::Deployment;
use super::policy::Policy;
use super::stats::Stats;
use crate::standin::EngineConfig;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time between tokens at which an engine's capacity is stated, in seconds.
const GAP_S: f64 = 0.028;

/// Part of a run whose arrivals are not counted.
const WARM_UP: f64 = 0.15;

/// One case.
#[derive(Clone, Copy)]
pub(crate) struct Case<'a> {
    /// The deployment.
    pub(crate) deployment: &'a Deployment,
    /// Load in percent of the capacity.
    pub(crate) load_percent: u32,
    /// The fault.
    pub(crate) fault: ExperimentFault,
    /// Time in which programs arrive.
    pub(crate) lasts: Duration,
}

/// What one case has shown.
pub(crate) struct CaseResult {
    /// The deployment's name.
    pub(crate) deployment: &'static str,
    /// Load in percent of the capacity.
    pub(crate) load_percent: u32,
    /// The fault.
    pub(crate) fault: ExperimentFault,
    /// Programs a second.
    pub(crate) rate_per_s: f64,
    /// Policies with their runs, one a seed.
    pub(crate) policies: Vec<(Policy, Vec<Stats>)>,
}

/// Returns the programs a second that fill the engines, if no prompt token is computed twice.
///
/// An engine's step lasts [`GAP_S`]; what its fixed part leaves is shared by prompts and answers.
pub(crate) fn capacity_per_s(deployment: &Deployment) -> f64 {
    let engine = EngineConfig::default();
    let work = deployment.mean_work();
    let prefill_s = work.prompt_tokens / engine.prefill_tokens_per_s;
    let decode_s = work.answer_tokens * engine.decode_per_stream.as_secs_f64();
    let free = 1.0 - engine.decode_base.as_secs_f64() / GAP_S;
    let by_time = free / (prefill_s + decode_s);
    let chunk_tokens_per_s = f64::from(engine.prefill_chunk_tokens) / GAP_S;
    let by_chunks = chunk_tokens_per_s / work.prompt_tokens;
    deployment.engines as f64 * by_time.min(by_chunks)
}

/// Runs a case under each policy with each seed.
pub(crate) fn run(case: &Case<'_>, policies: &[Policy], seeds: u64, jobs: usize) -> CaseResult {
    let rate_per_s = capacity_per_s(case.deployment) * f64::from(case.load_percent) / 100.0;
    let seeded = |policy: &Policy| (1..=seeds).map(|seed| (*policy, seed)).collect::<Vec<_>>();
    let todo: Vec<(Policy, u64)> = policies.iter().flat_map(seeded).collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    let work = || {
        while let Some((policy, seed)) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
            let stats = run_one(case, *policy, *seed, rate_per_s);
            let mut done = done.lock().expect("no run panics with the lock held");
            done.push((*policy, *seed, stats));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(work);
        }
    });
    let mut done = done.into_inner().expect("all threads have ended");
    done.sort_by_key(|(_, seed, _)| *seed);
    let mut results: Vec<_> = policies.iter().map(|p| (*p, Vec::new())).collect();
    for (policy, _, stats) in done {
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
        lasts: case.lasts,
        warm_up: case.lasts.mul_f64(WARM_UP),
    };
    Driver::new(cfg, case.deployment).run()
}
