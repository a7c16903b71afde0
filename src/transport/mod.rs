//! Sockets, links between processes and the tasks that drive them. Knows no message.

pub(crate) mod handshake;
pub(crate) mod link;
pub(crate) mod pool;
pub(crate) mod replay;
pub(crate) mod spawn;
