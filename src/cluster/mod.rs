//! A complete cluster on loopback: galenapick nodes with stand-ins of the platform and endpoints.
//!
//! All connections to a node pass through a [`FaultProxy`], so that its address stays the same over
//! restarts and its connections can be broken. A [`Launcher`] decides how nodes run.

mod launch;
mod layout;
mod platform;
mod settings;

pub use launch::{InProcess, Launcher, RunningNode};
pub use layout::{ClusterOptions, Endpoint, NodeSpec};
pub use platform::Platform;

use crate::client::{CallError, Client};
use crate::ids::NodeId;
use crate::protocol::refusal::RefusalCode;
use crate::protocol::vms::NodeRole;
use crate::proxy::FaultProxy;
use crate::workload::Deployment;
use anyhow::Context;
use layout::Layout;
use smol::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Maximum time for all entries to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node with the fault proxies in front of it.
#[derive(Debug)]
pub struct ClusterNode<N> {
    /// Name, location and role.
    pub spec: NodeSpec,
    /// Proxy in front of its link address.
    pub link: FaultProxy,
    /// Proxy in front of its HTTP address.
    pub http: FaultProxy,
    /// Handle of the node; `None` while it is down.
    pub running: Option<N>,
}

/// A complete cluster on loopback. All nodes are killed when it is dropped.
pub struct LocalCluster<L: Launcher> {
    launcher: L,
    options: ClusterOptions,
    /// Stand-ins of the platform and the endpoints.
    pub platform: Platform,
    nodes: Vec<ClusterNode<L::Node>>,
}

impl<L: Launcher> LocalCluster<L> {
    /// Starts all stand-ins and nodes, and waits until every entry serves requests.
    ///
    /// Fails if an entry is not ready within 30 s.
    pub async fn start(launcher: L, options: ClusterOptions) -> anyhow::Result<Self> {
        let layout = Layout::of(&options);
        let platform = Platform::start(&options, &layout).await?;
        let mut nodes = Vec::new();
        for (spec, seed) in layout.nodes.into_iter().zip(options.seed..) {
            nodes.push(ClusterNode {
                spec,
                link: FaultProxy::start(closed_address(), seed).await?,
                http: FaultProxy::start(closed_address(), seed).await?,
                running: None,
            });
        }
        let mut cluster = Self {
            launcher,
            options,
            platform,
            nodes,
        };
        cluster.platform.set_vms(cluster.vms());
        cluster.platform.publish_environments().await?;
        for name in cluster.names() {
            cluster.start_node(&name).await?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// Returns the names of all nodes, entries last.
    pub fn names(&self) -> Vec<NodeId> {
        self.nodes
            .iter()
            .map(|node| node.spec.name.clone())
            .collect()
    }

    /// Returns the names of all nodes with a role.
    pub fn names_with_role(&self, role: NodeRole) -> Vec<NodeId> {
        let matching = self.nodes.iter().filter(|node| node.spec.role() == role);
        matching.map(|node| node.spec.name.clone()).collect()
    }

    /// Returns a node by its name.
    pub fn node(&self, name: &str) -> Option<&ClusterNode<L::Node>> {
        self.nodes.iter().find(|node| node.spec.name == name)
    }

    /// Returns a node by its name, for changes.
    pub fn node_mut(&mut self, name: &str) -> Option<&mut ClusterNode<L::Node>> {
        self.nodes.iter_mut().find(|node| node.spec.name == name)
    }

    /// Starts a node that is down, and connects its proxies to it.
    pub async fn start_node(&mut self, name: &str) -> anyhow::Result<()> {
        let settings = self.node_settings(name)?;
        let running = self.launcher.launch(name, &settings).await?;
        let node = self.node_mut(name).context("no such node")?;
        node.link.retarget(running.link_address());
        node.http.retarget(running.http_address());
        node.running = Some(running);
        Ok(())
    }

    /// Kills a node and breaks its connections. Does nothing for an unknown name.
    pub fn kill_node(&mut self, name: &str) {
        let Some(node) = self.node_mut(name) else {
            return;
        };
        if let Some(running) = node.running.take() {
            running.kill();
        }
        node.link.cut();
        node.http.cut();
    }

    /// Takes the handle of a node out of the cluster, so that the node can be shut down while the
    /// cluster is in use. Its proxies stay connected.
    pub fn take_node(&mut self, name: &str) -> Option<L::Node> {
        self.node_mut(name)?.running.take()
    }

    /// Creates a client of all entries with the token of a client account.
    pub fn client(&self, token: &str) -> Client {
        let entries = self.names_with_role(NodeRole::Entry);
        let entries = entries.iter().filter_map(|name| self.http_address(name));
        Client::new(entries.map(|address| address.to_string()), token)
    }

    /// Returns the address at which callers reach a node; it stays the same over restarts.
    pub fn http_address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.node(name)?.http.address())
    }

    /// Kills all nodes.
    pub fn kill_all(&mut self) {
        for name in self.names() {
            self.kill_node(&name);
        }
    }

    fn node_settings(&self, name: &str) -> anyhow::Result<String> {
        let node = self.node(name).context("no such node")?;
        Ok(settings::node_settings(
            &node.spec,
            &self.vms(),
            &self.platform,
            &self.options,
        ))
    }

    fn vms(&self) -> Vec<crate::protocol::vms::Vm> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| node.spec.vm(node.link.address()))
            .collect()
    }

    /// Checks that an entry accepts the client accounts of all environments and can look up their
    /// programs. It shows this by reporting that an unknown program does not exist. An error
    /// contains what it answered instead.
    async fn check_serving(&self, address: SocketAddr) -> Result<(), String> {
        let checks = Deployment::iter().map(async |deployment| {
            let client = Client::new([address.to_string()], deployment.tokens()[0]);
            match client.history(0).await {
                Err(CallError::Refused(refusal)) if refusal.code == RefusalCode::NotFound => Ok(()),
                Err(error) => Err(format!("lookup in {deployment}: {error}")),
                Ok(_) => Err(format!("lookup in {deployment}: the program exists")),
            }
        });
        let outcomes = futures_util::future::join_all(checks).await;
        outcomes.into_iter().collect()
    }

    async fn check_entry(&self, address: SocketAddr) -> Result<(), String> {
        check_ready(address).await?;
        self.check_serving(address).await
    }

    /// Waits until every entry can start programs in every environment.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for name in self.names_with_role(NodeRole::Entry) {
            let address = self.http_address(&name).context("no such node")?;
            while let Err(reason) = self.check_entry(address).await {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "{name} did not become ready: {reason}"
                );
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

impl<L: Launcher> Drop for LocalCluster<L> {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Target of a proxy until its node has started. Nothing listens on this port.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Checks that a node reports itself ready; an error contains what it answered.
async fn check_ready(address: SocketAddr) -> Result<(), String> {
    let config = trillium_smol::ClientConfig::default();
    let http = trillium_client::Client::new(config).without_keepalive();
    let answer = http.get(format!("http://{address}/readyz")).await;
    let mut conn = answer.map_err(|error| error.to_string())?;
    if conn.status().is_some_and(|status| status.is_success()) {
        return Ok(());
    }
    let body = conn.response_body().read_string().await;
    Err(body.map_or_else(|error| error.to_string(), |body| body.trim_end().to_owned()))
}
