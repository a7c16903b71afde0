//! Tool services and the plain services beside the engines.

use serde::{Deserialize, Serialize};
use std::future::Future;

/// One call of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The operation, as in the environment document, such as `transfer`.
    pub operation: String,
    /// Names this call to the service; the same in every record of it.
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

/// Why a service gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceError {
    /// No byte of the request left this process: it has not run.
    NotSent(String),
    /// The request may have arrived: it may have run.
    Unknown(String),
}

/// A service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends one request on a fresh connection, once.
    fn invoke(
        &self,
        request: ServiceRequest,
    ) -> impl Future<Output = Result<ServiceReply, ServiceError>> + Send;
}
