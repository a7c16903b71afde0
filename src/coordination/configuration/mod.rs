//! How a node follows the configuration stream and passes the configuration on.

mod spread;
mod tail;
#[cfg(test)]
mod tests;

pub(crate) use spread::{Spread, SpreadAction};
pub(crate) use tail::ConfigurationTail;
