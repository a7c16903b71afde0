//! The platform's store: calls to it, and the readers of its topics.

mod configuration;
pub(crate) mod confirmation;
pub(crate) mod follow;
pub(crate) mod link;
