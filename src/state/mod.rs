//! Pure folds of the log's streams, and the indexes that they build.

pub(crate) mod configuration;
