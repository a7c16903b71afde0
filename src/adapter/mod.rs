//! Implementations of the protocol's interfaces over HTTP.

mod engine;
mod http;
mod log;
mod service;
mod sse;

pub use engine::{HttpEngine, HttpEngineStream};
pub use log::HttpLog;
pub use service::HttpService;

#[cfg(test)]
mod tests;
