//! The engine stand-in: continuous batching, a prefix cache, late reports, orders.

pub(crate) mod answer;
pub(crate) mod batch;
pub(crate) mod cache;
mod config;
mod core;
mod handler;
pub(crate) mod ledger;
pub(crate) mod orders;
mod reports;
mod stepper;
mod stream;
mod wire;

pub use config::{EngineConfig, EngineControl, EngineCounts, ExecutedOrder};

use crate::ids::ProgramId;
use crate::standin::server::Server;
use handler::EngineHandler;
use ledger::TokenLedger;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use trillium_smol::async_global_executor::{Task, spawn};

/// A running engine stand-in. Dropping it stops it.
pub struct EngineStandin {
    handler: Arc<EngineHandler>,
    server: Arc<Server<EngineHandler>>,
    /// Dropping it ends the engine's steps.
    _stepper: Task<()>,
}

impl EngineStandin {
    /// Starts one on a port of the loopback address that the system chooses.
    ///
    /// Engines that share a ledger count together what was computed again.
    pub async fn start(config: EngineConfig, ledger: TokenLedger) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config, ledger).await
    }

    /// Starts one on an address.
    pub async fn start_on(
        listen: SocketAddr,
        config: EngineConfig,
        ledger: TokenLedger,
    ) -> io::Result<Self> {
        let (handler, wake_rx) = EngineHandler::new(config, ledger);
        let handler = Arc::new(handler);
        let server = Arc::new(Server::start(listen, handler.clone()).await?);
        handler.attach(&server);
        let stepper = spawn(stepper::run(handler.core(), wake_rx));
        Ok(Self {
            handler,
            server,
            _stepper: stepper,
        })
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
    pub async fn control(&self, control: EngineControl) {
        self.handler.control(control).await;
    }

    /// Returns what it has counted.
    pub fn counts(&self) -> EngineCounts {
        self.handler.counts()
    }

    /// Returns the programs whose cache it holds, with their tokens.
    pub fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        self.handler.cached_programs()
    }

    /// Closes every connection and listens no more; generations go on.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
