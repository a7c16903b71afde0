//! Decisions whether and when a request is served. They have neither sockets nor a clock of their
//! own.

pub(crate) mod accounts;
pub(crate) mod lease;
#[cfg(test)]
mod patterns;
pub(crate) mod programs;
pub(crate) mod queue;
pub(crate) mod quota;
pub(crate) mod rank;
pub(crate) mod refusal;
pub(crate) mod room;
pub(crate) mod tenure;
pub(crate) mod version_watch;
