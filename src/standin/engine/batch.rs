//! Continuous batching: admission of streams and the work of one engine step.

use crate::ids::{CallId, ProgramId};
use crate::protocol::engine::{CacheEvent, EngineLoad, EngineUsage, GenerateRequest};
use crate::standin::body::ChannelBody;
use crate::standin::engine::cache::PrefixCache;
use crate::standin::engine::config::{EngineConfig, EngineCounts};
use crate::standin::engine::ledger::TokenLedger;
use crate::standin::engine::reports::{CacheEvents, LoadReports};
use crate::standin::engine::stream::{Phase, Stream};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The streams, the cache and the reports of an engine.
///
/// Invariant: each stream that is not finished is either in `waiting` or in `running`.
pub(crate) struct Batch {
    config: EngineConfig,
    ledger: TokenLedger,
    streams: HashMap<CallId, Stream>,
    waiting: VecDeque<CallId>,
    running: Vec<CallId>,
    /// Finished streams with the times of their ends, oldest first.
    finished: VecDeque<(Instant, CallId)>,
    /// The prefix cache.
    pub(crate) cache: PrefixCache,
    load_reports: LoadReports,
    load_lag: Duration,
    events: CacheEvents,
    /// The loaded models, with their versions.
    models: Vec<(String, u32)>,
    counts: EngineCounts,
    /// Number of tokens after which a stream is cut off.
    cut_after_tokens: Option<u32>,
    rng: fastrand::Rng,
}

impl Batch {
    /// Creates an engine without streams.
    pub(crate) fn new(config: EngineConfig, ledger: TokenLedger, now: Instant) -> Self {
        let mut batch = Self {
            ledger,
            streams: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            finished: VecDeque::new(),
            cache: PrefixCache::new(config.cache_tokens),
            load_reports: LoadReports::default(),
            load_lag: config.load_lag.mul_f64(config.time_scale),
            events: CacheEvents::default(),
            models: config.models.clone(),
            counts: EngineCounts::default(),
            cut_after_tokens: None,
            rng: fastrand::Rng::with_seed(config.seed),
            config,
        };
        batch.record_load(now);
        batch
    }

    /// Queues a generation and returns its response body. If the call is already known, returns a body
    /// that reads the existing generation from its start.
    pub(crate) fn start(&mut self, request: &GenerateRequest, now: Instant) -> ChannelBody {
        let call = request.call;
        if let Some(stream) = self.streams.get_mut(&call) {
            return stream.open_reader(0);
        }
        let mut stream = Stream::new(request);
        let body = stream.open_reader(0);
        self.streams.insert(call, stream);
        self.waiting.push_back(call);
        self.counts.started += 1;
        self.record_load(now);
        body
    }

    /// Returns whether a model is served. An engine configured without models serves any model.
    pub(crate) fn serves_model(&self, model: &str) -> bool {
        self.config.models.is_empty() || self.models.iter().any(|(loaded, _)| loaded == model)
    }

    /// Returns a body that reads a known generation from token `from` on, or `None` if the call is
    /// unknown.
    pub(crate) fn resume(&mut self, call: CallId, from: u32) -> Option<ChannelBody> {
        self.streams
            .get_mut(&call)
            .map(|stream| stream.open_reader(from))
    }

    /// Stops a generation and removes it. Returns `false` if the call is unknown.
    pub(crate) fn cancel(&mut self, call: CallId, now: Instant) -> bool {
        let Some(mut stream) = self.streams.remove(&call) else {
            return false;
        };
        stream.stop();
        self.waiting.retain(|&other| other != call);
        if self.running.contains(&call) {
            self.running.retain(|&other| other != call);
            self.cache
                .release_reservation(stream.program, stream.reserved_tokens, now);
        }
        self.finished.retain(|(_, other)| *other != call);
        if !matches!(stream.phase, Phase::Finished(_)) {
            self.counts.cancelled += 1;
        }
        self.publish_cache_changes(now);
        self.record_load(now);
        true
    }

    /// Forgets all streams and the cache, as an engine that crashes and starts again.
    pub(crate) fn crash(&mut self, now: Instant) {
        self.counts.crashes += 1;
        self.streams.clear();
        self.waiting.clear();
        self.running.clear();
        self.finished.clear();
        self.cache = PrefixCache::new(self.config.cache_tokens);
        self.record_load(now);
    }

    /// Stops sending on the currently open connections, without closing them.
    pub(crate) fn silence(&mut self) {
        for stream in self.streams.values_mut() {
            stream.silence();
        }
    }

    /// Releases the cache of a program and returns the number of tokens that are still held.
    pub(crate) fn release(&mut self, program: ProgramId, now: Instant) -> u64 {
        let held_tokens = self.cache.release(program, now);
        self.publish_cache_changes(now);
        self.record_load(now);
        held_tokens
    }

