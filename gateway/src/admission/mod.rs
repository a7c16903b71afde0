//! Decisions whether a request is served. They have neither sockets nor a clock of their own.

pub(crate) mod accounts;
pub(crate) mod lease;
pub(crate) mod quota;
pub(crate) mod tenure;
pub(crate) mod version_watch;
