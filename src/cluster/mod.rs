//! A whole system on loopback: stand-ins of the platform and the endpoints, and our own nodes.
//!
//! Every node is reached through a [`FaultProxy`], so that it keeps its address over restarts and
//! its connections can be broken. How a node runs is up to a [`Launcher`].

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

/// How long the system may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Pause between two looks at whether it is.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// A node with the proxies before it.
#[derive(Debug)]
pub struct ClusterNode<N> {
    /// What it is.
    pub spec: NodeSpec,
    /// Before its links.
    pub link: FaultProxy,
    /// Before its HTTP interface.
    pub http: FaultProxy,
    /// It, if it runs.
    pub running: Option<N>,
}

/// A whole system on loopback.
pub struct LocalCluster<L: Launcher> {
    launcher: L,
    options: ClusterOptions,
    /// The stand-ins.
    pub platform: Platform,
    nodes: Vec<ClusterNode<L::Node>>,
}

impl<L: Launcher> LocalCluster<L> {
    /// Starts everything and waits until the entries can serve.
    pub async fn start(launcher: L, options: ClusterOptions) -> anyhow::Result<Self> {
        let layout = Layout::of(&options);
        let platform = Platform::start(&options, &layout).await?;
        let mut nodes = Vec::new();
        for (spec, seed) in layout.nodes.into_iter().zip(options.seed..) {
            nodes.push(ClusterNode {
                spec,
                link: FaultProxy::start(nowhere(), seed).await?,
                http: FaultProxy::start(nowhere(), seed).await?,
                running: None,
            });
        }
        let mut cluster = Self {
            launcher,
            options,
            platform,
            nodes,
        };
        cluster.platform.list(cluster.vms());
        cluster.platform.publish().await?;
        for name in cluster.names() {
            cluster.start_node(&name).await?;
        }
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// The names of all nodes, entries last.
    pub fn names(&self) -> Vec<NodeId> {
        self.nodes
            .iter()
            .map(|node| node.spec.name.clone())
            .collect()
    }

    /// The names of the nodes of a role.
    pub fn names_of(&self, role: NodeRole) -> Vec<NodeId> {
        let of_role = self.nodes.iter().filter(|node| node.spec.role() == role);
        of_role.map(|node| node.spec.name.clone()).collect()
    }

    /// A node by its name.
    pub fn node(&self, name: &str) -> Option<&ClusterNode<L::Node>> {
        self.nodes.iter().find(|node| node.spec.name == name)
    }

    /// A node by its name.
    pub fn node_mut(&mut self, name: &str) -> Option<&mut ClusterNode<L::Node>> {
        self.nodes.iter_mut().find(|node| node.spec.name == name)
    }

    /// Starts a node that does not run.
    pub async fn start_node(&mut self, name: &str) -> anyhow::Result<()> {
        let settings = self.settings_of(name)?;
        let running = self.launcher.launch(name, &settings).await?;
        let node = self.node_mut(name).context("no such node")?;
        node.link.retarget(running.link_address());
        node.http.retarget(running.http_address());
        node.running = Some(running);
        Ok(())
    }

    /// Ends a node at once; its connections break.
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

    /// Takes a node out to shut it down while the others are used.
    pub fn take_node(&mut self, name: &str) -> Option<L::Node> {
        self.node_mut(name)?.running.take()
    }

    /// A client of all entries with the token of a client account.
    pub fn client(&self, token: &str) -> Client {
        let entries = self.names_of(NodeRole::Entry);
        let entries = entries.iter().filter_map(|name| self.http_address(name));
        Client::new(entries.map(|address| address.to_string()), token)
    }

    /// Where callers reach a node.
    pub fn http_address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.node(name)?.http.address())
    }

    /// Kills every node.
    pub fn kill_all(&mut self) {
        for name in self.names() {
            self.kill_node(&name);
        }
    }

    fn settings_of(&self, name: &str) -> anyhow::Result<String> {
        let node = self.node(name).context("no such node")?;
        Ok(settings::write(
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

    /// Tells whether an entry knows the environments' client accounts and can look for their
    /// programs.
    async fn serves(&self, address: SocketAddr) -> bool {
        let all = Deployment::iter().map(async |deployment| {
            let client = Client::new([address.to_string()], deployment.tokens()[0]);
            let unknown = client.history(0).await;
            matches!(unknown, Err(CallError::Refused(refusal))
                if refusal.code == RefusalCode::NotFound)
        });
        futures_util::future::join_all(all)
            .await
            .into_iter()
            .all(|serves| serves)
    }

    /// Waits until a program can begin at each entry in each environment.
    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let give_up = Instant::now() + READY_LIMIT;
        for name in self.names_of(NodeRole::Entry) {
            let address = self.http_address(&name).context("no such node")?;
            while !is_ready(address).await || !self.serves(address).await {
                anyhow::ensure!(Instant::now() < give_up, "{name} did not become ready");
                Timer::after(READY_PAUSE).await;
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

/// Where a proxy leads before its node runs: nothing listens there.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

async fn is_ready(address: SocketAddr) -> bool {
    let config = trillium_smol::ClientConfig::default();
    let http = trillium_client::Client::new(config).without_keepalive();
    let answer = http.get(format!("http://{address}/readyz")).await;
    answer.is_ok_and(|conn| conn.status().is_some_and(|status| status.is_success()))
}
