//! Pure folds over the log's streams, and the indexes that they build.

pub(crate) mod actions;
pub(crate) mod budget;
pub(crate) mod burn;
pub(crate) mod configuration;
pub(crate) mod history;
pub(crate) mod kept;
pub(crate) mod operations;
pub(crate) mod partition;
pub(crate) mod program;
pub(crate) mod receipt;
pub(crate) mod snapshot;
pub(crate) mod stream;

#[cfg(test)]
mod tests;
