//! Why a request gave no answer.

use crate::protocol::refusal::{Ran, Refusal};
use std::fmt;
use trillium_client::Conn;

/// Why a request gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The system refused it.
    Refused(Refusal),
    /// The connection broke or fell silent; a call may have run. A retry with the same key is safe.
    Broken(String),
    /// The answer is not what the interface promises.
    Unreadable(String),
}

impl CallError {
    /// Whether the request had an effect, as far as its sender can know.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Refused(refusal) => refusal.ran,
            Self::Broken(_) | Self::Unreadable(_) => Ran::Unknown,
        }
    }

    pub(super) fn broken(why: impl fmt::Display) -> Self {
        Self::Broken(why.to_string())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Broken(why) => write!(f, "connection lost: {why}"),
            Self::Unreadable(why) => write!(f, "answer not understood: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Tells whether an answer's status is in the 200s.
pub(super) fn is_success(conn: &Conn) -> bool {
    conn.status().is_some_and(|status| status.is_success())
}

/// Turns an answer that is no success into an error.
pub(super) fn check_status(conn: &Conn, body: &str) -> Result<(), CallError> {
    match is_success(conn) {
        true => Ok(()),
        false => Err(refusal_of(conn, body)),
    }
}

/// Reads the refusal in the body of an answer that is no success.
pub(super) fn refusal_of(conn: &Conn, body: &str) -> CallError {
    match serde_json::from_str(body) {
        Ok(refusal) => CallError::Refused(refusal),
        Err(_) => CallError::Unreadable(format!(
            "status {:?} with body {:?}",
            conn.status(),
            body.chars().take(200).collect::<String>()
        )),
    }
}
