//! Settings, faults and counts of the engine stand-in.

use crate::ids::{Epoch, ModelId};
use crate::protocol::engine::EngineOrder;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How an engine stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Multiplies every duration below; less than 1 makes the engine faster than life.
    pub time_scale: f64,
    /// Streams that run at a time; others wait, first come first served.
    pub max_running: usize,
    /// Prompt tokens computed a second, over all streams.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens computed in one step, over all streams.
    pub prefill_chunk_tokens: u32,
    /// Time between two tokens of a stream that runs alone.
    pub decode_base: Duration,
    /// Added to it for each stream that runs.
    pub decode_per_stream: Duration,
    /// Tokens that go out together; the first one goes out alone.
    pub chunk_tokens: u32,
    /// Memory for prompts and answers.
    pub cache_tokens: u64,
    /// Tokens of cache exported or imported a second.
    pub transfer_tokens_per_s: f64,
    /// How long an answer is kept after its end.
    pub finished_retention: Duration,
    /// How old a load report is.
    pub load_lag: Duration,
    /// How late a cache event is.
    pub event_lag: Duration,
    /// The share of cache events that are lost.
    pub event_loss: f64,
    /// Models loaded at the start, with their versions; with none, any model is served.
    pub models: Vec<(ModelId, u32)>,
    /// How long it takes to load a model.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Seeds the random faults.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            time_scale: 1.0,
            max_running: 96,
            prefill_tokens_per_s: 16_000.0,
            prefill_chunk_tokens: 128,
            decode_base: Duration::from_millis(10),
            decode_per_stream: Duration::from_micros(250),
            chunk_tokens: 1,
            cache_tokens: 400_000,
            transfer_tokens_per_s: 200_000.0,
            finished_retention: Duration::from_secs(60),
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_loss: 0.02,
            models: Vec::new(),
            load_time: Duration::from_secs(2),
            checks_fence: true,
            seed: 0,
        }
    }
}

/// A change in how an engine behaves; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// Stops all work while `true`; connections stay open.
    pub paused: Option<bool>,
    /// The share of its full speed at which it works.
    pub speed: Option<f64>,
    /// With `true`, the streams open now go silent for good; new connections work.
    pub silence: Option<bool>,
    /// Refuses new generations with status 503 while `true`.
    pub refuse: Option<bool>,
    /// With `true`, stops listening and closes every connection; with `false`, listens again.
    pub down: Option<bool>,
    /// The share of cache events that are lost.
    pub event_loss: Option<f64>,
    /// How old a load report is, in milliseconds.
    pub load_lag_ms: Option<u64>,
}

/// What an engine stand-in has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Generations asked for.
    pub started: u64,
    /// Generations that came to their end.
    pub finished: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Tokens of the prompts of generations that were begun.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed although an engine of the same ledger had computed them before.
    pub recomputed_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Token-seconds of cache between its last use and its end.
    pub unused_token_s: f64,
    /// Streams that run.
    pub running: u32,
    /// Streams that wait.
    pub waiting: u32,
    /// Tokens of cache held.
    pub held_tokens: u64,
    /// Orders that were acted on, in that order.
    pub orders: Vec<ExecutedOrder>,
}

/// An order that an engine acted on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedOrder {
    /// Its fencing number.
    pub fence: Epoch,
    /// The order.
    pub order: EngineOrder,
}
