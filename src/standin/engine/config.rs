//! Settings, controls and counters of the engine stand-in.

use crate::ids::{Epoch, ModelId};
use crate::protocol::engine::EngineOrder;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Factor on the step, transfer, load and lag durations. A value below 1 makes the engine faster
    /// than real time.
    pub time_scale: f64,
    /// Maximum number of streams that run concurrently. Others wait in order of arrival.
    pub max_running: usize,
    /// Prefill rate in tokens per second, over all streams.
    pub prefill_tokens_per_s: f64,
    /// Maximum number of prompt tokens computed in one step, over all streams.
    pub prefill_chunk_tokens: u32,
    /// Duration of a decode step, without the part that depends on the number of streams.
    pub decode_base: Duration,
    /// Added to a decode step for each decoding stream.
    pub decode_per_stream: Duration,
    /// Number of tokens per chunk. The first token is sent in a chunk of its own.
    pub chunk_tokens: u32,
    /// Capacity of the cache for prompts and answers, in tokens.
    pub cache_tokens: u64,
    /// Rate of cache exports and imports, in tokens per second.
    pub transfer_tokens_per_s: f64,
    /// How long a finished answer can still be read.
    pub finished_retention: Duration,
    /// Delay after which a load report becomes visible.
    pub load_lag: Duration,
    /// Delay after which a cache event becomes visible.
    pub event_lag: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Models that are loaded at the start, with their versions. If empty, any model is served.
    pub models: Vec<(ModelId, u32)>,
    /// Duration of loading a model.
    pub load_time: Duration,
    /// Whether to refuse an order whose fencing number is below the highest one seen.
    pub checks_fence: bool,
    /// Seed of the random faults.
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

/// A change of an engine's behaviour. Omitted fields keep their values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineControl {
    /// Whether all work is suspended. Connections stay open.
    pub paused: Option<bool>,
    /// Speed relative to full speed, which is 1.
    pub speed: Option<f64>,
    /// With `true`, the currently open streams send nothing more and stay open. New connections work.
    pub silence: Option<bool>,
    /// Whether new generations are refused with status 503.
    pub refuse: Option<bool>,
    /// With `true`, stops listening and closes every connection. With `false`, resumes listening.
    pub down: Option<bool>,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: Option<f64>,
    /// Delay after which a load report becomes visible, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// Number of tokens after which the engine ends the connection of a stream and forgets the call.
    /// Zero for no such limit.
    pub cut_after: Option<u32>,
    /// Text that crashes the engine when it begins to run a prompt with it. It then closes every
    /// connection and forgets its streams and its cache. Empty for no such text.
    pub crash_on: Option<String>,
}

/// Counters of an engine stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Number of generations that were requested.
    pub started: u64,
    /// Number of generations that completed.
    pub finished: u64,
    /// Number of generations that were cancelled before they completed.
    pub cancelled: u64,
    /// Number of crashes under a generation.
    #[serde(default)]
    pub crashes: u64,
    /// Number of prompt tokens of the generations that started to run.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were found in the cache.
    pub cached_tokens: u64,
    /// Number of prompt tokens computed although an engine with the same ledger had computed them.
    pub recomputed_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u64,
    /// Token-seconds that cached tokens were held between their last use and their eviction.
    pub unused_token_s: f64,
    /// Number of running streams.
    pub running: u32,
    /// Number of waiting streams.
    pub waiting: u32,
    /// Number of cached tokens, over all programs.
    pub held_tokens: u64,
    /// The executed orders, in order of execution.
    pub orders: Vec<ExecutedOrder>,
}

/// An order that an engine executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedOrder {
    /// The fencing number of the order.
    pub fence: Epoch,
    /// The order.
    pub order: EngineOrder,
}
