//! Estimate of the tokens that each engine holds for each program.

use crate::ids::{EndpointId, ProgramId};
use crate::protocol::engine::CacheEvent;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a [`CacheTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheTableConfig {
    /// Programs that are remembered.
    pub max_programs: usize,
    /// Part of an engine's estimates that is believed after each lost event.
    pub trust_per_lost_event: f64,
    /// Cache lifetime assumed before anything was learned.
    pub initial_lifetime: Duration,
}

impl Default for CacheTableConfig {
    fn default() -> Self {
        Self {
            max_programs: 200_000,
            trust_per_lost_event: 0.998,
            initial_lifetime: Duration::from_secs(600),
        }
    }
}

/// Weight of a new observation in the trust and the lifetime.
const LEARNING_RATE: f64 = 0.1;

/// Lost events that count in one gap at most.
const MAX_LOST_EVENTS: u64 = 1_000;

/// Least part of an estimate that is believed: answers correct the rest.
const MIN_TRUST: f64 = 0.5;

/// Part of a prompt that must be found in the cache to count as a hit.
const MIN_HIT_SHARE: f64 = 0.5;

/// Shortest cache lifetime that is believed, in milliseconds.
const MIN_LIFETIME_MS: f64 = 1_000.0;

/// Holders that are remembered for one program.
const MAX_HOLDERS: usize = 4;

/// An engine that holds tokens of a program.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Index into [`CacheTable::endpoints`].
    endpoint: u32,
    /// Tokens held when last seen.
    tokens: u32,
    /// Milliseconds since the table began.
    used_ms: u32,
}

/// What is known of one program.
#[derive(Clone, Debug, Default)]
struct Program {
    holders: SmallVec<[Holder; 2]>,
    /// Prompt tokens that any engine has computed for it.
    computed_tokens: u32,
    /// Milliseconds since the table began.
    used_ms: u32,
}

/// What is known of one engine.
#[derive(Clone, Debug)]
struct CacheEndpoint {
    name: EndpointId,
    /// Smoothed part of the estimates that answers confirmed.
    trust: f64,
    /// Time for which an unused prefix is expected to stay, in milliseconds.
    lifetime_ms: f64,
    /// Last event seen.
    sequence: u64,
}

/// Estimates, by program and engine, of the prompt tokens in engines' caches.
///
/// Answers are believed; events are hints, since they are late and have gaps.
/// Invariant: at most `programs` programs are remembered, the least recently used go first.
///
/// ```
/// use galenapick::{CacheTable, CacheTableConfig};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut table = CacheTable::new(CacheTableConfig::default(), now);
/// table.record_answer(now, "e1", 7, 1_000, 0, 50);
/// assert_eq!(table.holders(now, 7)[0], ("e1".to_owned(), 1_050));
/// assert_eq!(table.computed_tokens(7), 1_050);
/// ```
#[derive(Debug)]
pub struct CacheTable {
    cfg: CacheTableConfig,
    created_at: Instant,
    programs: HashMap<ProgramId, Program>,
    endpoints: Vec<CacheEndpoint>,
    by_name: HashMap<EndpointId, u32>,
}

impl CacheTable {
    /// Makes an empty table.
    pub fn new(cfg: CacheTableConfig, now: Instant) -> Self {
        Self {
            cfg,
            created_at: now,
            programs: HashMap::new(),
            endpoints: Vec::new(),
            by_name: HashMap::new(),
        }
    }

    /// Takes the token counts of an answer.
    pub fn record_answer(
        &mut self,
        now: Instant,
        endpoint: &str,
        program: ProgramId,
        prompt_tokens: u32,
        cached_tokens: u32,
        completion_tokens: u32,
    ) {
        let index = self.endpoint_index(endpoint);
        let now_ms = self.elapsed_ms(now);
        self.evict_if_full(program);
        let entry = self.programs.entry(program).or_default();
        let tokens = prompt_tokens + completion_tokens;
        entry.used_ms = now_ms;
        entry.computed_tokens = entry.computed_tokens.max(tokens);
        let known = entry.holders.iter().find(|h| h.endpoint == index).copied();
        set_holder(
            entry,
            Holder {
                endpoint: index,
                tokens,
                used_ms: now_ms,
            },
        );
        if let Some(known) = known {
            let expected = known.tokens.min(prompt_tokens);
            let idle_ms = now_ms.saturating_sub(known.used_ms);
            self.endpoints[index as usize].update_estimates(expected, cached_tokens, idle_ms);
        }
    }

    /// Takes an engine's event; a gap before it lowers the trust in that engine's estimates.
    pub fn apply_event(&mut self, now: Instant, endpoint: &str, event: &CacheEvent) {
        let index = self.endpoint_index(endpoint);
        let known = &mut self.endpoints[index as usize];
        if event.sequence <= known.sequence {
            return;
        }
        if known.sequence > 0 && event.sequence > known.sequence + 1 {
            let lost = (event.sequence - known.sequence - 1).min(MAX_LOST_EVENTS);
            known.trust *= self.cfg.trust_per_lost_event.powi(lost as i32);
            known.trust = known.trust.max(MIN_TRUST);
        }
        known.sequence = event.sequence;
        self.update_holder(now, index, event);
    }

    /// Returns the engines that are believed to hold tokens of a program, with the tokens.
    pub fn holders(&self, now: Instant, program: ProgramId) -> SmallVec<[(EndpointId, u32); 4]> {
        let Some(entry) = self.programs.get(&program) else {
            return SmallVec::new();
        };
        let now_ms = self.elapsed_ms(now);
        let believed = |holder: &Holder| {
            let endpoint = &self.endpoints[holder.endpoint as usize];
            let idle_ms = now_ms.saturating_sub(holder.used_ms);
            let tokens = endpoint.estimate_tokens(holder.tokens, idle_ms);
            (endpoint.name.clone(), tokens)
        };
        let holders = entry.holders.iter().map(believed);
        holders.filter(|(_, tokens)| *tokens > 0).collect()
    }

    /// Returns the prompt tokens that any engine has computed for a program.
    pub fn computed_tokens(&self, program: ProgramId) -> u32 {
        let entry = self.programs.get(&program);
        entry.map_or(0, |entry| entry.computed_tokens)
    }

    /// Forgets a program, and returns the engines that may hold its cache.
    pub fn remove_program(&mut self, program: ProgramId) -> SmallVec<[EndpointId; 4]> {
        let Some(entry) = self.programs.remove(&program) else {
            return SmallVec::new();
        };
        let name = |holder: &Holder| self.endpoints[holder.endpoint as usize].name.clone();
        entry.holders.iter().map(name).collect()
    }

    /// Forgets what an engine held, such as after its restart.
    pub fn clear_endpoint(&mut self, endpoint: &str) {
        let Some(index) = self.by_name.get(endpoint).copied() else {
            return;
        };
        for entry in self.programs.values_mut() {
            entry.holders.retain(|holder| holder.endpoint != index);
        }
        self.endpoints[index as usize].sequence = 0;
    }

    /// Returns how many programs are remembered.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Tells whether no program is remembered.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Takes an event's token count, if the program is known.
    fn update_holder(&mut self, now: Instant, index: u32, event: &CacheEvent) {
        let now_ms = self.elapsed_ms(now);
        let Some(entry) = self.programs.get_mut(&event.program) else {
            return;
        };
        let tokens = u32::try_from(event.held_tokens).unwrap_or(u32::MAX);
        match entry.holders.iter_mut().find(|h| h.endpoint == index) {
            Some(holder) if tokens == 0 => holder.tokens = 0,
            Some(holder) => holder.tokens = holder.tokens.max(tokens),
            None if tokens > 0 => set_holder(
                entry,
                Holder {
                    endpoint: index,
                    tokens,
                    used_ms: now_ms,
                },
            ),
            None => (),
        }
    }

    /// Finds or makes the index of an engine.
    fn endpoint_index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = self.endpoints.len() as u32;
        self.endpoints.push(CacheEndpoint {
            name: name.to_owned(),
            trust: 1.0,
            lifetime_ms: self.cfg.initial_lifetime.as_secs_f64() * 1e3,
            sequence: 0,
        });
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Forgets the least recently used eighth when a new program does not fit.
    fn evict_if_full(&mut self, program: ProgramId) {
        if self.programs.len() < self.cfg.max_programs || self.programs.contains_key(&program) {
            return;
        }
        let mut used: Vec<u32> = self.programs.values().map(|p| p.used_ms).collect();
        let eighth = used.len() / 8;
        let (_, oldest, _) = used.select_nth_unstable(eighth);
        let oldest = *oldest;
        self.programs.retain(|_, entry| entry.used_ms > oldest);
    }

    /// Milliseconds since the table began.
    fn elapsed_ms(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.created_at);
        u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX)
    }
}

