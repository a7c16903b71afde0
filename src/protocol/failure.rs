//! Failures of connections to endpoints.

use std::fmt;

/// What became of the connection on which an answer was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// It was refused, so that nothing was sent.
    Refused,
    /// It was open, and ended or was reset before the answer was complete.
    Ended,
    /// Something else, such as a time-out or an answer that cannot be read.
    Other,
}

/// Why an endpoint gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostAnswer {
    /// Explanation for people.
    pub reason: String,
    /// What became of the connection.
    pub connection: Connection,
}

impl LostAnswer {
    /// Creates the failure of an answer that was lost although its connection did not end.
    pub fn other(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
            connection: Connection::Other,
        }
    }

    /// Creates the failure of an answer whose connection ended.
    pub fn ended(reason: impl ToString) -> Self {
        Self {
            reason: reason.to_string(),
            connection: Connection::Ended,
        }
    }
}

impl fmt::Display for LostAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}
