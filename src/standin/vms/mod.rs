//! The VM list stand-in, whose changes become visible after a lag.

mod handler;
pub(crate) mod state;

pub use state::{VmsConfig, VmsControl};

use crate::protocol::vms::Vm;
use crate::standin::server::Server;
use handler::VmsHandler;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running VM list stand-in. Dropping it stops it.
pub struct VmsStandin {
    handler: Arc<VmsHandler>,
    server: Arc<Server<VmsHandler>>,
}

impl VmsStandin {
    /// Starts a VM list on a free port of the loopback address.
    pub async fn start(config: VmsConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts a VM list on the given address. Port 0 selects a free port.
    pub async fn start_on(listen: SocketAddr, config: VmsConfig) -> io::Result<Self> {
        let handler = Arc::new(VmsHandler::new(config));
        let server = Arc::new(Server::start(listen, handler.clone()).await?);
        handler.attach(&server);
        Ok(Self { handler, server })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the list. The change becomes visible after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.handler.set(vms);
    }

    /// Changes the list or its behaviour.
    pub async fn control(&self, control: VmsControl) {
        self.handler.control(control).await;
    }

    /// Stops listening and closes every connection.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
