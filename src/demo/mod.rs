//! The demonstration: runs a mix of programs on a local cluster and checks the results.

mod faults;
mod options;
mod progress;
mod report;

pub use options::DemoOptions;
pub use report::DemoReport;

use crate::client::{Client, Timeouts};
use crate::cluster::{ClusterOptions, InProcess, LocalCluster};
use crate::workload::{Deployment, Plan, Planner, ProgramResult, RunOptions, run_program};
use faults::{FaultInjector, FaultLog};
use futures_lite::FutureExt;
use progress::Progress;
use smol::Timer;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Maximum number of programs that run concurrently.
const MAX_CONCURRENT_PROGRAMS: usize = 24;

/// Maximum time for the engines to free the cache of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of the engines' caches.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demonstration and returns its report.
///
/// Fails if the cluster does not start, or if a killed node does not restart.
pub async fn run_demo(options: &DemoOptions) -> anyhow::Result<DemoReport> {
    let mut cluster = start_cluster(options).await?;
    let started_at = Instant::now();
    let progress = Progress::new(options.programs, options.quiet);
    let faults = FaultLog::default();
    let clients = Clients::new(&cluster, options.faults);
    let programs = run_programs(options, &clients, &progress);
    let results = match options.faults {
        true => {
            let mut injector = FaultInjector::new(options.seed, &mut cluster, &faults, &progress);
            let results = programs.or(injector.run()).await;
            injector.clear_faults().await?;
            results
        }
        false => programs.await,
    };
    let elapsed = started_at.elapsed();
    let held_tokens = wait_for_release(&cluster, &results).await;
    let report = DemoReport::gather(
        options,
        &cluster.platform,
        &results,
        &faults,
        elapsed,
        held_tokens,
    );
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

/// Clients of the cluster, one for each client account.
struct Clients {
    by_deployment: Vec<(Deployment, Client)>,
}

impl Clients {
    fn new(cluster: &LocalCluster<InProcess>, with_faults: bool) -> Self {
        let mut by_deployment = Vec::new();
        for deployment in Deployment::iter() {
            for token in deployment.tokens() {
                let client = cluster.client(token).with_timeouts(timeouts(with_faults));
                by_deployment.push((deployment, client));
            }
        }
        Self { by_deployment }
    }

    /// Returns the client for a program by its number. Client accounts and entries are used in
    /// turn.
    fn select(&self, deployment: Deployment, number: usize) -> Client {
        let clients: Vec<&Client> = self
            .by_deployment
            .iter()
            .filter(|(other, _)| *other == deployment)
            .map(|(_, client)| client)
            .collect();
        clients[number % clients.len()].starting_at(number)
    }
}

/// Returns the client timeouts. They are shorter with faults, so that dead connections are
/// abandoned sooner.
fn timeouts(with_faults: bool) -> Timeouts {
    match with_faults {
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
    let (permit_tx, permit_rx) = async_channel::bounded(MAX_CONCURRENT_PROGRAMS);
    for (number, plan) in plans.into_iter().enumerate() {
        // Sending cannot fail, since this function holds both ends of the channel.
        let _ = permit_tx.send(()).await;
        let client = clients.select(plan.deployment, number);
        let (tx, permits) = (tx.clone(), permit_rx.clone());
        progress.program_started();
        smol::spawn(async move {
            let result = run_program(&client, &plan, RunOptions::checked()).await;
            let _ = permits.recv().await;
            let _ = tx.send(result).await;
        })
        .detach();
        for result in std::iter::from_fn(|| rx.try_recv().ok()).collect::<Vec<_>>() {
            progress.program_finished(result);
        }
    }
    drop(tx);
    while let Ok(result) = rx.recv().await {
        progress.program_finished(result);
    }
    progress.take_results()
}

/// Waits until the engines have released the caches of ended programs, or until the timeout.
/// Returns the number of tokens still held.
async fn wait_for_release(cluster: &LocalCluster<InProcess>, results: &[ProgramResult]) -> u64 {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let cached = cluster.platform.cached_programs();
        let ended = results.iter().filter_map(|result| result.program);
        let tokens = ended.filter_map(|program| cached.get(&program)).sum();
        if tokens == 0 || Instant::now() >= deadline {
            return tokens;
        }
        Timer::after(RELEASE_POLL_INTERVAL).await;
    }
}
