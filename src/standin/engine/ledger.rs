//! What engines have computed for each program, counted over all engines that share a ledger.

use crate::ids::ProgramId;
use crate::standin::engine::cache::Prefix;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts the prompt tokens that several engine stand-ins compute, and those computed again.
#[derive(Clone, Debug, Default)]
pub struct TokenLedger {
    inner: Arc<Mutex<Inner>>,
}

/// Sums over the engines of a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TokenLedgerCounts {
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
    counts: TokenLedgerCounts,
    /// Hashes of the prefixes that were computed for a program.
    computed: HashMap<ProgramId, HashSet<u64>>,
}

impl TokenLedger {
    /// Returns the sums.
    pub fn counts(&self) -> TokenLedgerCounts {
        self.lock().counts
    }

    /// Counts a prompt of which the first `cached` tokens were found, and returns how many of the
    /// others had been computed before.
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

    /// Counts an answer, whose prefix is computed from now on.
    pub(crate) fn record_answer(&self, program: ProgramId, hash: u64, tokens: u32) {
        let mut inner = self.lock();
        inner.computed.entry(program).or_default().insert(hash);
        inner.counts.completion_tokens += u64::from(tokens);
    }

    /// Counts cache that was held and not used again.
    pub(crate) fn record_unused(&self, token_s: f64) {
        self.lock().counts.unused_token_s += token_s;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
