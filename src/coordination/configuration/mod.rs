//! How a node follows the configuration stream and passes the configuration on.

mod propagation;
mod tail;
#[cfg(test)]
mod tests;

pub(crate) use propagation::{Propagation, PropagationAction};
pub(crate) use tail::ConfigurationTail;
