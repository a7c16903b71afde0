//! A hash that all gateways of a version compute alike.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hashes a value; unlike the hash of a map, it is the same in each process.
pub(crate) fn stable_hash(value: impl Hash) -> u64 {
    // The hasher has fixed keys.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
