//! The log stand-in: streams, an append rate, retention, outages and lost answers.

mod control;
mod handler;
pub(crate) mod state;

pub use control::{LogControl, Outage};
pub use state::{LogConfig, LogCounts};

use crate::ids::Offset;
use crate::protocol::log::LogRecord;
use crate::standin::server::Server;
use handler::LogHandler;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running log stand-in. Dropping it stops it.
pub struct LogStandin {
    handler: Arc<LogHandler>,
    server: Arc<Server<LogHandler>>,
}

impl LogStandin {
    /// Starts one on a port of the loopback address that the system chooses.
    pub async fn start(config: LogConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts one on an address.
    pub async fn start_on(listen: SocketAddr, config: LogConfig) -> io::Result<Self> {
        let handler = Arc::new(LogHandler::new(config));
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
    pub async fn control(&self, control: LogControl) {
        self.handler.control(control).await;
    }

    /// Returns what it has counted.
    pub fn counts(&self) -> LogCounts {
        self.handler.counts()
    }

    /// Returns the records that a stream keeps, without any fault.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.handler.records(stream)
    }

    /// Returns the names of the streams, in order.
    pub fn streams(&self) -> Vec<String> {
        self.handler.streams()
    }

    /// Removes the records of a stream before an offset.
    pub fn trim(&self, stream: &str, first: Offset) {
        self.handler.trim(stream, first);
    }

    /// Closes every connection and listens no more.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
