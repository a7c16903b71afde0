//! Decisions as state machines without I/O: inputs are messages and an `Instant`.

pub(crate) mod admission;
pub(crate) mod breaker;
pub(crate) mod cache;
pub(crate) mod choice;
pub(crate) mod hedge;
pub(crate) mod limits;
pub(crate) mod retry;
pub(crate) mod smooth;
pub(crate) mod watchdog;
