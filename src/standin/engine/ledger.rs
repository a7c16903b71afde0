//! What engines have computed for each program, counted over all engines that share a ledger.

use crate::ids::ProgramId;
use crate::standin::engine::cache::Prefix;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts the prompt tokens that several engine stand-ins compute, and those computed again.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
}

/// Sums over the engines of a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerCounts {
    /// Tokens of all prompts.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in a cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed for a program although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Token-seconds of cache between its last use and its end.
    pub unused_token_s: f64,
}

#[derive(Debug, Default)]
struct Inner {
    counts: LedgerCounts,
    /// Hashes of the prefixes that were computed for a program.
    seen: HashMap<ProgramId, HashSet<u64>>,
}

impl Ledger {
    /// Returns the sums.
    pub fn counts(&self) -> LedgerCounts {
        self.lock().counts
    }

    /// Counts a prompt of which the first `cached` tokens were found, and returns how many of the
    /// others had been computed before.
    pub(crate) fn prompt(&self, program: ProgramId, prefixes: &[Prefix], cached: u64) -> u64 {
        let mut inner = self.lock();
        let seen = inner.seen.entry(program).or_default();
        let mut total = 0;
        let mut again = 0;
        for prefix in prefixes {
            total += u64::from(prefix.tokens);
            let is_new = seen.insert(prefix.hash);
            if !is_new && total > cached {
                again += u64::from(prefix.tokens);
            }
        }
        inner.counts.prompt_tokens += total;
        inner.counts.cached_tokens += cached;
        inner.counts.recomputed_tokens += again;
        again
    }

    /// Counts an answer, whose prefix is computed from now on.
    pub(crate) fn answer(&self, program: ProgramId, hash: u64, tokens: u32) {
        let mut inner = self.lock();
        inner.seen.entry(program).or_default().insert(hash);
        inner.counts.completion_tokens += u64::from(tokens);
    }

    /// Counts cache that was held and not used again.
    pub(crate) fn unused(&self, token_s: f64) {
        self.lock().counts.unused_token_s += token_s;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
