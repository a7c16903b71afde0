//! Compact serialisation of the data in every probe: sequences instead of maps, and 32-bit floats.

use super::{Digest, Heard, Serving, SidecarLoad};
use crate::ids::{Epoch, Incarnation, ModelId, NodeId, Offset, Partition};
use crate::protocol::engine::EngineLoad;

/// An engine report as a sequence: running, waiting, used cache, total cache, models.
type CompactEngine = (u32, u32, u64, u64, Vec<(ModelId, u32)>);

/// [`SidecarLoad`] as a sequence in field order.
pub(super) type CompactLoad = (
    u32,
    u64,
    u32,
    u32,
    f32,
    f32,
    f32,
    u64,
    u64,
    bool,
    CompactEngine,
);

/// [`Digest`] as a sequence in field order.
pub(super) type CompactDigest = (
    NodeId,
    Incarnation,
    bool,
    Offset,
    Vec<(Partition, Epoch)>,
    Vec<Heard>,
    Option<SidecarLoad>,
    Option<Serving>,
);

/// [`Heard`] as a sequence in field order.
pub(super) type CompactHeard = (NodeId, Incarnation, u64, bool);

impl From<SidecarLoad> for CompactLoad {
    fn from(load: SidecarLoad) -> Self {
        let engine = load.engine;
        (
            load.queued,
            load.queued_tokens,
            load.running,
            load.cap,
            load.prefill_tokens_per_s as f32,
            load.token_gap_ms as f32,
            load.call_ms as f32,
            load.wait_ms,
            load.prefill_backlog_tokens,
            load.leaving,
            (
                engine.running,
                engine.waiting,
                engine.cache_used_tokens,
                engine.cache_total_tokens,
                engine.models,
            ),
        )
    }
}

impl From<CompactLoad> for SidecarLoad {
    fn from(load: CompactLoad) -> Self {
        let (running, waiting, cache_used_tokens, cache_total_tokens, models) = load.10;
        Self {
            queued: load.0,
            queued_tokens: load.1,
            running: load.2,
            cap: load.3,
            prefill_tokens_per_s: f64::from(load.4),
            token_gap_ms: f64::from(load.5),
            call_ms: f64::from(load.6),
            wait_ms: load.7,
            prefill_backlog_tokens: load.8,
            leaving: load.9,
            engine: EngineLoad {
                running,
                waiting,
                cache_used_tokens,
                cache_total_tokens,
                models,
            },
        }
    }
}

impl From<Digest> for CompactDigest {
    fn from(digest: Digest) -> Self {
        (
            digest.node,
            digest.incarnation,
            digest.leaving,
            digest.configuration,
            digest.owned,
            digest.heard,
            digest.load,
            digest.serving,
        )
    }
}

impl From<CompactDigest> for Digest {
    fn from(digest: CompactDigest) -> Self {
        Self {
            node: digest.0,
            incarnation: digest.1,
            leaving: digest.2,
            configuration: digest.3,
            owned: digest.4,
            heard: digest.5,
            load: digest.6,
            serving: digest.7,
        }
    }
}

impl From<Heard> for CompactHeard {
    fn from(heard: Heard) -> Self {
        (heard.node, heard.incarnation, heard.age_ms, heard.leaving)
    }
}

impl From<CompactHeard> for Heard {
    fn from((node, incarnation, age_ms, leaving): CompactHeard) -> Self {
        Self {
            node,
            incarnation,
            age_ms,
            leaving,
        }
    }
}
