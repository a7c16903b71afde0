//! Shared helpers of the system tests.

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

/// A test that takes longer is considered stuck.
const TEST_TIMEOUT: Duration = Duration::from_secs(150);

/// Maximum time for which a caller retries.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A cluster of real processes.
pub(crate) type Cluster = LocalCluster<Processes>;

/// Launches nodes as child processes.
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

/// Stops a node's threads with SIGSTOP. Its connections stay open.
pub(crate) fn pause(cluster: &Cluster, name: &str) {
    signal(cluster, name, Signal::STOP);
}

/// Resumes a node's threads with SIGCONT.
pub(crate) fn resume(cluster: &Cluster, name: &str) {
    signal(cluster, name, Signal::CONT);
}

fn signal(cluster: &Cluster, name: &str, signal: Signal) {
    let process = cluster.node(name).and_then(|node| node.running.as_ref());
    process.expect("the node is running").signal(signal);
}

/// Runs a test on its own cluster. The test fails after [`TEST_TIMEOUT`].
pub(crate) fn with_cluster(options: ClusterOptions, test: impl AsyncFnOnce(&mut Cluster)) {
    smol::block_on(async {
        let run = async {
            let mut cluster = Cluster::start(Processes, options)
                .await
                .expect("the cluster starts");
            test(&mut cluster).await;
        };
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            panic!("the test did not finish in time");
        };
        run.or(timeout).await;
    });
}

/// Returns the options of a small cluster: one engine and one service server per deployment.
pub(crate) fn small_cluster(entries: usize) -> ClusterOptions {
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

/// Returns a client of the time bank with short connection timeouts.
pub(crate) fn bank_client(cluster: &Cluster) -> Client {
    let token = Deployment::SaaMubadala.tokens()[0];
    cluster.client(token).with_timeouts(Timeouts {
        reply: Duration::from_secs(5),
        answer: Duration::from_secs(10),
        silence: Duration::from_secs(5),
    })
}

/// Creates a program under an idempotency key.
pub(crate) async fn create_program(client: &Client, key: &str) -> ProgramId {
    let request = ProgramRequest {
        key: Some(key.to_owned()),
        ..ProgramRequest::default()
    };
    let created = client
        .create_with_retry(&request, RetryDeadline::after(CALL_TIMEOUT))
        .await;
    created.result.expect("the program is created").program
}

/// Returns the owner of a program's partition according to the claims in the log.
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

/// Runs programs concurrently and records all checks of their callers.
pub(crate) async fn run_checked(cluster: &Cluster, plans: &[Plan]) -> Vec<ProgramResult> {
    let clients: Vec<Client> = plans.iter().map(|plan| client_of(cluster, plan)).collect();
    let runs = plans.iter().zip(&clients).enumerate();
    let runs = runs.map(async |(number, (plan, client))| {
        let client = client.starting_at(number);
        run_program(&client, plan, RunOptions::checked()).await
    });
    futures_util::future::join_all(runs).await
}

/// Returns a client for a plan's deployment.
fn client_of(cluster: &Cluster, plan: &Plan) -> Client {
    cluster
        .client(plan.deployment.tokens()[0])
        .with_timeouts(Timeouts {
            reply: Duration::from_secs(5),
            answer: Duration::from_secs(15),
            silence: Duration::from_secs(8),
        })
}

/// Returns every violation of a guarantee in the callers' results and the services' action counts.
pub(crate) fn find_violations(cluster: &Cluster, results: &[ProgramResult]) -> Vec<String> {
    let mut violations = audit_actions(results, &cluster.platform.action_runs());
    for result in results {
        violations.extend(result.history_errors.iter().cloned());
        violations.extend(result.answer_errors.iter().cloned());
        violations.extend(result.budget_errors.iter().cloned());
    }
    violations
}

/// Waits until a condition holds. Returns false if it does not hold within the timeout.
pub(crate) async fn wait_for(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        Timer::after(POLL_INTERVAL).await;
    }
    true
}

/// Waits until no engine caches tokens of these programs. Returns the tokens still cached.
pub(crate) async fn cached_tokens_after(
    cluster: &Cluster,
    programs: &[ProgramId],
    timeout: Duration,
) -> u64 {
    let cached_tokens = || {
        let cached = cluster.platform.cached_programs();
        programs.iter().filter_map(|id| cached.get(id)).sum::<u64>()
    };
    wait_for(timeout, || cached_tokens() == 0).await;
    cached_tokens()
}
