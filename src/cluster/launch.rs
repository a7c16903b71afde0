//! How nodes run.

use crate::daemon::Daemon;
use crate::settings::Settings;
use std::future::Future;
use std::net::SocketAddr;

/// Starts nodes.
pub trait Launcher: Send + Sync {
    /// What runs.
    type Node: RunningNode;

    /// Starts a node with the text of its settings file.
    fn launch(
        &self,
        name: &str,
        settings: &str,
    ) -> impl Future<Output = anyhow::Result<Self::Node>> + Send;
}

/// A node that runs.
pub trait RunningNode: Send {
    /// Where it serves HTTP.
    fn http_address(&self) -> SocketAddr;

    /// Where it takes links.
    fn link_address(&self) -> SocketAddr;

    /// Ends it at once.
    fn kill(self);

    /// Shuts it down; false if something was cut.
    fn shut_down(self) -> impl Future<Output = bool> + Send;
}

/// Runs nodes in this process, each on threads of its own.
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
