//! The service stand-in. It counts every action and can simulate hangs, failures and lost answers.

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
    /// Starts a service on a free port of the loopback address.
    pub async fn start(config: ServiceConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts a service on the given address. Port 0 selects a free port.
    pub async fn start_on(listen: SocketAddr, config: ServiceConfig) -> io::Result<Self> {
        let handler = Arc::new(ServiceHandler::new(config));
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

    /// Changes the service's behaviour.
    pub async fn control(&self, control: ServiceControl) {
        self.handler.control(control).await;
    }

    /// Returns the service's counters.
    pub fn counts(&self) -> ServiceCounts {
        self.handler.counts()
    }

    /// Returns how often the action of a call took effect.
    pub fn run_count(&self, call: CallId) -> u32 {
        self.handler.run_count(call)
    }

    /// Returns the actions that took effect, in order.
    pub fn actions(&self) -> Vec<ServiceAction> {
        self.handler.actions()
    }

    /// Stops listening and closes every connection.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
