//! State machines that make the scheduling decisions. They do no I/O: their inputs are messages and
//! an `Instant`. The only exception is [`partition`], which drives such state machines against a
//! log.

pub(crate) mod admission;
pub(crate) mod average;
pub(crate) mod breaker;
pub(crate) mod cache;
pub(crate) mod choice;
pub(crate) mod commit;
pub(crate) mod configuration;
pub mod crashes;
pub(crate) mod dispatch;
pub(crate) mod fence;
pub(crate) mod hedge;
pub(crate) mod limits;
pub(crate) mod membership;
pub(crate) mod ownership;
pub(crate) mod pacing;
pub(crate) mod partition;
pub(crate) mod placement;
pub(crate) mod rendezvous;
pub(crate) mod retry;
pub(crate) mod stable_hash;
pub(crate) mod stream;
pub(crate) mod watchdog;
