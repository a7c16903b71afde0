//! Shared helpers of the measurements.

#[path = "../../tests/system/support/process.rs"]
mod process;

use galenapick::ids::ProgramId;
use galenapick::protocol::caller::{CallRequest, ProgramRequest};
use galenapick::{
    Client, ClusterOptions, Deployment, Launcher, LocalCluster, Message, Role, RunningNode,
};
use process::Process;
use std::net::SocketAddr;
use std::time::Duration;

/// A cluster of real processes.
pub(crate) type Cluster = LocalCluster<Processes>;

/// Launches nodes as child processes.
pub(crate) struct Processes;

impl Launcher for Processes {
    type Node = Node;

    async fn launch(&self, name: &str, settings: &str) -> anyhow::Result<Node> {
        let (name, settings) = (name.to_owned(), settings.to_owned());
        Ok(Node(
            smol::unblock(move || Process::start(&name, &settings)).await,
        ))
    }
}

/// A node that runs as a child process.
pub(crate) struct Node(Process);

impl Node {
    /// Returns the CPU time of the process in milliseconds, as counted by the kernel.
    pub(crate) fn cpu_ms(&self) -> u64 {
        let pid = self.0.pid().as_raw_nonzero();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The 12th and 13th fields after the bracketed name are the user and the system time.
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let times = fields.split_whitespace().skip(11).take(2);
        let ticks: u64 = times.filter_map(|time| time.parse::<u64>().ok()).sum();
        ticks * 1_000 / rustix::param::clock_ticks_per_second()
    }
}

impl RunningNode for Node {
    fn http_address(&self) -> SocketAddr {
        self.0.http
    }

    fn link_address(&self) -> SocketAddr {
        self.0.link
    }

    fn kill(mut self) {
        self.0.kill();
    }

    async fn shut_down(mut self) -> bool {
        self.0.terminate();
        let status = smol::unblock(move || self.0.wait()).await;
        status.is_some_and(|status| status.success())
    }
}

/// Returns the options of a cluster with one engine and one service server per deployment.
pub(crate) fn cluster_options(entries: usize, time_scale: f64) -> ClusterOptions {
    ClusterOptions {
        entries,
        engines: 1,
        services: 1,
        time_scale,
        ..ClusterOptions::default()
    }
}

/// Returns a client of the time bank that connects to the nodes without the fault proxies.
pub(crate) fn direct_client(cluster: &Cluster, entries: &[&str]) -> Client {
    let address = |name: &&str| {
        let node = cluster.node(name).and_then(|node| node.running.as_ref());
        node.map(|node| node.http_address().to_string())
    };
    let token = Deployment::SaaMubadala.tokens()[0];
    Client::new(entries.iter().filter_map(address), token)
}

/// Creates a program.
pub(crate) async fn create_program(client: &Client) -> anyhow::Result<ProgramId> {
    Ok(client.create(&ProgramRequest::default()).await?.program)
}

/// Returns a model call.
pub(crate) fn model_call(text: &str, max_tokens: u32) -> CallRequest {
    let message = Message::new(Role::User, text);
    CallRequest::model("matcher-llm", vec![message], max_tokens)
}

/// Prints the median, the 95th percentile and the maximum of times in milliseconds.
pub(crate) fn print_times(name: &str, times: &mut [Duration]) {
    times.sort();
    let percentile = |share: f64| {
        let index = ((times.len() as f64 - 1.0) * share).round() as usize;
        times[index].as_secs_f64() * 1_000.0
    };
    println!(
        "{name:<44} n {:>6}  p50 {:>8.2} ms  p95 {:>8.2} ms  max {:>8.2} ms",
        times.len(),
        percentile(0.5),
        percentile(0.95),
        percentile(1.0)
    );
}
