//! The configuration, and the fold that derives it by applying the records of its stream in order.

mod fold;
#[cfg(test)]
mod tests;
mod view;

pub(crate) use fold::ConfigurationFold;
pub(crate) use view::Configuration;
