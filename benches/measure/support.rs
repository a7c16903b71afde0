//! What the measurements share.

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

/// A system of real processes.
pub(crate) type Cluster = LocalCluster<Processes>;

/// Runs nodes as child processes.
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
    /// Time that its threads have run, in milliseconds, as the kernel counts it.
    pub(crate) fn cpu_ms(&self) -> u64 {
        let pid = self.0.pid().as_raw_nonzero();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // After the name in brackets the 12th and 13th fields are user and system time.
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

/// One engine and one service server for each deployment.
pub(crate) fn small(entries: usize, time_scale: f64) -> ClusterOptions {
    ClusterOptions {
        entries,
        engines: 1,
        services: 1,
        time_scale,
        ..ClusterOptions::default()
    }
}

/// A client of the time bank that talks to the nodes without the fault proxies.
pub(crate) fn client(cluster: &Cluster, entries: &[&str]) -> Client {
    let address = |name: &&str| {
        let node = cluster.node(name).and_then(|node| node.running.as_ref());
        node.map(|node| node.http_address().to_string())
    };
    let token = Deployment::SaaMubadala.tokens()[0];
    Client::new(entries.iter().filter_map(address), token)
}

/// Begins a program.
pub(crate) async fn begin(client: &Client) -> anyhow::Result<ProgramId> {
    Ok(client.create(&ProgramRequest::default()).await?.program)
}

/// A model call.
pub(crate) fn ask(text: &str, max_tokens: u32) -> CallRequest {
    let message = Message::new(Role::User, text);
    CallRequest::model("matcher-llm", vec![message], max_tokens)
}

/// Prints percentiles of times in milliseconds.
pub(crate) fn print_times(name: &str, times: &mut [Duration]) {
    times.sort();
    let at = |share: f64| {
        let index = ((times.len() as f64 - 1.0) * share).round() as usize;
        times[index].as_secs_f64() * 1_000.0
    };
    println!(
        "{name:<44} n {:>6}  p50 {:>8.2} ms  p95 {:>8.2} ms  max {:>8.2} ms",
        times.len(),
        at(0.5),
        at(0.95),
        at(1.0)
    );
}
