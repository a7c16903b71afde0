//! What an engine's memory is believed to hold: the parts of the prompts that were sent there.
//!
//! Engines keep the parts used last, within their memory. What was sent is known at once, while
//! an engine's own list comes late and has gaps; a wrong belief costs one prompt read again.

use crate::dialect::PartId;
use std::collections::{BTreeMap, HashMap};

/// Part of an engine's memory that parts may fill before the oldest are taken for gone; the rest
/// is for requests that run.
const KEPT_SHARE: f64 = 0.75;

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    /// Key of its entry in `by_use`.
    used: u64,
}

/// Parts believed to be in one engine's memory, the least recently used first to go.
///
/// `by_use` has one entry for each of `parts`, and `tokens` is their sum.
#[derive(Debug, Default)]
pub(super) struct PromptMemory {
    parts: HashMap<PartId, Part>,
    by_use: BTreeMap<u64, PartId>,
    tokens: u64,
    uses: u64,
}

impl PromptMemory {
    /// Tokens at the start of a prompt that need not be read again.
    pub(super) fn cached_tokens(&self, prompt_parts: &[(PartId, u32)]) -> u32 {
        let mut cached = 0;
        for (id, tokens) in prompt_parts {
            let held = self.parts.get(id).map_or(0, |part| part.tokens);
            cached += held.min(*tokens);
            if held < *tokens {
                break;
            }
        }
        cached
    }

    /// Notes that the parts of a prompt were read, within a memory of so many tokens.
    pub(super) fn remember(&mut self, prompt_parts: &[(PartId, u32)], memory_tokens: u64) {
        for (id, tokens) in prompt_parts {
            self.touch(*id, *tokens);
        }
        let limit = (memory_tokens as f64 * KEPT_SHARE) as u64;
        while self.tokens > limit {
            let Some((_, id)) = self.by_use.pop_first() else {
                return;
            };
            let gone = self.parts.remove(&id);
            self.tokens -= gone.map_or(0, |part| u64::from(part.tokens));
        }
    }

    fn touch(&mut self, id: PartId, tokens: u32) {
        self.uses += 1;
        let part = Part {
            tokens,
            used: self.uses,
        };
        if let Some(before) = self.parts.insert(id, part) {
            self.by_use.remove(&before.used);
            self.tokens -= u64::from(before.tokens);
        }
        self.by_use.insert(self.uses, id);
        self.tokens += u64::from(tokens);
    }
}
