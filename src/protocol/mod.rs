//! Typed messages between processes, and traits for the external systems they use.

pub mod caller;
pub mod configuration;
pub mod crashes;
pub mod difference;
pub mod engine;
pub mod failure;
pub mod image;
pub mod link;
pub mod log;
pub mod message;
pub mod operations;
pub mod operator;
pub mod rate;
pub mod record;
pub mod refusal;
pub mod service;
pub mod vms;
pub mod weights;

#[cfg(test)]
mod tests;
