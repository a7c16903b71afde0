//! The prefix cache of the engine stand-in, with limited capacity and least-recently-used eviction.

use crate::ids::ProgramId;
use crate::protocol::message::Message;
use crate::standin::engine::answer::{EMPTY_PREFIX_HASH, message_tokens, prefix_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Instant;

/// A prefix of a prompt, described by its last message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Prefix {
    /// Hash of the whole prefix, including its last message.
    pub(crate) hash: u64,
    /// Number of tokens of the last message.
    pub(crate) tokens: u32,
}

/// Returns the prefixes of a prompt, one per message.
pub(crate) fn prefixes_of(messages: &[Message]) -> Vec<Prefix> {
    let mut hash = EMPTY_PREFIX_HASH;
    let prefixes = messages.iter().map(|message| {
        hash = prefix_hash(hash, message);
        Prefix {
            hash,
            tokens: message_tokens(message),
        }
    });
    prefixes.collect()
}

/// A change of the number of tokens that a program has in the cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CacheChange {
    /// The program.
    pub(crate) program: ProgramId,
    /// Number of tokens held after the change.
    pub(crate) held_tokens: u64,
    /// Token-seconds that the evicted tokens were held since their last use, or 0 if none were
    /// evicted.
    pub(crate) unused_token_s: f64,
}

/// The cached messages of one program.
///
/// Invariant: `held_tokens` is the sum of the values of `messages`.
#[derive(Debug)]
struct ProgramCache {
    /// Number of tokens of each cached message, keyed by the hash of the prefix that ends with it.
    messages: HashMap<u64, u32>,
    held_tokens: u64,
    last_used: Instant,
    /// Number of streams that use the cache. The cache is not evicted while there are any.
    active_streams: u32,
    /// Whether to remove the cache when its last stream ends.
    release_when_idle: bool,
}

