//! The configuration and the fold of its stream.

mod fold;
#[cfg(test)]
mod tests;
mod view;

pub(crate) use fold::ConfigurationFold;
pub(crate) use view::Configuration;
