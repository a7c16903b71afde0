//! The engine stand-in: continuous batching, a prefix cache, delayed load and cache reports, and
//! orders to load and unload models.

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
    /// The task that runs the engine's steps. Dropping it cancels the task.
    _stepper: Task<()>,
}

impl EngineStandin {
    /// Starts an engine on a free port of the loopback address.
    ///
    /// Engines that share a ledger count a prompt token as recomputed if any of them computed it before.
    pub async fn start(config: EngineConfig, ledger: TokenLedger) -> io::Result<Self> {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), config, ledger).await
    }

    /// Starts an engine on the given address. Port 0 selects a free port.
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

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Changes the engine's behaviour.
    pub async fn control(&self, control: EngineControl) {
        self.handler.control(control).await;
    }

    /// Returns the engine's counters.
    pub fn counts(&self) -> EngineCounts {
        self.handler.counts()
    }

    /// Returns the programs that have tokens in the cache, with the number of these tokens.
    pub fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        self.handler.cached_programs()
    }

    /// Stops listening and closes every connection. Generations continue.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
