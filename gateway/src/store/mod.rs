//! The platform's store: calls to it, and the readers of its topics.

pub(crate) mod follow;
pub(crate) mod link;
