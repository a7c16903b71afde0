//! Hash that is equal in all gateways of the same version.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a hash that, unlike that of a `HashMap`, is the same in each process.
pub fn stable_hash(value: impl Hash) -> u64 {
    // `DefaultHasher::new` uses fixed keys.
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
