//! Open-loop load generation: programs start at their arrival times, whether or not earlier programs
//! have finished.
//!
//! Latency counts from the arrival time of a program. Otherwise a stall of the system would hide the
//! delay of the programs that arrive during the stall.

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

/// Combined with the seed, so that arrival times and programs use different random sequences.
const SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;

/// Draws the arrival times of programs from a Poisson process, as offsets from the start.
pub(crate) fn arrival_times(seed: u64, rate_per_s: f64, duration: Duration) -> Vec<Duration> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
    let mut arrivals = Vec::new();
    let mut offset = 0.0;
    loop {
        offset += -(1.0 - rng.f64()).ln() / rate_per_s;
        if offset >= duration.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Duration::from_secs_f64(offset));
    }
}

/// Runs the load, waits for every program to finish and returns the report.
pub async fn run_load(options: &LoadOptions) -> LoadReport {
    let client = Client::new(options.entries.clone(), &options.token);
    let mut planner = Planner::new(options.seed).with_pause_scale(options.pause_scale);
    let (tx, rx) = async_channel::unbounded();
    let start = Instant::now();
    let arrivals = arrival_times(options.seed, options.rate_per_s, options.duration);
    let planned = arrivals.len();
    for (number, offset) in arrivals.into_iter().enumerate() {
        let plan = planner.plan(options.deployment);
        let intended = start + offset;
        Timer::at(intended).await;
        let client = client.starting_at(number);
        let check = options.check_answers;
        smol::spawn(run_and_send(client, plan, intended, check, tx.clone())).detach();
    }
    drop(tx);
    let mut report = LoadReport::new(planned);
    while let Ok((intended, result)) = rx.recv().await {
        report.add(intended.duration_since(start), &result);
    }
    report.elapsed_s = start.elapsed().as_secs_f64();
    report
}

async fn run_and_send(
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
    // This cannot fail, because the receiver stays open until all senders are dropped.
    let _ = tx.send((intended_start, result)).await;
}
