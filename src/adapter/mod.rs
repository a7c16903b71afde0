//! HTTP clients that implement the interfaces of the [`protocol`](crate::protocol) module.

mod engine;
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
