//! The weight store stand-in, which grants loads at a limited rate.

mod handler;

pub use handler::{WeightsConfig, WeightsControl, WeightsCounts};

use crate::standin::server::Server;
use handler::WeightsHandler;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running weight store stand-in. Dropping it stops it.
pub struct WeightsStandin {
    handler: Arc<WeightsHandler>,
    server: Arc<Server<WeightsHandler>>,
}

impl WeightsStandin {
    /// Starts one on a port of the loopback address that the system chooses.
    pub async fn start(config: WeightsConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts one on an address.
    pub async fn start_on(listen: SocketAddr, config: WeightsConfig) -> io::Result<Self> {
        let handler = Arc::new(WeightsHandler::new(&config));
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
    pub async fn control(&self, control: WeightsControl) {
        self.handler.control(&control).await;
    }

    /// Returns what it has counted.
    pub fn counts(&self) -> WeightsCounts {
        self.handler.counts()
    }

    /// Closes every connection and listens no more.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
