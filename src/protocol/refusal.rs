//! Refusals: why a call was not answered, and whether it ran.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether the refused call had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Ran {
    /// It had none and will have none.
    No,
    /// It ran; only its answer is missing.
    Yes,
    /// It may have run.
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
    /// The bearer token is missing or not known.
    Unauthorized,
    /// There is no such thing, or it belongs to another client account.
    NotFound,
    /// The same key was used for another call, or a call of the branch is still running.
    Conflict,
    /// The program has ended, was cancelled or has lapsed.
    Ended,
    /// The program's budget does not cover the call.
    Budget,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// A limit of the client account or the environment is reached.
    Limit,
    /// Queues are full.
    Overloaded,
    /// No endpoint can serve the call now.
    NoEndpoint,
    /// The partition has no owner that answers.
    NoOwner,
    /// The log cannot take a record that the call needs first.
    LogDown,
    /// The endpoint failed.
    EndpointFailed,
    /// The node is shutting down.
    ShuttingDown,
    /// A non-repeatable call's outcome is not known; a person resolves it.
    UnknownOutcome,
    /// A non-repeatable call ran, but its answer was not kept.
    AnswerLost,
}

/// A typed refusal.
///
/// Invariant: `ran` is `No` only if the call has had no effect and never will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether the call had an effect.
    pub ran: Ran,
    /// When to try again, in milliseconds from now; `None` if trying again is of no use.
    pub retry_after_ms: Option<u64>,
    /// One sentence for a person.
    pub message: String,
}

impl Refusal {
    /// A refusal of a call that did not run and need not be tried again.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after_ms: None,
            message: message.into(),
        }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Says when to try again.
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
