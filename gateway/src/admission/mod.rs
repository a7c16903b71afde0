//! Decisions on which requests are served while there is too little room: no sockets, and the time
//! and random numbers are passed in.

pub(crate) mod programs;
pub(crate) mod queue;
pub(crate) mod rank;
pub(crate) mod refusal;
pub(crate) mod room;
