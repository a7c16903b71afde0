//! The prefix cache of the engine stand-in, with limited memory.

use crate::ids::ProgramId;
use crate::protocol::message::Message;
use crate::standin::engine::answer::{EMPTY_PREFIX_HASH, message_tokens, prefix_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Instant;

/// One more message at the end of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Prefix {
    /// Hash of the prefix with this message.
    pub(crate) hash: u64,
    /// Tokens of this message.
    pub(crate) tokens: u32,
}

/// Returns the prefixes of a prompt, one a message.
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

/// A change of what a program holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CacheChange {
    /// Whose cache.
    pub(crate) program: ProgramId,
    /// Tokens held now.
    pub(crate) held_tokens: u64,
    /// Token-seconds of the dropped part since its last use; zero if nothing was dropped.
    pub(crate) unused_token_s: f64,
}

/// What one program holds.
///
/// Invariant: `held_tokens` is the sum of the values of `messages`.
#[derive(Debug)]
struct ProgramCache {
    /// Tokens of each message held, by the hash of the prefix that ends with it.
    messages: HashMap<u64, u32>,
    held_tokens: u64,
    last_used: Instant,
    /// Streams that use it now; while there is one it is not dropped.
    active_streams: u32,
    /// Whether it is dropped when its last user leaves.
    release_when_idle: bool,
}

/// Prefixes of prompts, held by program.
///
/// Invariant: `used_tokens` is the sum of what the programs hold and of what streams have reserved.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    programs: HashMap<ProgramId, ProgramCache>,
    used_tokens: u64,
    total_tokens: u64,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Makes an empty cache.
    pub(crate) fn new(total_tokens: u64) -> Self {
        Self {
            programs: HashMap::new(),
            used_tokens: 0,
            total_tokens,
            changes: Vec::new(),
        }
    }

    /// Returns the tokens in use.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Returns what a program holds.
    pub(crate) fn held_tokens(&self, program: ProgramId) -> u64 {
        self.programs
            .get(&program)
            .map_or(0, |cached| cached.held_tokens)
    }

    /// Returns what every program holds.
    pub(crate) fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        let cached = self.programs.iter();
        cached
            .map(|(&program, cached)| (program, cached.held_tokens))
            .filter(|(_, tokens)| *tokens > 0)
            .collect()
    }

    /// Returns the tokens of the longest held prefix of a prompt.
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

    /// Reserves memory for a stream of a program and keeps the program's cache until the stream
    /// leaves; `false` if there is no room even after dropping what no stream uses.
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

    /// Reserves memory whether or not there is room.
    pub(crate) fn force_reserve(&mut self, program: ProgramId, tokens: u64, now: Instant) {
        let cached = self.program_mut(program, now);
        cached.active_streams += 1;
        cached.release_when_idle = false;
        self.used_tokens += tokens;
    }

    /// Makes a reservation smaller.
    pub(crate) fn shrink_reservation(&mut self, reserved_tokens: &mut u64, to: u64) {
        let freed = reserved_tokens.saturating_sub(to);
        *reserved_tokens -= freed;
        self.used_tokens = self.used_tokens.saturating_sub(freed);
    }

    /// Gives up a stream's reservation.
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

    /// Holds prefixes of a program that were computed.
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

    /// Drops a program's cache, or marks it if a stream uses it; returns the tokens still held.
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

    /// Returns a program's prefixes as opaque bytes; `None` if it holds nothing.
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

    /// Holds prefixes that another engine exported; `false` if they are malformed or do not fit.
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

    /// Takes the changes since the last time.
    pub(crate) fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Drops what was used least recently until so many tokens are free.
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

    /// Drops all that a program holds.
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

    /// Returns the entry of a program, made if there is none.
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

    /// Notes a change.
    fn record_change(&mut self, program: ProgramId, held_tokens: u64, unused_token_s: f64) {
        self.changes.push(CacheChange {
            program,
            held_tokens,
            unused_token_s,
        });
    }
}
