//! Implementations of the protocol's interfaces over HTTP.

mod engine;
pub(crate) mod http;
mod log;
mod service;
mod sse;
mod vms;
mod weights;

pub use engine::{HttpEngine, HttpEngineStream};
pub use log::HttpLog;
pub use service::HttpService;
pub use vms::HttpVmList;
pub use weights::HttpWeightStore;

#[cfg(test)]
mod tests;
