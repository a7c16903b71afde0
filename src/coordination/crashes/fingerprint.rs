//! Identification of requests over their attempts.

use crate::coordination::stable_hash::stable_hash;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::hash::Hash;
use std::num::ParseIntError;
use std::str::FromStr;

/// Number of bytes in which bodies begin alike.
pub const PREFIX_BYTES: usize = 512;

/// Hash of what identifies requests over their attempts. Ids, programs and preceding turns differ
/// between copies of a request and are not part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fingerprint {
    /// The client account, the target, and the first [`PREFIX_BYTES`] of the body as the client
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

/// Fingerprints of one request.
pub type Fingerprints = [Fingerprint; 2];

/// Returns the fingerprints of a request with this target, which includes the client account, and
/// the body as the client sent it.
pub fn fingerprints(target: impl Hash, body: &[u8]) -> Fingerprints {
    let target = stable_hash(target);
    [
        Fingerprint::Prefix(stable_hash((target, &body[..body.len().min(PREFIX_BYTES)]))),
        Fingerprint::Request(stable_hash((target, body))),
    ]
}
