//! Stand-ins for the external systems (engine, log, service, VM list, weight store), for tests, the
//! demo and experiments.
//!
//! Each stand-in is a state machine behind a small HTTP server with its own address. Tests take their
//! counts from the stand-ins, so that the counts do not depend on the code under test.

mod body;
mod bucket;
mod clock;
mod command;
pub(crate) mod engine;
mod log;
mod remote;
mod server;
mod service;
mod vms;
mod weights;

pub use command::{USAGE, run};
pub use engine::answer::{count_tokens, expected_answer, prompt_tokens};
pub use engine::ledger::{TokenLedger, TokenLedgerCounts};
pub use engine::{EngineConfig, EngineControl, EngineCounts, EngineStandin, ExecutedOrder};
pub use log::{LogConfig, LogControl, LogCounts, LogStandin, Outage};
pub use remote::RemoteStandin;
pub use service::{
    ServiceAction, ServiceConfig, ServiceControl, ServiceCounts, ServiceStandin, expected_result,
};
pub use vms::{VmsConfig, VmsControl, VmsStandin};
pub use weights::{WeightsConfig, WeightsControl, WeightsCounts, WeightsStandin};

#[cfg(test)]
mod tests;
