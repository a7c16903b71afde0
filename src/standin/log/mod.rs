//! The log stand-in, with append-only streams, an append rate limit, retention, outages and lost
//! answers.

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
    /// Starts a log on a free port of the loopback address.
    pub async fn start(config: LogConfig) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config).await
    }

    /// Starts a log on the given address. Port 0 selects a free port.
    pub async fn start_on(listen: SocketAddr, config: LogConfig) -> io::Result<Self> {
        let handler = Arc::new(LogHandler::new(config));
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

    /// Changes the log's behaviour.
    pub async fn control(&self, control: LogControl) {
        self.handler.control(control).await;
    }

    /// Returns the log's counters.
    pub fn counts(&self) -> LogCounts {
        self.handler.counts()
    }

    /// Returns the retained records of a stream. Simulated faults do not apply.
    pub fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.handler.records(stream)
    }

    /// Returns the names of the streams, sorted.
    pub fn streams(&self) -> Vec<String> {
        self.handler.streams()
    }

    /// Removes the records of a stream before offset `first`.
    pub fn trim(&self, stream: &str, first: Offset) {
        self.handler.trim(stream, first);
    }

    /// Stops listening and closes every connection.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
