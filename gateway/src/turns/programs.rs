//! Programs of which this gateway has answered a request.

#[cfg(test)]
mod tests;

use galenapick::stable_hash;
use std::collections::HashSet;
use std::mem;

/// Number of programs after which the ones before them are forgotten. Two generations take 100 KB.
const GENERATION_PROGRAMS: usize = 2_048;

/// The latest programs, so that those that have begun can be told from new ones. Requests of a
/// program mostly come to one gateway.
#[derive(Debug, Default)]
pub(crate) struct BegunPrograms {
    /// Hashes of ids; at most [`GENERATION_PROGRAMS`].
    recent: HashSet<u64>,
    /// The generation before.
    older: HashSet<u64>,
}

impl BegunPrograms {
    /// Records that a request of an account's program was answered. The account is empty if the
    /// request has none.
    pub(crate) fn insert(&mut self, account: &str, program: &str) {
        if self.recent.len() >= GENERATION_PROGRAMS {
            self.older = mem::take(&mut self.recent);
        }
        self.recent.insert(stable_hash((account, program)));
    }

    /// Returns whether an account's program has begun, as far as is known here.
    pub(crate) fn contains(&self, account: &str, program: &str) -> bool {
        let hash = stable_hash((account, program));
        self.recent.contains(&hash) || self.older.contains(&hash)
    }
}
