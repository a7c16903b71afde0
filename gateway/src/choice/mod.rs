//! Choice of the endpoint for a call.

pub(crate) mod announced_ends;
pub(crate) mod check_ins;
pub(crate) mod endpoints;
pub(crate) mod failing;
pub(crate) mod speed;
