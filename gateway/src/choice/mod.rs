//! Choice of the endpoint for a call.

pub(crate) mod announced_ends;
pub(crate) mod endpoint_heartbeats;
pub(crate) mod endpoints;
pub(crate) mod failing;
pub(crate) mod speed;
