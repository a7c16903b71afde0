//! The demonstration: a whole system on loopback, a mix of programs, and what came of it.

mod faults;
mod options;
mod progress;
mod report;

pub use options::DemoOptions;
pub use report::DemoReport;

use crate::client::{Client, Timeouts};
use crate::cluster::{ClusterOptions, InProcess, LocalCluster};
use crate::workload::{Deployment, Plan, Planner, ProgramResult, RunOptions, run_program};
use faults::{Chaos, FaultLog};
use futures_lite::FutureExt;
use progress::Progress;
use smol::Timer;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Programs that run at once.
const AT_ONCE: usize = 24;

/// How long engines may take to free the memory of programs that are over.
const RELEASE_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at the engines' memory.
const RELEASE_PAUSE: Duration = Duration::from_millis(100);

/// Runs the demonstration.
pub async fn run_demo(options: &DemoOptions) -> anyhow::Result<DemoReport> {
    let mut cluster = start_cluster(options).await?;
    let begun = Instant::now();
    let progress = Progress::new(options.programs, options.quiet);
    let faults = FaultLog::default();
    let clients = Clients::of(&cluster, options.faults);
    let programs = run_programs(options, &clients, &progress);
    let results = match options.faults {
        true => {
            let mut chaos = Chaos::new(options.seed, &mut cluster, &faults, &progress);
            let results = programs.or(chaos.run()).await;
            chaos.heal().await?;
            results
        }
        false => programs.await,
    };
    let elapsed = begun.elapsed();
    let held = wait_for_release(&cluster, &results).await;
    let report = DemoReport::gather(options, &cluster.platform, &results, &faults, elapsed, held);
    cluster.kill_all();
    Ok(report)
}

async fn start_cluster(options: &DemoOptions) -> anyhow::Result<LocalCluster<InProcess>> {
    let cluster = ClusterOptions {
        seed: options.seed,
        ..ClusterOptions::default()
    };
    LocalCluster::start(InProcess, cluster).await
}

/// A client for each client account.
struct Clients {
    of: Vec<(Deployment, Client)>,
}

impl Clients {
    fn of(cluster: &LocalCluster<InProcess>, impatient: bool) -> Self {
        let mut of = Vec::new();
        for deployment in Deployment::iter() {
            for token in deployment.tokens() {
                let client = cluster.client(token).with_timeouts(timeouts(impatient));
                of.push((deployment, client));
            }
        }
        Self { of }
    }

    /// A client of a deployment for a program by its number.
    fn pick(&self, deployment: Deployment, number: usize) -> Client {
        let of: Vec<&Client> = self
            .of
            .iter()
            .filter(|(other, _)| *other == deployment)
            .map(|(_, client)| client)
            .collect();
        of[number % of.len()].starting_at(number)
    }
}

/// With faults, connections are given up sooner.
fn timeouts(impatient: bool) -> Timeouts {
    match impatient {
        true => Timeouts {
            reply: Duration::from_secs(5),
            answer: Duration::from_secs(15),
            silence: Duration::from_secs(8),
        },
        false => Timeouts::default(),
    }
}

async fn run_programs(
    options: &DemoOptions,
    clients: &Clients,
    progress: &Progress,
) -> Vec<ProgramResult> {
    let mut planner = Planner::new(options.seed);
    let deployments: Vec<Deployment> = Deployment::iter().collect();
    let plans: Vec<Plan> = (0..options.programs)
        .map(|number| planner.plan(deployments[number % deployments.len()]))
        .collect();
    let (tx, rx) = async_channel::unbounded();
    let (permit_tx, permit_rx) = async_channel::bounded(AT_ONCE);
    for (number, plan) in plans.into_iter().enumerate() {
        // Never closed: both ends live here.
        let _ = permit_tx.send(()).await;
        let client = clients.pick(plan.deployment, number);
        let (tx, permits) = (tx.clone(), permit_rx.clone());
        progress.begin();
        smol::spawn(async move {
            let result = run_program(&client, &plan, RunOptions::checked()).await;
            let _ = permits.recv().await;
            let _ = tx.send(result).await;
        })
        .detach();
        for result in std::iter::from_fn(|| rx.try_recv().ok()).collect::<Vec<_>>() {
            progress.end(result);
        }
    }
    drop(tx);
    while let Ok(result) = rx.recv().await {
        progress.end(result);
    }
    progress.take()
}

/// Waits until the engines hold nothing of programs that are over; returns the tokens still held.
async fn wait_for_release(cluster: &LocalCluster<InProcess>, results: &[ProgramResult]) -> u64 {
    let give_up = Instant::now() + RELEASE_LIMIT;
    loop {
        let held = cluster.platform.held();
        let over = results.iter().filter_map(|result| result.program);
        let tokens = over.filter_map(|program| held.get(&program)).sum();
        if tokens == 0 || Instant::now() >= give_up {
            return tokens;
        }
        Timer::after(RELEASE_PAUSE).await;
    }
}
