//! Experiments on the decisions, in virtual time and without sockets.
//!
//! The chooser and the admission queue are the product's own; the engines are the stand-in's
//! stepping model. So a run is a function of its seed.

mod chart;
mod driver;
mod faults;
mod mix;
mod node;
mod options;
mod policy;
mod programs;
mod report;
mod router;
mod runs;
mod stats;
#[cfg(test)]
mod tests;

pub use options::PolicyExperiment;
