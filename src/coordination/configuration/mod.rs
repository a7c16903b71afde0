//! How a node follows the configuration stream and propagates the configuration to its peers.

mod propagation;
mod tail;
#[cfg(test)]
mod tests;

pub(crate) use propagation::{Propagation, PropagationAction};
pub(crate) use tail::ConfigurationTail;
