//! The daemon: runs one entry or one sidecar with its listeners, from start to shutdown.

mod args;
mod build;
mod signals;
#[cfg(test)]
mod tests;

use crate::adapter::{HttpEngine, HttpLog, HttpService};
use crate::entry::{Entry, Unreadiness};
use crate::environment::Environment;
use crate::protocol::link::LinkProtocol;
use crate::protocol::vms::NodeRole;
use crate::settings::Settings;
use crate::sidecar::Sidecar;
use crate::telemetry::Telemetry;
use crate::transport::link::{RequestHandler, Traffic, accept};
use crate::transport::spawn::Runtime;
use anyhow::Context;
use build::NodeBuilder;
use signals::StopSignals;
use smol::Timer;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium::{Conn, Handler, Status};
use trillium_router::Router;
use trillium_server_common::{ServerHandle, Swansong};

/// Length of the accept queue of a listener.
const LISTEN_BACKLOG: i32 = 4_096;

/// Interval at which a shutdown checks whether the node is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a leaving node still accepts connections, so that its peers and callers learn that
/// it leaves before it stops.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// Longest wait for open HTTP connections once the node is idle.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of parts of a short time limit, one of which is for the answers to unfinished requests and
/// the exit of the process.
const SHORT_LIMIT_PARTS: u32 = 4;

/// Times of a shutdown, since its start. They are in order and within the time limit.
struct Schedule {
    /// End of the notice.
    notice: Duration,
    /// Latest time at which work is still under way.
    drain: Duration,
    /// Longest wait for the answers to unfinished requests. The rest is for the exit.
    answers: Duration,
}

impl Schedule {
    fn new(limit: Duration) -> Self {
        let margin = CLOSE_TIMEOUT.min(limit / SHORT_LIMIT_PARTS);
        let drain = limit - margin;
        Self {
            notice: LEAVE_NOTICE.min(drain / 2),
            drain,
            answers: margin / 2,
        }
    }
}

/// The node that a daemon runs.
#[derive(Clone)]
pub(crate) enum Node {
    /// An entry.
    Entry(Entry<HttpLog>),
    /// A sidecar.
    Sidecar(Sidecar<HttpEngine, HttpService>),
}

/// A running daemon. Dropping it aborts all its tasks immediately, like a kill.
pub struct Daemon {
    node: Node,
    http_server: ServerHandle,
    http_address: SocketAddr,
    link_address: SocketAddr,
    shutdown_limit: Duration,
    traffic: Arc<Traffic>,
    runtime: Option<Runtime>,
}

impl Daemon {
    /// Binds the listeners and starts the node. Fails if an address cannot be bound or a setting that
    /// the role requires is missing.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let link_listener = listen(settings.listen.link).await?;
        let http_listener = listen(settings.listen.http).await?;
        let link_address = link_listener
            .local_addr()
            .context("the link listener has no address")?;
        let http_address = http_listener
            .local_addr()
            .context("the HTTP listener has no address")?;
        let runtime = Runtime::start(&settings.node.name, build::executor_threads(&settings))
            .context("the daemon's threads cannot be started")?;
        let builder = NodeBuilder::new(&settings, runtime.spawner());
        let node = builder.build_node()?;
        match &node {
            Node::Entry(entry) => serve_links(&builder, link_listener, entry.clone()),
            Node::Sidecar(sidecar) => serve_links(&builder, link_listener, sidecar.clone()),
        }
        let http_server = serve_http(&settings, http_listener, &node);
        let (name, region) = (&settings.node.name, &settings.node.region);
        log::info!(target: "daemon", "daemon: node {name} started, region {region:?}");
        Ok(Self {
            node,
            http_server,
            http_address,
            link_address,
            shutdown_limit: Duration::from_secs(settings.limits.shutdown_limit_s),
            traffic: builder.traffic(),
            runtime: Some(runtime),
        })
    }

    /// Returns the address of the HTTP listener.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address of the link listener.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Puts environments in force that are not in the log, for demonstrations and tests. Has no effect
    /// on a sidecar.
    pub fn serve_environments(&self, environments: Vec<Environment>) {
        if let Node::Entry(entry) = &self.node {
            build::serve_environments(entry, environments);
        }
    }

    /// Adds a node that is not in the settings. Has no effect on a sidecar.
    pub fn add_node(&self, name: &str, role: NodeRole, address: SocketAddr, failure_domain: &str) {
        if let Node::Entry(entry) = &self.node {
            entry.add_node(name, role, &address.to_string(), failure_domain);
        }
    }

    /// Returns the version of the configuration in force on this node; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        match &self.node {
            Node::Entry(entry) => entry.environments().version(),
            Node::Sidecar(sidecar) => sidecar.configuration_version(),
        }
    }

    /// Returns the bytes sent and received on links, without TCP and IP headers.
    pub fn link_bytes(&self) -> (u64, u64) {
        self.traffic.bytes()
    }

    /// Returns whether the node accepts callers, as reported by `/readyz`.
    pub fn is_ready(&self) -> bool {
        self.node.unreadiness().is_none()
    }

    /// Aborts everything immediately, as if the process were killed.
    pub fn kill(mut self) {
        drop(self.runtime.take());
        drop(self.http_server.shut_down());
    }

    /// Shuts down gracefully: hands over partitions, accepts no more connections after
    /// a short notice, and waits for running calls. Requests that are unfinished near the time limit
    /// are answered within it.
    ///
    /// Returns `false` if work was still running then.
    pub async fn shut_down(self) -> bool {
        log::info!(target: "daemon", "daemon: shutting down");
        let started_at = Instant::now();
        let schedule = Schedule::new(self.shutdown_limit);
        self.node.leave();
        Timer::at(started_at + schedule.notice).await;
        // Connections end after their current response. Callers that keep sending would otherwise
        // keep the node busy until the deadline.
        let http_server = self.http_server.swansong();
        let http_closed = http_server.shut_down();
        let deadline = started_at + schedule.drain;
        self.node.drain(&http_server, deadline).await;
        let is_idle = self.node.is_idle();
        if !is_idle {
            self.node.abort_requests();
            with_timeout(schedule.answers, http_closed).await;
        }
        let took_ms = started_at.elapsed().as_millis();
        log::info!(target: "daemon", "daemon: stopped after {took_ms} ms, {}", if is_idle { "all work finished" } else { "running work aborted" });
        is_idle
    }
}

