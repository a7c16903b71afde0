//! What an engine's memory is believed to hold: the parts of the prompts that were sent there.
//!
//! Engines keep the parts used last, within their memory. What was sent is known at once, while
//! an engine's own list comes late and has gaps; a wrong belief costs one prompt read again.

use crate::dialect::PartId;
use std::collections::{BTreeMap, HashMap};

/// Part of an engine's memory that parts may fill before the oldest are taken for gone; the rest
/// is for requests that run.
const PREFIX_CACHE_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    /// Key of its entry in `by_use`.
    last_use: u64,
}

/// Parts believed to be in one engine's memory, the least recently used first to go.
///
/// `by_use` has one entry for each of `parts`, and `tokens` is their sum.
#[derive(Debug, Default)]
pub(super) struct PromptCache {
    parts: HashMap<PartId, Part>,
    by_use: BTreeMap<u64, PartId>,
    tokens: u64,
    uses: u64,
}

impl PromptCache {
    /// Tokens at the start of a prompt that need not be read again.
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

    /// Notes that the parts of a prompt were read, within a memory of so many tokens.
    pub(super) fn record_prompt(&mut self, prompt_parts: &[(PartId, u32)], memory_tokens: u64) {
        for (id, tokens) in prompt_parts {
            self.mark_used(*id, *tokens);
        }
        let limit = (memory_tokens as f64 * PREFIX_CACHE_SHARE) as u64;
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
