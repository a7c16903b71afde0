//! The VM list stand-in, which lags behind the truth.

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
    /// Starts one on a port of the loopback address that the system chooses.
    pub async fn start(config: VmsConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts one on an address.
    pub async fn start_on(listen: SocketAddr, config: VmsConfig) -> io::Result<Self> {
        let handler = Arc::new(VmsHandler::new(config));
        let server = Arc::new(Server::start(listen, handler.clone()).await?);
        handler.attach(&server);
        Ok(Self { handler, server })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Changes the truth; readers see it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.handler.set(vms);
    }

    /// Changes how it behaves.
    pub async fn control(&self, control: VmsControl) {
        self.handler.control(control).await;
    }

    /// Closes every connection and listens no more.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
