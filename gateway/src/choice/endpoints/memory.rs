//! Estimate of an engine's prompt cache, made from the prompts that were sent to the engine.
//!
//! Engines evict the least recently used parts. The estimate is used because sent prompts are known
//! immediately, while the list that an engine reports is late and incomplete. A wrong estimate costs
//! one prefill of a prompt.

use crate::dialect::PartId;
use std::collections::{BTreeMap, HashMap};

/// Share of an engine's KV cache assumed to be available for cached prompt parts; running requests
/// use the rest.
const PREFIX_CACHE_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    /// Key of this part in `by_use`.
    last_use: u64,
}

/// Least-recently-used cache of the prompt parts assumed to be in one engine's KV cache.
///
/// `by_use` has one entry for each of `parts`, and `tokens` is their total length.
#[derive(Debug, Default)]
pub(super) struct PromptCache {
    parts: HashMap<PartId, Part>,
    by_use: BTreeMap<u64, PartId>,
    tokens: u64,
    uses: u64,
}

impl PromptCache {
    /// Returns the length of the cached prefix of a prompt, in tokens.
    pub(super) fn cached_tokens(&self, prompt_parts: &[(PartId, u32)]) -> u32 {
        let mut cached = 0;
        for (id, tokens) in prompt_parts {
            let cached_part_tokens = self.parts.get(id).map_or(0, |part| part.tokens);
            cached += cached_part_tokens.min(*tokens);
            if cached_part_tokens < *tokens {
                break;
            }
        }
        cached
    }

    /// Adds the parts of a prompt and evicts others until the cache fits into `kv_cache_tokens`.
    pub(super) fn record_prompt(&mut self, prompt_parts: &[(PartId, u32)], kv_cache_tokens: u64) {
        for (id, tokens) in prompt_parts {
            self.mark_used(*id, *tokens);
        }
        let limit = (kv_cache_tokens as f64 * PREFIX_CACHE_SHARE) as u64;
        while self.tokens > limit {
            let Some((_, id)) = self.by_use.pop_first() else {
                return;
            };
            let evicted = self.parts.remove(&id);
            self.tokens -= evicted.map_or(0, |part| u64::from(part.tokens));
        }
    }

    fn mark_used(&mut self, id: PartId, tokens: u32) {
        self.uses += 1;
        let part = Part {
            tokens,
            last_use: self.uses,
        };
        if let Some(previous) = self.parts.insert(id, part) {
            self.by_use.remove(&previous.last_use);
            self.tokens -= u64::from(previous.tokens);
        }
        self.by_use.insert(self.uses, id);
        self.tokens += u64::from(tokens);
    }
}
