//! Estimates of the tokens that each engine caches for each program.

use crate::ids::{EndpointId, ProgramId};
use crate::protocol::engine::CacheEvent;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a [`CacheTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheTableConfig {
    /// Maximum number of programs in the table.
    pub max_programs: usize,
    /// Factor by which each lost event reduces the trust in an engine's estimates.
    pub trust_per_lost_event: f64,
    /// Lifetime of an unused prefix assumed before the first observation.
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

/// Weight of a new observation in the moving averages of trust and lifetime.
const LEARNING_RATE: f64 = 0.1;

/// Maximum number of lost events counted per gap.
const MAX_LOST_EVENTS: u64 = 1_000;

/// Minimum trust after lost events; answers correct the estimates further.
const MIN_TRUST: f64 = 0.5;

/// Fraction of the expected tokens that must be found in the cache to count as a hit.
const MIN_HIT_SHARE: f64 = 0.5;

/// Minimum estimate of the cache lifetime, in milliseconds.
const MIN_LIFETIME_MS: f64 = 1_000.0;

/// Maximum number of engines stored per program.
const MAX_HOLDERS: usize = 4;

/// An engine that caches tokens of a program.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// Index into [`CacheTable::endpoints`].
    endpoint: u32,
    /// Tokens cached at the last observation.
    tokens: u32,
    /// Time of the last use, in milliseconds since the table was created.
    used_ms: u32,
}

/// Estimates for one program.
#[derive(Clone, Debug, Default)]
struct Program {
    holders: SmallVec<[Holder; 2]>,
    /// Maximum number of tokens that any engine has computed for the program.
    computed_tokens: u32,
    /// Time of the last use, in milliseconds since the table was created.
    used_ms: u32,
}

/// Estimates for one engine.
#[derive(Clone, Debug)]
struct CacheEndpoint {
    name: EndpointId,
    /// Moving average of the fraction of expected tokens that answers confirmed.
    trust: f64,
    /// Expected lifetime of an unused prefix, in milliseconds.
    lifetime_ms: f64,
    /// Sequence number of the last event.
    sequence: u64,
}

/// Estimates of the prompt tokens in the engines' caches, by program and engine.
///
/// Token counts in answers are authoritative. Events are only hints because they are delayed and
/// may be lost. Invariant: the table contains at most `max_programs` programs; the least recently
/// used are evicted first.
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
    /// Creates an empty table.
    pub fn new(cfg: CacheTableConfig, now: Instant) -> Self {
        Self {
            cfg,
            created_at: now,
            programs: HashMap::new(),
            endpoints: Vec::new(),
            by_name: HashMap::new(),
        }
    }

    /// Records the token counts of an answer.
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
        let previous = entry.holders.iter().find(|h| h.endpoint == index).copied();
        set_holder(
            entry,
            Holder {
                endpoint: index,
                tokens,
                used_ms: now_ms,
            },
        );
        if let Some(previous) = previous {
            let expected = previous.tokens.min(prompt_tokens);
            let idle_ms = now_ms.saturating_sub(previous.used_ms);
            self.endpoints[index as usize].update_estimates(expected, cached_tokens, idle_ms);
        }
    }

    /// Applies an event of an engine. A gap before the event lowers the trust in the engine's
    /// estimates.
    pub fn apply_event(&mut self, now: Instant, endpoint: &str, event: &CacheEvent) {
        let index = self.endpoint_index(endpoint);
        let engine = &mut self.endpoints[index as usize];
        if event.sequence <= engine.sequence {
            return;
        }
        if engine.sequence > 0 && event.sequence > engine.sequence + 1 {
            let lost = (event.sequence - engine.sequence - 1).min(MAX_LOST_EVENTS);
            engine.trust *= self.cfg.trust_per_lost_event.powi(lost as i32);
            engine.trust = engine.trust.max(MIN_TRUST);
        }
        engine.sequence = event.sequence;
        self.update_holder(now, index, event);
    }

    /// Returns the engines that are believed to cache tokens of a program, with the estimated
    /// number of tokens.
    pub fn holders(&self, now: Instant, program: ProgramId) -> SmallVec<[(EndpointId, u32); 4]> {
        let Some(entry) = self.programs.get(&program) else {
            return SmallVec::new();
        };
        let now_ms = self.elapsed_ms(now);
        let estimate = |holder: &Holder| {
            let endpoint = &self.endpoints[holder.endpoint as usize];
            let idle_ms = now_ms.saturating_sub(holder.used_ms);
            let tokens = endpoint.estimate_tokens(holder.tokens, idle_ms);
            (endpoint.name.clone(), tokens)
        };
        let holders = entry.holders.iter().map(estimate);
        holders.filter(|(_, tokens)| *tokens > 0).collect()
    }

    /// Returns the maximum number of tokens that any engine has computed for a program, or 0 if the
    /// program is unknown.
    pub fn computed_tokens(&self, program: ProgramId) -> u32 {
        let entry = self.programs.get(&program);
        entry.map_or(0, |entry| entry.computed_tokens)
    }

    /// Removes a program and returns the engines that may cache it.
    pub fn remove_program(&mut self, program: ProgramId) -> SmallVec<[EndpointId; 4]> {
        let Some(entry) = self.programs.remove(&program) else {
            return SmallVec::new();
        };
        let name = |holder: &Holder| self.endpoints[holder.endpoint as usize].name.clone();
        entry.holders.iter().map(name).collect()
    }

    /// Removes the estimates of an engine, for example after its restart.
    pub fn clear_endpoint(&mut self, endpoint: &str) {
        let Some(index) = self.by_name.get(endpoint).copied() else {
            return;
        };
        for entry in self.programs.values_mut() {
            entry.holders.retain(|holder| holder.endpoint != index);
        }
        self.endpoints[index as usize].sequence = 0;
    }

    /// Returns the number of programs in the table.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Applies the token count of an event, if the program is known.
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

    /// Returns the index of an engine, adding it if needed.
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

    /// Evicts the least recently used eighth of the programs if a new program does not fit.
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

    /// Returns the milliseconds since the table was created.
    fn elapsed_ms(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.created_at);
        u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX)
    }
}

impl CacheEndpoint {
    /// Updates trust and lifetime from an answer to a program that was expected to have `expected`
    /// tokens cached.
    fn update_estimates(&mut self, expected: u32, cached: u32, idle_ms: u32) {
        if expected == 0 {
            return;
        }
        let confirmed = (f64::from(cached) / f64::from(expected)).min(1.0);
        let idle_ms = f64::from(idle_ms);
        let is_hit = confirmed >= MIN_HIT_SHARE;
        if is_hit || idle_ms < self.lifetime_ms {
            self.trust += (confirmed - self.trust) * LEARNING_RATE;
        }
        if is_hit && idle_ms > self.lifetime_ms {
            self.lifetime_ms = idle_ms;
        } else if !is_hit && idle_ms < self.lifetime_ms {
            self.lifetime_ms += (idle_ms - self.lifetime_ms) * LEARNING_RATE;
        }
        self.lifetime_ms = self.lifetime_ms.max(MIN_LIFETIME_MS);
    }

    /// Estimates how many of the tokens are still cached after `idle_ms`.
    fn estimate_tokens(&self, tokens: u32, idle_ms: u32) -> u32 {
        let age = f64::from(idle_ms) / self.lifetime_ms;
        let survival = if age <= 1.0 { 1.0 } else { 1.0 / (age * age) };
        (f64::from(tokens) * self.trust * survival) as u32
    }
}

/// Puts a holder first and removes the previous one of the same engine.
fn set_holder(entry: &mut Program, holder: Holder) {
    entry.holders.retain(|h| h.endpoint != holder.endpoint);
    entry.holders.insert(0, holder);
    entry.holders.truncate(MAX_HOLDERS);
}
