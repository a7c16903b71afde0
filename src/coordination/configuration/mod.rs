//! How a node follows the configuration stream and propagates the configuration to its peers.

mod spread;
mod tail;
#[cfg(test)]
mod tests;

pub(crate) use spread::{Propagation, PropagationAction};
pub(crate) use tail::ConfigurationTail;
