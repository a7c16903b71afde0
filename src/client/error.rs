//! Errors of the client.

use crate::http::{HttpError, HttpResponse};
use crate::protocol::refusal::{Ran, Refusal};
use std::fmt;

/// The reason why a request returned no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The system refused the request.
    Refused(Refusal),
    /// The entry refused the connection; nothing was sent.
    Unreachable(String),
    /// The connection broke or timed out; a call may have run. A retry with the same key is safe.
    Broken(String),
    /// The response does not conform to the interface.
    Unreadable(String),
}

impl CallError {
    /// Returns whether the request had an effect, as far as the client can know.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Refused(refusal) => refusal.ran,
            Self::Unreachable(_) => Ran::No,
            Self::Broken(_) | Self::Unreadable(_) => Ran::Unknown,
        }
    }

    pub(super) fn broken(error: impl fmt::Display) -> Self {
        Self::Broken(error.to_string())
    }

    /// Converts the error of an exchange that has received no response.
    pub(super) fn unanswered(error: HttpError) -> Self {
        match error {
            HttpError::Refused(reason) => Self::Unreachable(reason),
            error => Self::broken(error),
        }
    }

    /// Returns whether another entry may answer instead.
    pub(super) fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Broken(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Unreachable(reason) => write!(f, "not connected: {reason}"),
            Self::Broken(reason) => write!(f, "connection lost: {reason}"),
            Self::Unreadable(reason) => write!(f, "invalid response: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Tells whether a status is 2xx.
pub(super) fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Converts the body of an unsuccessful response into an error.
pub(super) fn parse_refusal(response: &HttpResponse) -> CallError {
    match serde_json::from_slice(&response.body) {
        Ok(refusal) => CallError::Refused(refusal),
        Err(_) => CallError::Unreadable(format!(
            "status {} with body {:?}",
            response.status,
            String::from_utf8_lossy(&response.body)
                .chars()
                .take(200)
                .collect::<String>()
        )),
    }
}
