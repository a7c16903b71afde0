//! Decisions as state machines without input or output of their own, and their drivers.

pub(crate) mod commit;
pub(crate) mod dispatch;
pub(crate) mod ownership;
pub(crate) mod partition;
pub(crate) mod rendezvous;