    /// Imports a program's cache that another engine exported. Returns `false` if it is malformed or
    /// does not fit.
    pub(crate) fn import(&mut self, program: ProgramId, bytes: &[u8], now: Instant) -> bool {
        let is_imported = self.cache.import(program, bytes, now);
        self.publish_cache_changes(now);
        self.record_load(now);
        is_imported
    }

    /// Loads a version of a model and replaces any other version.
    pub(crate) fn load_model(&mut self, model: String, version: u32, now: Instant) {
        self.models.retain(|(loaded, _)| *loaded != model);
        self.models.push((model, version));
        self.record_load(now);
    }

    /// Unloads a model.
    pub(crate) fn unload_model(&mut self, model: &str, now: Instant) {
        self.models.retain(|(loaded, _)| loaded != model);
        self.record_load(now);
    }

    /// Returns the token counts of a known generation and whether its answer is complete.
    pub(crate) fn progress(&self, call: CallId) -> Option<(EngineUsage, bool)> {
        let stream = self.streams.get(&call)?;
        let is_complete = matches!(stream.phase, Phase::Finished(_));
        Some((stream.usage(), is_complete))
    }

    /// Returns the programs that have tokens in the cache, with the number of these tokens.
    pub(crate) fn cached_programs(&self) -> Vec<(ProgramId, u64)> {
        self.cache.cached_programs()
    }

    /// Returns the newest visible load report.
    pub(crate) fn load(&mut self, now: Instant) -> EngineLoad {
        self.load_reports.latest_visible(now, self.load_lag)
    }

    /// Returns the visible cache events with a sequence number greater than `after`.
    pub(crate) fn events(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let lag = self.config.event_lag.mul_f64(self.config.time_scale);
        self.events.visible_after(after, now, lag)
    }

    /// Sets the number of tokens after which a stream is cut off, zero for no such limit.
    pub(crate) fn set_cut_after(&mut self, tokens: u32) {
        self.cut_after_tokens = (tokens > 0).then_some(tokens);
    }

    /// Sets the share of lost events, from 0 to 1.
    pub(crate) fn set_event_loss(&mut self, share: f64) {
        self.config.event_loss = share;
    }

    /// Sets the delay after which load reports become visible.
    pub(crate) fn set_load_lag(&mut self, lag: Duration) {
        self.load_lag = lag;
    }

    /// Returns the counters.
    pub(crate) fn counts(&self) -> EngineCounts {
        EngineCounts {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            held_tokens: self
                .cache
                .cached_programs()
                .iter()
                .map(|(_, tokens)| tokens)
                .sum(),
            ..self.counts.clone()
        }
    }

    /// Admits waiting streams and returns the duration of the next step at full speed, or `None` if no
    /// stream runs.
    pub(crate) fn plan(&mut self, now: Instant) -> Option<Duration> {
        self.admit_waiting(now);
        self.remove_expired(now);
        if self.running.is_empty() {
            return None;
        }
        let mut decoding = 0;
        let mut prefill_tokens = 0;
        let prefill_tokens_each = self.prefill_share();
        for call in &self.running {
            match self.streams.get(call).map(|stream| stream.phase) {
                Some(Phase::Prefill(remaining)) => {
                    prefill_tokens += remaining.min(prefill_tokens_each)
                }
                Some(Phase::Decode) => decoding += 1,
                _ => {}
            }
        }
        Some(self.step_time(decoding, prefill_tokens))
    }

    /// Runs one step: computes a part of each prompt in prefill and one token of each decoding stream.
    pub(crate) fn step(&mut self, now: Instant) {
        let prefill_tokens_each = self.prefill_share();
        let mut finished = Vec::new();
        let mut cut = Vec::new();
        let running = std::mem::take(&mut self.running);
        for &call in &running {
            let Some(stream) = self.streams.get_mut(&call) else {
                continue;
            };
            match stream.phase {
                Phase::Prefill(remaining) if remaining > prefill_tokens_each => {
                    stream.phase = Phase::Prefill(remaining - prefill_tokens_each)
                }
                Phase::Prefill(_) => {
                    stream.phase = Phase::Decode;
                    self.cache.insert(stream.program, &stream.prefixes, now);
                    let answer_tokens = u64::from(stream.answer_tokens);
                    self.cache
                        .shrink_reservation(&mut stream.reserved_tokens, answer_tokens);
                }
                Phase::Decode => {
                    self.counts.completion_tokens += 1;
                    if stream.advance(self.config.chunk_tokens) {
                        finished.push(call);
                    } else if Some(stream.generated_tokens) == self.cut_after_tokens {
                        cut.push(call);
                    }
                }
                Phase::Waiting | Phase::Finished(_) => {}
            }
        }
        self.running = running;
        for call in finished {
            self.finish(call, now);
        }
        for call in cut {
            self.cut(call, now);
        }
        self.publish_cache_changes(now);
        self.record_load(now);
    }

