//! What the system tests share.

mod process;

pub(crate) use process::Process;

use futures_lite::FutureExt;
use galenapick::ids::{Epoch, NodeId, ProgramId, partition_of};
use galenapick::protocol::caller::ProgramRequest;
use galenapick::{
    Client, ClusterOptions, Deployment, Launcher, LocalCluster, Plan, ProgramResult, Record,
    RetryDeadline, RunOptions, RunningNode, Timeouts, audit_actions, run_program,
};
use rustix::process::Signal;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A test that takes longer is stuck.
const TEST_LIMIT: Duration = Duration::from_secs(150);

/// How long a caller keeps trying.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(20);

/// A system of real processes.
pub(crate) type Cluster = LocalCluster<Processes>;

/// Runs nodes as child processes.
#[derive(Debug)]
pub(crate) struct Processes;

impl Launcher for Processes {
    type Node = Process;

    async fn launch(&self, name: &str, settings: &str) -> anyhow::Result<Process> {
        let (name, settings) = (name.to_owned(), settings.to_owned());
        Ok(smol::unblock(move || Process::start(&name, &settings)).await)
    }
}

impl RunningNode for Process {
    fn http_address(&self) -> SocketAddr {
        self.http
    }

    fn link_address(&self) -> SocketAddr {
        self.link
    }

    fn kill(mut self) {
        Process::kill(&mut self);
    }

    async fn shut_down(mut self) -> bool {
        self.terminate();
        let status = smol::unblock(move || self.wait()).await;
        status.is_some_and(|status| status.success())
    }
}

/// Stops a node's threads; its connections stay open.
pub(crate) fn pause(cluster: &Cluster, name: &str) {
    signal(cluster, name, Signal::STOP);
}

/// Lets a node's threads go on.
pub(crate) fn resume(cluster: &Cluster, name: &str) {
    signal(cluster, name, Signal::CONT);
}

fn signal(cluster: &Cluster, name: &str, signal: Signal) {
    let process = cluster.node(name).and_then(|node| node.running.as_ref());
    process.expect("it runs").signal(signal);
}

/// Runs a test on a system of its own; one that is stuck fails.
pub(crate) fn with_cluster(options: ClusterOptions, test: impl AsyncFnOnce(&mut Cluster)) {
    smol::block_on(async {
        let run = async {
            let mut cluster = Cluster::start(Processes, options).await.expect("it starts");
            test(&mut cluster).await;
        };
        let limit = async {
            Timer::after(TEST_LIMIT).await;
            panic!("the test is stuck");
        };
        run.or(limit).await;
    });
}

/// A small system: one engine and one service server for each deployment.
pub(crate) fn small(entries: usize) -> ClusterOptions {
    ClusterOptions {
        entries,
        engines: 1,
        services: 1,
        partitions: 4,
        time_scale: 0.1,
        log_level: "info".to_owned(),
        ..ClusterOptions::default()
    }
}

/// A client of the time bank that gives connections up soon.
pub(crate) fn bank_client(cluster: &Cluster) -> Client {
    let token = Deployment::SaaMubadala.tokens()[0];
    cluster.client(token).with_timeouts(Timeouts {
        reply: Duration::from_secs(5),
        answer: Duration::from_secs(10),
        silence: Duration::from_secs(5),
    })
}

/// Begins a program.
pub(crate) async fn begin(client: &Client, key: &str) -> ProgramId {
    let request = ProgramRequest {
        key: Some(key.to_owned()),
        ..ProgramRequest::default()
    };
    let begun = client
        .create_with_retry(&request, RetryDeadline::after(PATIENCE))
        .await;
    begun.result.expect("a program begins").program
}

/// The node whose claim of a program's partition is in force, read from the log itself.
pub(crate) fn owner_of(cluster: &Cluster, program: ProgramId, partitions: u16) -> Option<NodeId> {
    let stream = format!("partition-{}", partition_of(program, partitions));
    let mut epoch: Epoch = 0;
    let mut owner = None;
    for record in cluster.platform.log.records(&stream) {
        let decoded = ciborium::from_reader(record.data.as_slice());
        if let Ok(Record::Claim(claim)) = decoded
            && claim.expects == epoch
        {
            epoch = record.offset;
            owner = Some(claim.owner);
        }
    }
    owner
}

/// Runs programs at once and checks all that their callers and the services saw.
pub(crate) async fn run_checked(cluster: &Cluster, plans: &[Plan]) -> Vec<ProgramResult> {
    let clients: Vec<Client> = plans.iter().map(|plan| client_of(cluster, plan)).collect();
    let runs = plans.iter().zip(&clients).enumerate();
    let runs = runs.map(async |(number, (plan, client))| {
        let client = client.starting_at(number);
        run_program(&client, plan, RunOptions::checked()).await
    });
    futures_util::future::join_all(runs).await
}

/// A client for a plan's deployment.
fn client_of(cluster: &Cluster, plan: &Plan) -> Client {
    cluster
        .client(plan.deployment.tokens()[0])
        .with_timeouts(Timeouts {
            reply: Duration::from_secs(5),
            answer: Duration::from_secs(15),
            silence: Duration::from_secs(8),
        })
}

/// Everything that contradicts a promise, in the callers' results and the services' counts.
pub(crate) fn broken_promises(cluster: &Cluster, results: &[ProgramResult]) -> Vec<String> {
    let mut broken = audit_actions(results, &cluster.platform.action_runs());
    for result in results {
        broken.extend(result.history_errors.iter().cloned());
        broken.extend(result.answer_errors.iter().cloned());
        broken.extend(result.budget_errors.iter().cloned());
    }
    broken
}

/// Waits until something holds; false if it does not in time.
pub(crate) async fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let give_up = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= give_up {
            return false;
        }
        Timer::after(LOOK).await;
    }
    true
}

/// Waits until no engine holds memory of these programs; returns the tokens still held.
pub(crate) async fn held_after(cluster: &Cluster, programs: &[ProgramId], limit: Duration) -> u64 {
    let held = || {
        let held = cluster.platform.cached_programs();
        programs.iter().filter_map(|id| held.get(id)).sum::<u64>()
    };
    wait_for(limit, || held() == 0).await;
    held()
}
