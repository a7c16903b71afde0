//! HTTP clients that implement the interfaces of the [`protocol`](crate::protocol) module.

mod engine;
mod log;
mod rate_limit;
mod service;
mod sse;
mod vms;
mod weights;

pub use engine::{HttpEngine, HttpEngineStream};
pub use log::HttpLog;
pub use service::HttpService;
pub use vms::HttpVmList;
pub use weights::HttpWeightStore;

#[cfg(test)]
mod tests;

use crate::http::HttpError;
use crate::protocol::failure::{Connection, LostAnswer};

/// Converts an error of the HTTP client.
fn lost_answer(error: &HttpError) -> LostAnswer {
    LostAnswer {
        reason: error.to_string(),
        connection: match error {
            HttpError::Refused(_) => Connection::Refused,
            HttpError::Ended(_) => Connection::Ended,
            HttpError::Failed(_) | HttpError::TimedOut => Connection::Other,
        },
    }
}
