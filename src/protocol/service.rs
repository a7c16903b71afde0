//! Interface to services: tool services, and plain services that run alongside the engines.

use crate::protocol::failure::LostAnswer;
use crate::protocol::rate::RequestRate;
use serde::{Deserialize, Serialize};
use std::future::Future;

/// Request to a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The operation, as named in the environment document, for example `transfer`.
    pub operation: String,
    /// Identifies the call to the service. Every record of the call has the same id.
    pub call: crate::ids::CallId,
    /// The JSON argument.
    pub body: String,
}

/// A service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON result.
    pub body: String,
}

/// Reason why a service gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceError {
    /// No byte of the request left this process, so the call has not run.
    NotSent(String),
    /// The request may have arrived, so the call may have run.
    Unknown(LostAnswer),
}

/// A service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Returns the limit that the latest answer stated for the rate of requests; `None` if it stated
    /// none.
    fn rate_limit(&self) -> Option<RequestRate>;

    /// Sends the request on a new connection, without retries.
    fn invoke(
        &self,
        request: ServiceRequest,
    ) -> impl Future<Output = Result<ServiceReply, ServiceError>> + Send;
}
