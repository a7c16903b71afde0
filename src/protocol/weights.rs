//! The platform's rate-limited weight store.

use crate::ids::ModelId;
use std::future::Future;
use std::time::Duration;

/// Permission to load weights, or the time to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightGrant {
    /// The load may start.
    Granted,
    /// Over the rate; ask again after this time.
    Wait(Duration),
}

/// The store of model weights.
pub trait WeightStore: Clone + Send + Sync + 'static {
    /// Asks to load a version of a model; `None` if the store does not answer.
    fn request(
        &self,
        model: &ModelId,
        version: u32,
    ) -> impl Future<Output = Option<WeightGrant>> + Send;
}
