//! Pure folds of the log's streams, and the indexes that they build.

pub(crate) mod actions;
pub(crate) mod budget;
#[allow(dead_code, unused_imports, reason = "the roles are wired onto it next")]
pub(crate) mod configuration;
pub(crate) mod history;
pub(crate) mod kept;
pub(crate) mod partition;
pub(crate) mod program;
pub(crate) mod receipt;
pub(crate) mod snapshot;
