//! The daemon: one entry or one sidecar with its listeners, from start to shutdown.

mod args;
mod build;
mod signals;

use crate::adapter::{HttpEngine, HttpLog, HttpService};
use crate::entry::Entry;
use crate::environment::Environment;
use crate::protocol::link::LinkProtocol;
use crate::protocol::vms::NodeRole;
use crate::settings::Settings;
use crate::sidecar::Sidecar;
use crate::telemetry::Telemetry;
use crate::transport::link::{Serve, Traffic, accept};
use crate::transport::spawn::Runtime;
use anyhow::Context;
use build::Build;
use smol::Timer;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium::{Conn, Handler, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;

pub(crate) use signals::wait_for_signal;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 4_096;

/// Pause between two looks at what still runs during a shutdown.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// How long a leaving node keeps answering, so that others hear of it before it is gone.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// The node that a daemon runs.
#[derive(Clone)]
pub(crate) enum Node {
    /// An entry.
    Entry(Entry<HttpLog>),
    /// A sidecar.
    Sidecar(Sidecar<HttpEngine, HttpService>),
}

/// A running daemon. Dropping it ends all its tasks at once, as a kill would.
pub struct Daemon {
    node: Node,
    http: ServerHandle,
    http_address: SocketAddr,
    link_address: SocketAddr,
    shutdown_limit: Duration,
    traffic: Arc<Traffic>,
    runtime: Option<Runtime>,
}

impl Daemon {
    /// Binds the listeners and starts the node.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let link = listen(settings.listen.link).await?;
        let http = listen(settings.listen.http).await?;
        let link_address = link
            .local_addr()
            .context("the link listener has no address")?;
        let http_address = http
            .local_addr()
            .context("the HTTP listener has no address")?;
        let runtime = Runtime::start(&settings.node.name, build::threads(&settings))
            .context("the daemon's threads cannot be started")?;
        let build = Build::new(&settings, runtime.spawner());
        let node = build.node()?;
        match &node {
            Node::Entry(entry) => serve_links(&build, link, entry.clone()),
            Node::Sidecar(sidecar) => serve_links(&build, link, sidecar.clone()),
        }
        let http = serve_http(&settings, http, &node);
        let (name, region) = (&settings.node.name, &settings.node.region);
        log::info!(target: "daemon", "daemon: {name} is up, region {region:?}");
        Ok(Self {
            node,
            http,
            http_address,
            link_address,
            shutdown_limit: Duration::from_secs(settings.limits.shutdown_limit_s),
            traffic: build.traffic(),
            runtime: Some(runtime),
        })
    }

    /// Returns where HTTP is served.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns where links are accepted.
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Puts environments in force that are not in the log, such as in a demonstration.
    pub fn serve_environments(&self, environments: Vec<Environment>) {
        if let Node::Entry(entry) = &self.node {
            build::adopt(entry, environments);
        }
    }

    /// Adds a node that is not in the settings.
    pub fn add_node(&self, name: &str, role: NodeRole, address: SocketAddr, failure_domain: &str) {
        if let Node::Entry(entry) = &self.node {
            entry.add_node(name, role, &address.to_string(), failure_domain);
        }
    }

    /// Returns the configuration version in force here; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        match &self.node {
            Node::Entry(entry) => entry.environments().version(),
            Node::Sidecar(sidecar) => sidecar.configuration_version(),
        }
    }

    /// Returns the bytes sent and received on links so far, without the headers of TCP and IP.
    pub fn link_bytes(&self) -> (u64, u64) {
        self.traffic.bytes()
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Ends everything at once, as if the process were killed.
    pub fn kill(mut self) {
        drop(self.runtime.take());
        drop(self.http.shut_down());
    }

    /// Takes nothing new, hands over what others can do, finishes what runs, and ends.
    ///
    /// Returns false if the time limit cut something.
    pub async fn shut_down(self) -> bool {
        log::info!(target: "daemon", "daemon: shutting down");
        self.node.leave();
        let give_up = Instant::now() + self.shutdown_limit;
        let notice = Instant::now() + LEAVE_NOTICE;
        while (!self.node.is_idle() || Instant::now() < notice) && Instant::now() < give_up {
            Timer::after(DRAIN_PAUSE).await;
        }
        let idle = self.node.is_idle();
        let stopped = self.http.shut_down();
        let closing = async {
            stopped.await;
        };
        let late = async {
            Timer::after(DRAIN_PAUSE * 50).await;
        };
        futures_lite::FutureExt::or(closing, late).await;
        log::info!(target: "daemon", "daemon: down, {}", if idle { "nothing cut" } else { "cut" });
        idle
    }
}

impl Node {
    fn leave(&self) {
        match self {
            Self::Entry(entry) => entry.leave(),
            Self::Sidecar(sidecar) => sidecar.leave(),
        }
    }

    fn is_idle(&self) -> bool {
        match self {
            Self::Entry(entry) => entry.open_calls() == 0 && entry.owned_partitions() == 0,
            Self::Sidecar(sidecar) => sidecar.open_calls() == 0,
        }
    }

    /// Tells whether callers may be sent here.
    fn is_ready(&self) -> bool {
        match self {
            Self::Entry(entry) => entry.is_ready(),
            Self::Sidecar(sidecar) => !sidecar.is_leaving(),
        }
    }
}

async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("{address} cannot be listened on"))?;
    // The standard library's backlog is too short for a burst of callers after a failure elsewhere.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

fn serve_links<S: Serve<LinkProtocol>>(build: &Build<'_>, listener: TcpListener, server: S) {
    let context = build.link_context(server);
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
            health(node.clone(), telemetry),
            crate::entry::caller_handler(entry),
            crate::entry::operator_handler(entry, settings.operators.clone()),
            crate::entry::refuse_path,
        )),
        Node::Sidecar(_) => config.spawn(health(node.clone(), telemetry)),
    }
}

/// Serves `/healthz`, `/readyz` and `/metrics`.
fn health(node: Node, telemetry: Telemetry) -> impl Handler {
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let ready = node.is_ready();
            async move {
                match ready {
                    true => conn.ok("ready\n"),
                    false => conn
                        .with_status(Status::ServiceUnavailable)
                        .with_body("not ready\n")
                        .halt(),
                }
            }
        })
        .get("/metrics", move |conn: Conn| {
            let text = telemetry.render();
            async move { conn.ok(text) }
        })
}

/// Runs a daemon until a signal ends it. Returns false if the shutdown cut something.
pub(crate) async fn run(settings: Settings) -> anyhow::Result<bool> {
    let daemon = Daemon::start(settings).await?;
    println!(
        "ready http={} link={}",
        daemon.http_address(),
        daemon.link_address()
    );
    wait_for_signal().await?;
    let ending = daemon.shut_down();
    let forced = async {
        let _ = wait_for_signal().await;
        false
    };
    Ok(futures_lite::FutureExt::or(ending, forced).await)
}

/// Runs the daemon's command line and returns its exit code.
pub fn run_daemon(args: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    args::run(args)
}
