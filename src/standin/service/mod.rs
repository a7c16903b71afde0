//! The service stand-in: it counts every action, can hang, and can lose its answers.

mod handler;
mod state;

pub use state::{ServiceAction, ServiceConfig, ServiceControl, ServiceCounts, expected_result};

use crate::ids::CallId;
use crate::standin::server::Server;
use handler::ServiceHandler;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running service stand-in. Dropping it stops it.
pub struct ServiceStandin {
    handler: Arc<ServiceHandler>,
    server: Arc<Server<ServiceHandler>>,
}

impl ServiceStandin {
    /// Starts one on a port of the loopback address that the system chooses.
    pub async fn start(config: ServiceConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts one on an address.
    pub async fn start_on(listen: SocketAddr, config: ServiceConfig) -> io::Result<Self> {
        let handler = Arc::new(ServiceHandler::new(config));
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

    /// Changes how it behaves.
    pub async fn control(&self, control: ServiceControl) {
        self.handler.control(control).await;
    }

    /// Returns what it has counted.
    pub fn counts(&self) -> ServiceCounts {
        self.handler.counts()
    }

    /// Returns how often an action took effect.
    pub fn run_count(&self, call: CallId) -> u32 {
        self.handler.run_count(call)
    }

    /// Returns the actions that took effect, in that order.
    pub fn actions(&self) -> Vec<ServiceAction> {
        self.handler.actions()
    }

    /// Closes every connection and listens no more.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