    /// Returns the duration of a step.
    fn step_time(&self, decoding: u32, prefill_tokens: u32) -> Duration {
        let prefill_s = f64::from(prefill_tokens) / self.config.prefill_tokens_per_s;
        let mut time = Duration::from_secs_f64(prefill_s);
        if decoding > 0 {
            time += self.config.decode_base + self.config.decode_per_stream * decoding;
        }
        time.mul_f64(self.config.time_scale)
    }

    /// Returns the number of prompt tokens per step for each stream in prefill.
    fn prefill_share(&self) -> u32 {
        let streams = self
            .running
            .iter()
            .filter_map(|call| self.streams.get(call));
        let count = streams
            .filter(|stream| matches!(stream.phase, Phase::Prefill(_)))
            .count();
        (self.config.prefill_chunk_tokens / (count.max(1) as u32)).max(1)
    }

    /// Admits waiting streams in order, until the concurrency or memory limit is reached.
    fn admit_waiting(&mut self, now: Instant) {
        while self.running.len() < self.config.max_running {
            let Some(&call) = self.waiting.front() else {
                return;
            };
            if !self.admit(call, now) {
                return;
            }
            self.waiting.pop_front();
        }
    }

    /// Admits a stream. Returns `false` if it must wait for memory.
    fn admit(&mut self, call: CallId, now: Instant) -> bool {
        let Some(stream) = self.streams.get_mut(&call) else {
            return true;
        };
        let program = stream.program;
        let cached = self.cache.cached_prefix_tokens(program, &stream.prefixes);
        let needed = u64::from(stream.prompt_tokens + stream.answer_tokens) - cached;
        if !self.cache.reserve(program, needed, now) {
            if !self.running.is_empty() {
                return false;
            }
            // The stream needs more than the whole memory. A real engine would refuse it, this one
            // runs it.
            self.cache.force_reserve(program, needed, now);
        }
        stream.reserved_tokens = needed;
        stream.cached_tokens = cached as u32;
        // An engine computes the last token of a prompt even if the whole prompt is cached.
        let remaining = (stream.prompt_tokens - stream.cached_tokens).max(1);
        stream.phase = Phase::Prefill(remaining);
        let recomputed = self.ledger.record_prompt(program, &stream.prefixes, cached);
        self.counts.prompt_tokens += u64::from(stream.prompt_tokens);
        self.counts.cached_tokens += cached;
        self.counts.recomputed_tokens += recomputed;
        self.running.push(call);
        true
    }

    /// Finishes a stream whose answer is complete.
    fn finish(&mut self, call: CallId, now: Instant) {
        self.running.retain(|&other| other != call);
        let Some(stream) = self.streams.get_mut(&call) else {
            return;
        };
        stream.finish(now);
        let prefix = stream.answer_prefix();
        self.ledger
            .record_answer(stream.program, prefix.hash, stream.answer_tokens);
        self.cache.insert(stream.program, &[prefix], now);
        self.cache
            .release_reservation(stream.program, stream.reserved_tokens, now);
        self.finished.push_back((now, call));
        self.counts.finished += 1;
    }

    /// Ends the connections of a stream before its last event and forgets the call.
    fn cut(&mut self, call: CallId, now: Instant) {
        self.running.retain(|&other| other != call);
        if let Some(stream) = self.streams.remove(&call) {
            self.cache
                .release_reservation(stream.program, stream.reserved_tokens, now);
        }
    }

    /// Removes finished streams after their retention period.
    fn remove_expired(&mut self, now: Instant) {
        let retention = self.config.finished_retention;
        while let Some(&(at, call)) = self.finished.front() {
            if now.saturating_duration_since(at) < retention {
                return;
            }
            self.finished.pop_front();
            self.streams.remove(&call);
        }
    }

    /// Converts the changes of the cache into events and counts.
    fn publish_cache_changes(&mut self, now: Instant) {
        for change in self.cache.take_changes() {
            let lost = self.rng.f64() < self.config.event_loss;
            self.events
                .record(now, change.program, change.held_tokens, lost);
            if change.unused_token_s > 0.0 {
                self.counts.unused_token_s += change.unused_token_s;
                self.ledger.record_unused(change.unused_token_s);
            }
        }
    }

    /// Records a load report.
    fn record_load(&mut self, now: Instant) {
        let load = EngineLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            cache_used_tokens: self.cache.used_tokens(),
            cache_total_tokens: self.config.cache_tokens,
            models: self.models.clone(),
        };
        self.load_reports.record(now, load);
        self.load_reports.drop_superseded(now, self.load_lag);
    }
}
