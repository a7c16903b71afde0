//! Identification of requests over their attempts.

use crate::coordination::stable_hash::stable_hash;
use crate::protocol::crashes::Fingerprint;
use std::hash::Hash;

/// Number of bytes in which bodies begin alike.
pub const PREFIX_BYTES: usize = 512;

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
