//! Launching and stopping the nodes of a local cluster.

use crate::daemon::Daemon;
use crate::settings::Settings;
use std::future::Future;
use std::net::SocketAddr;

/// Starts nodes, for instance as threads of this process or as processes of their own.
pub trait Launcher: Send + Sync {
    /// Handle of a node that this launcher starts.
    type Node: RunningNode;

    /// Starts a node with the given text of its settings file.
    fn launch(
        &self,
        name: &str,
        settings: &str,
    ) -> impl Future<Output = anyhow::Result<Self::Node>> + Send;
}

/// Handle of a running node.
pub trait RunningNode: Send {
    /// Address of its HTTP interface.
    fn http_address(&self) -> SocketAddr;

    /// Address on which it accepts links from peers.
    fn link_address(&self) -> SocketAddr;

    /// Stops it immediately, without any cleanup.
    fn kill(self);

    /// Shuts it down gracefully. Returns `false` if a request or stream was cut off.
    fn shut_down(self) -> impl Future<Output = bool> + Send;
}

/// Runs every node in this process, on its own threads.
#[derive(Clone, Copy, Debug, Default)]
pub struct InProcess;

impl Launcher for InProcess {
    type Node = Daemon;

    async fn launch(&self, name: &str, settings: &str) -> anyhow::Result<Daemon> {
        let settings = Settings::parse(settings, name, |_| None)?;
        Daemon::start(settings).await
    }
}

impl RunningNode for Daemon {
    fn http_address(&self) -> SocketAddr {
        Daemon::http_address(self)
    }

    fn link_address(&self) -> SocketAddr {
        Daemon::link_address(self)
    }

    fn kill(self) {
        Daemon::kill(self);
    }

    async fn shut_down(self) -> bool {
        Daemon::shut_down(self).await
    }
}
