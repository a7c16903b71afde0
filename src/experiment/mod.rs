//! Simulations that compare scheduling policies, in virtual time and without sockets.
//!
//! They use the production code for endpoint selection and admission queues, and the stepping model
//! of the stand-in engine. The result of a run depends only on its configuration and seed.

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