/// Waits for a future, but not longer than `timeout`.
async fn with_timeout(timeout: Duration, future: impl Future) {
    let finished = async {
        future.await;
    };
    let expired = async {
        Timer::after(timeout).await;
    };
    futures_lite::FutureExt::or(finished, expired).await;
}

impl Node {
    fn leave(&self) {
        match self {
            Self::Entry(entry) => entry.leave(),
            Self::Sidecar(sidecar) => sidecar.leave(),
        }
    }

    /// Answers callers whose requests have not finished. Peers send theirs again when their links
    /// close.
    fn abort_requests(&self) {
        if let Self::Entry(entry) = self {
            entry.abort_requests();
        }
    }

    fn is_idle(&self) -> bool {
        match self {
            Self::Entry(entry) => entry.open_calls() == 0 && entry.owned_partitions() == 0,
            Self::Sidecar(sidecar) => sidecar.open_calls() == 0,
        }
    }

    /// Waits until the node is idle and its HTTP connections are closed, or until the deadline.
    ///
    /// A connection that has sent no request yet does not close; it holds up an idle node for at most
    /// [`CLOSE_TIMEOUT`].
    async fn drain(&self, http_server: &Swansong, deadline: Instant) {
        let mut idle_since = None;
        while Instant::now() < deadline {
            if self.is_idle() {
                let since = *idle_since.get_or_insert_with(Instant::now);
                if http_server.state().is_complete() || since.elapsed() >= CLOSE_TIMEOUT {
                    return;
                }
            } else {
                idle_since = None;
            }
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Returns why the node does not accept callers, or `None` if it does.
    fn unreadiness(&self) -> Option<Unreadiness> {
        match self {
            Self::Entry(entry) => entry.unreadiness(),
            Self::Sidecar(sidecar) => sidecar.is_leaving().then_some(Unreadiness::Leaving),
        }
    }
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("cannot listen on {address}"))?;
    // The backlog of the standard library is too short for the burst of callers that follows the
    // failure of another entry.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

fn serve_links<S: RequestHandler<LinkProtocol>>(
    builder: &NodeBuilder<'_>,
    listener: TcpListener,
    handler: S,
) {
    let context = builder.link_context(handler);
    let spawner = context.spawner.clone();
    spawner.spawn(accept::<LinkProtocol, S>(listener, context));
}

fn serve_http(settings: &Settings, listener: TcpListener, node: &Node) -> ServerHandle {
    let max_body = settings.limits.max_body_bytes as u64;
    let http = trillium_http::HttpConfig::default().with_received_body_max_len(max_body);
    let config = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(http)
        .with_prebound_server(listener);
    let telemetry = Telemetry::start();
    match node {
        Node::Entry(entry) => config.spawn((
            health_handler(node.clone(), telemetry),
            crate::entry::caller_handler(entry),
            crate::entry::operator_handler(entry, settings.operators.clone()),
            crate::entry::refuse_path,
        )),
        Node::Sidecar(_) => config.spawn(health_handler(node.clone(), telemetry)),
    }
}

/// Serves `/healthz`, `/readyz` and `/metrics`.
fn health_handler(node: Node, telemetry: Telemetry) -> impl Handler {
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let unreadiness = node.unreadiness();
            async move {
                match unreadiness {
                    None => conn.ok("ready\n"),
                    Some(reason) => conn
                        .with_status(Status::ServiceUnavailable)
                        .with_body(format!("not ready: {reason}\n"))
                        .halt(),
                }
            }
        })
        .get("/metrics", move |conn: Conn| {
            let text = telemetry.render();
            async move { conn.ok(text) }
        })
}

/// Runs a daemon until SIGTERM, SIGINT or SIGHUP; a second SIGTERM or SIGINT aborts the shutdown.
///
/// Returns `false` if running work was aborted.
pub(crate) async fn run(settings: Settings) -> anyhow::Result<bool> {
    let daemon = Daemon::start(settings).await?;
    println!(
        "ready http={} link={}",
        daemon.http_address(),
        daemon.link_address()
    );
    let mut signals = StopSignals::new()?;
    signals.wait().await;
    let graceful = daemon.shut_down();
    let forced = async {
        signals.wait_for_abort().await;
        false
    };
    Ok(futures_lite::FutureExt::or(graceful, forced).await)
}

/// Runs the daemon with command-line arguments, without the program name, and returns its exit code.
pub fn run_daemon(args: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    args::run(args)
}