impl CacheEndpoint {
    /// Learns from an answer of a program that was believed to have `expected` tokens cached.
    fn update_estimates(&mut self, expected: u32, cached: u32, idle_ms: u32) {
        if expected == 0 {
            return;
        }
        let confirmed = (f64::from(cached) / f64::from(expected)).min(1.0);
        let idle_ms = f64::from(idle_ms);
        let hit = confirmed >= MIN_HIT_SHARE;
        if hit || idle_ms < self.lifetime_ms {
            self.trust += (confirmed - self.trust) * LEARNING_RATE;
        }
        if hit && idle_ms > self.lifetime_ms {
            self.lifetime_ms = idle_ms;
        } else if !hit && idle_ms < self.lifetime_ms {
            self.lifetime_ms += (idle_ms - self.lifetime_ms) * LEARNING_RATE;
        }
        self.lifetime_ms = self.lifetime_ms.max(MIN_LIFETIME_MS);
    }

    /// Returns the tokens that are believed to be still held.
    fn estimate_tokens(&self, tokens: u32, idle_ms: u32) -> u32 {
        let late = f64::from(idle_ms) / self.lifetime_ms;
        let alive = if late <= 1.0 {
            1.0
        } else {
            1.0 / (late * late)
        };
        (f64::from(tokens) * self.trust * alive) as u32
    }
}

/// Puts a holder first, in place of what was known of the same engine.
fn set_holder(entry: &mut Program, holder: Holder) {
    entry.holders.retain(|h| h.endpoint != holder.endpoint);
    entry.holders.insert(0, holder);
    entry.holders.truncate(MAX_HOLDERS);
}
