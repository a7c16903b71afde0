//! Refusals: the reason why a call was not answered, and whether it ran.

use crate::protocol::crashes::Lifetime;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether the refused call had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Ran {
    /// The call had no effect and will have none.
    No,
    /// The call ran, but its answer is missing.
    Yes,
    /// The call may have run.
    Unknown,
}

/// The reason of a refusal.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    Invalid,
    /// The bearer token is missing or unknown.
    Unauthorized,
    /// The resource does not exist or belongs to another client account.
    NotFound,
    /// The request does not fit the program's state. For example, the idempotency key was used for a
    /// different call, or a call of the branch is still running.
    Conflict,
    /// The program has ended, was cancelled or has lapsed.
    Ended,
    /// The program's budget does not cover the call.
    Budget,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// A limit of the client account or the environment is reached.
    Limit,
    /// The queues are full.
    Overloaded,
    /// No endpoint can serve the call now.
    NoEndpoint,
    /// The partition has no reachable owner.
    NoOwner,
    /// The log does not answer, or its backlog is full, and the request needs it.
    LogDown,
    /// The endpoint failed.
    EndpointFailed,
    /// The node is shutting down.
    ShuttingDown,
    /// The outcome of a non-repeatable call is unknown, and an operator must resolve it.
    UnknownOutcome,
    /// A non-repeatable call ran, but its answer was not stored.
    AnswerLost,
}

/// A refusal with a typed reason.
///
/// Invariant: `ran` is `No` only if the call has had no effect and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: RefusalCode,
    /// Whether the call had an effect.
    pub ran: Ran,
    /// Delay before a retry, in milliseconds; `None` if a retry is of no use.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people, in one sentence.
    pub message: String,
    /// Lifetime of the endpoint that ended while it had the call. It passes between nodes only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashed: Option<Lifetime>,
}

impl Refusal {
    /// Creates a refusal of a call that has not run, without a retry delay.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after_ms: None,
            message: message.into(),
            crashed: None,
        }
    }

    /// Creates a refusal of a call that may have run, without a retry delay.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Names the lifetime of the endpoint that ended while it had the call.
    pub(crate) fn crashed(mut self, lifetime: Option<Lifetime>) -> Self {
        self.crashed = lifetime;
        self
    }

    /// Sets the delay before a retry, in milliseconds.
    pub fn retry_after_ms(mut self, wait_ms: u64) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (ran: {})", self.code, self.message, self.ran)
    }
}

impl std::error::Error for Refusal {}
