//! Token accounting over several engines: which prefixes were computed for each program.

use crate::ids::ProgramId;
use crate::standin::engine::cache::Prefix;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts the tokens that several engine stand-ins compute, including recomputed ones. Clones share
/// the same counts.
#[derive(Clone, Debug, Default)]
pub struct TokenLedger {
    inner: Arc<Mutex<Inner>>,
}

/// Sums over all engines that share a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TokenLedgerCounts {
    /// Number of tokens of all prompts.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were found in a cache.
    pub cached_tokens: u64,
    /// Number of prompt tokens computed for a program although an engine had computed them before.
    pub recomputed_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u64,
    /// Token-seconds that cached tokens were held between their last use and their eviction.
    pub unused_token_s: f64,
}

#[derive(Debug, Default)]
struct Inner {
    counts: TokenLedgerCounts,
    /// Hashes of the prefixes that were computed for each program.
    computed: HashMap<ProgramId, HashSet<u64>>,
}

impl TokenLedger {
    /// Returns the sums.
    pub fn counts(&self) -> TokenLedgerCounts {
        self.lock().counts
    }

    /// Records a prompt whose first `cached` tokens were found in the cache. Returns how many of the
    /// other tokens had been computed before.
    pub(crate) fn record_prompt(
        &self,
        program: ProgramId,
        prefixes: &[Prefix],
        cached: u64,
    ) -> u64 {
        let mut inner = self.lock();
        let computed = inner.computed.entry(program).or_default();
        let mut total = 0;
        let mut recomputed = 0;
        for prefix in prefixes {
            total += u64::from(prefix.tokens);
            let is_new = computed.insert(prefix.hash);
            if !is_new && total > cached {
                recomputed += u64::from(prefix.tokens);
            }
        }
        inner.counts.prompt_tokens += total;
        inner.counts.cached_tokens += cached;
        inner.counts.recomputed_tokens += recomputed;
        recomputed
    }

    /// Records an answer and marks its prefix as computed.
    pub(crate) fn record_answer(&self, program: ProgramId, hash: u64, tokens: u32) {
        let mut inner = self.lock();
        inner.computed.entry(program).or_default().insert(hash);
        inner.counts.completion_tokens += u64::from(tokens);
    }

    /// Records token-seconds of cache that was held without being used again.
    pub(crate) fn record_unused(&self, token_s: f64) {
        self.lock().counts.unused_token_s += token_s;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
