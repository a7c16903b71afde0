//! Open-loop load: programs begin when they are due, whether or not earlier ones are done.
//!
//! Latency counts from the moment at which a program was due, so that a system that stalls does
//! not hide the programs that would have begun meanwhile.

mod options;
mod report;

#[cfg(test)]
mod tests;

pub use options::LoadOptions;
pub use report::{LoadReport, LoadRow};

use crate::client::Client;
use crate::workload::{Plan, Planner, ProgramResult, RunOptions, run_program};
use async_channel::Sender;
use smol::Timer;
use std::time::{Duration, Instant};

/// Odd number that spreads seeds.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Draws the times at which programs are due, as offsets from the start.
pub(crate) fn arrivals(seed: u64, rate_per_s: f64, time: Duration) -> Vec<Duration> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SEED_STEP);
    let mut due = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.f64()).ln() / rate_per_s;
        if at >= time.as_secs_f64() {
            return due;
        }
        due.push(Duration::from_secs_f64(at));
    }
}

/// Runs the load and waits for every program.
pub async fn run_load(options: &LoadOptions) -> LoadReport {
    let client = Client::new(options.entries.clone(), &options.token);
    let mut planner = Planner::new(options.seed).with_pause_scale(options.pause_scale);
    let (tx, rx) = async_channel::unbounded();
    let start = Instant::now();
    let due = arrivals(options.seed, options.rate_per_s, options.time);
    let planned = due.len();
    for (number, at) in due.into_iter().enumerate() {
        let plan = planner.plan(options.deployment);
        let intended = start + at;
        Timer::at(intended).await;
        let client = client.starting_at(number);
        let check = options.check_answers;
        smol::spawn(run_one(client, plan, intended, check, tx.clone())).detach();
    }
    drop(tx);
    let mut report = LoadReport::new(planned);
    while let Ok((intended, result)) = rx.recv().await {
        report.add(intended.duration_since(start), &result);
    }
    report.elapsed_s = start.elapsed().as_secs_f64();
    report
}

async fn run_one(
    client: Client,
    plan: Plan,
    intended_start: Instant,
    check_answers: bool,
    tx: Sender<(Instant, ProgramResult)>,
) {
    let options = RunOptions {
        check_answers,
        intended_start,
    };
    let result = run_program(&client, &plan, options).await;
    // The receiver waits for all senders.
    let _ = tx.send((intended_start, result)).await;
}
