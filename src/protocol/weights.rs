//! Interface to the platform's rate-limited store of model weights.

use crate::ids::ModelId;
use std::future::Future;
use std::time::Duration;

/// Answer to a request to load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightGrant {
    /// The load may start.
    Granted,
    /// The rate limit was reached. Retry after this time.
    Wait(Duration),
}

/// The store of model weights.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Requests permission to load a version of a model. Returns `None` if the store does not
    /// answer.
    fn request(
        &self,
        model: &ModelId,
        version: u32,
    ) -> impl Future<Output = Option<WeightGrant>> + Send;
}
