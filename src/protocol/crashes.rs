//! What nodes tell each other about requests that crash endpoints.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Hash of what identifies requests over their attempts. Ids, programs and preceding turns differ
/// between copies of a request and are not part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fingerprint {
    /// The client account, the target, and the first [`PREFIX_BYTES`](crate::crashes::PREFIX_BYTES) of the body as the client
    /// sent it.
    ///
    /// Clients that keep the history themselves send it in the body, so that what crashes endpoints
    /// comes again at the beginning of longer bodies.
    #[serde(rename = "p")]
    Prefix(u64),
    /// The same with the whole body.
    #[serde(rename = "r")]
    Request(u64),
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefix(hash) => write!(formatter, "prefix-{hash:016x}"),
            Self::Request(hash) => write!(formatter, "request-{hash:016x}"),
        }
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let parse = |digits| u64::from_str_radix(digits, 16);
        match text.strip_prefix("prefix-") {
            Some(digits) => parse(digits).map(Self::Prefix),
            None => {
                let digits = text.strip_prefix("request-").unwrap_or_default();
                parse(digits).map(Self::Request)
            }
        }
    }
}

/// Hash of an endpoint's id and start time.
pub type Lifetime = u64;

/// Hash of the name of a node that wants to try a request.
pub type Claimant = u64;

/// What one node tells others about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Time since the last crash, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Lifetimes that ended under the request, and whether each is cleared.
    #[serde(rename = "l")]
    pub lifetimes: Vec<(Lifetime, bool)>,
    /// Hash of the prefix of a request; a node of an earlier version does not send it.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<u64>,
    /// Those of the lifetimes that ended under an attempt which was sent before any other end was known;
    /// a node of an earlier version does not name them.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub unrepeated: Vec<Lifetime>,
    /// The latest trial.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<TrialReport>,
}

/// What one node tells others about a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Number of trials of the request up to this one.
    #[serde(rename = "n")]
    pub number: u32,
    /// Node that claims or runs it.
    #[serde(rename = "c")]
    pub claimant: Claimant,
    /// Time after which it makes way for another one, in milliseconds; zero once it is over.
    #[serde(rename = "m")]
    pub left_ms: u64,
}
