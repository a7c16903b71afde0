//! Links between processes and the executor that runs a daemon's tasks. Independent of the message
//! types that links carry.

pub(crate) mod handshake;
pub(crate) mod link;
pub(crate) mod pool;
pub(crate) mod replay;
pub(crate) mod spawn;
