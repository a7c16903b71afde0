//! The weight store stand-in, which grants model loads at a limited rate.

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
    /// Starts a weight store on a free port of the loopback address.
    pub async fn start(config: WeightsConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts a weight store on the given address. Port 0 selects a free port.
    pub async fn start_on(listen: SocketAddr, config: WeightsConfig) -> io::Result<Self> {
        let handler = Arc::new(WeightsHandler::new(&config));
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

    /// Changes the store's behaviour.
    pub async fn control(&self, control: WeightsControl) {
        self.handler.control(&control).await;
    }

    /// Returns the store's counters.
    pub fn counts(&self) -> WeightsCounts {
        self.handler.counts()
    }

    /// Stops listening and closes every connection.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