/// Cached prompt prefixes, grouped by program.
///
/// Invariant: `used_tokens` is the sum of the cached tokens of all programs and the tokens that streams
/// have reserved.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    programs: HashMap<ProgramId, ProgramCache>,
    used_tokens: u64,
    total_tokens: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(crate) fn new(total_tokens: u64) -> Self {
        Self {
            programs: HashMap::new(),
            used_tokens: 0,
            total_tokens,
            changes: Vec::new(),
        }
    }

    /// Returns the number of tokens in use, cached or reserved.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Returns the number of tokens that a program has in the cache.
    pub(crate) fn held_tokens(&self, program: ProgramId) -> u64 {
        self.programs
            .get(&program)
            .map_or(0, |cached| cached.held_tokens)
    }

    /// Returns the programs that have tokens in the cache, with the number of these tokens.
    pub(crate) fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        let cached = self.programs.iter();
        cached
            .map(|(&program, cached)| (program, cached.held_tokens))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Returns the number of tokens in the longest cached prefix of a prompt.
    pub(crate) fn cached_prefix_tokens(&self, program: ProgramId, prefixes: &[Prefix]) -> u64 {
        let Some(cached) = self.programs.get(&program) else {
            return 0;
        };
        prefixes
            .iter()
            .take_while(|prefix| cached.messages.contains_key(&prefix.hash))
            .map(|prefix| u64::from(prefix.tokens))
            .sum()
    }

    /// Reserves memory for a stream of a program and protects the program's cache from eviction until
    /// the reservation is released. Returns `false` if there is not enough memory even after the
    /// eviction of every cache that no stream uses.
    pub(crate) fn reserve(&mut self, program: ProgramId, tokens: u64, now: Instant) -> bool {
        self.program_mut(program, now).active_streams += 1;
        if !self.evict_until_free(tokens, now) {
            self.release_reservation(program, 0, now);
            return false;
        }
        self.program_mut(program, now).release_when_idle = false;
        self.used_tokens += tokens;
        true
    }

    /// Reserves memory even if this exceeds the capacity.
    pub(crate) fn force_reserve(&mut self, program: ProgramId, tokens: u64, now: Instant) {
        let cached = self.program_mut(program, now);
        cached.active_streams += 1;
        cached.release_when_idle = false;
        self.used_tokens += tokens;
    }

    /// Shrinks a reservation to at most `to` tokens.
    pub(crate) fn shrink_reservation(&mut self, reserved_tokens: &mut u64, to: u64) {
        let freed = reserved_tokens.saturating_sub(to);
        *reserved_tokens -= freed;
        self.used_tokens = self.used_tokens.saturating_sub(freed);
    }

    /// Releases a stream's reservation. Removes the program's cache if no stream uses it and it is empty
    /// or marked for release.
    pub(crate) fn release_reservation(&mut self, program: ProgramId, tokens: u64, now: Instant) {
        self.used_tokens = self.used_tokens.saturating_sub(tokens);
        let Some(cached) = self.programs.get_mut(&program) else {
            return;
        };
        cached.active_streams = cached.active_streams.saturating_sub(1);
        let is_removable =
            cached.active_streams == 0 && (cached.release_when_idle || cached.messages.is_empty());
        if is_removable {
            self.remove_program(program, now);
        }
    }

    /// Adds computed prefixes to the cache of a program.
    pub(crate) fn insert(&mut self, program: ProgramId, prefixes: &[Prefix], now: Instant) {
        let cached = self.program_mut(program, now);
        cached.last_used = now;
        let mut added = 0;
        for prefix in prefixes {
            if cached.messages.insert(prefix.hash, prefix.tokens).is_none() {
                added += u64::from(prefix.tokens);
            }
        }
        cached.held_tokens += added;
        let held_tokens = cached.held_tokens;
        self.used_tokens += added;
        if added > 0 {
            self.record_change(program, held_tokens, 0.0);
        }
    }

    /// Removes a program's cache, or marks it for removal if a stream uses it. Returns the number of
    /// tokens that are still held, at least 1 while a stream uses the cache.
    pub(crate) fn release(&mut self, program: ProgramId, now: Instant) -> u64 {
        let Some(cached) = self.programs.get_mut(&program) else {
            return 0;
        };
        if cached.active_streams > 0 {
            cached.release_when_idle = true;
            return cached.held_tokens.max(1);
        }
        self.remove_program(program, now);
        0
    }

    /// Returns a program's prefixes as opaque bytes, or `None` if nothing is cached.
    pub(crate) fn export(&self, program: ProgramId) -> Option<Vec<u8>> {
        let cached = self.programs.get(&program)?;
        if cached.messages.is_empty() {
            return None;
        }
        let prefixes = cached.messages.iter();
        let prefixes: Vec<Prefix> = prefixes
            .map(|(&hash, &tokens)| Prefix { hash, tokens })
            .collect();
        let mut bytes = Vec::new();
        ciborium::into_writer(&prefixes, &mut bytes).ok()?;
        Some(bytes)
    }

    /// Adds prefixes that another engine exported. Returns `false` if they are malformed or do not fit.
    pub(crate) fn import(&mut self, program: ProgramId, bytes: &[u8], now: Instant) -> bool {
        let Ok(prefixes) = ciborium::from_reader::<Vec<Prefix>, _>(bytes) else {
            return false;
        };
        let tokens = prefixes.iter().map(|prefix| u64::from(prefix.tokens)).sum();
        if !self.reserve(program, tokens, now) {
            return false;
        }
        self.insert(program, &prefixes, now);
        self.release_reservation(program, tokens, now);
        true
    }

    /// Returns the changes since the last call and clears them.
    pub(crate) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Evicts the least recently used idle programs until `tokens` tokens are free. Returns `false` if
    /// this is not possible.
    fn evict_until_free(&mut self, tokens: u64, now: Instant) -> bool {
        while self.used_tokens + tokens > self.total_tokens {
            let idle = self
                .programs
                .iter()
                .filter(|(_, cached)| cached.active_streams == 0);
            let oldest = idle.min_by_key(|(program, cached)| (cached.last_used, **program));
            let Some((&program, _)) = oldest else {
                return false;
            };
            self.remove_program(program, now);
        }
        true
    }

    /// Removes the cache of a program.
    fn remove_program(&mut self, program: ProgramId, now: Instant) {
        let Some(cached) = self.programs.remove(&program) else {
            return;
        };
        if cached.held_tokens == 0 {
            return;
        }
        self.used_tokens = self.used_tokens.saturating_sub(cached.held_tokens);
        let idle = now.saturating_duration_since(cached.last_used);
        self.record_change(program, 0, cached.held_tokens as f64 * idle.as_secs_f64());
    }

    /// Returns the cache of a program, and creates it if necessary.
    fn program_mut(&mut self, program: ProgramId, now: Instant) -> &mut ProgramCache {
        self.programs
            .entry(program)
            .or_insert_with(|| ProgramCache {
                messages: HashMap::new(),
                held_tokens: 0,
                last_used: now,
                active_streams: 0,
                release_when_idle: false,
            })
    }

    /// Records a change for the next call of [`Self::take_changes`].
    fn record_change(&mut self, program: ProgramId, held_tokens: u64, unused_token_s: f64) {
        self.changes.push(CacheChange {
            program,
            held_tokens,
            unused_token_s,
        });
    }
}
