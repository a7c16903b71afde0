//! State that nodes exchange in probes and replies.

use super::compact;
use crate::ids::{Epoch, Incarnation, ModelId, NodeId, Offset, Partition};
use crate::protocol::engine::EngineLoad;
use serde::{Deserialize, Serialize};

/// Load of an endpoint as measured by its sidecar.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "compact::CompactLoad", into = "compact::CompactLoad")]
pub struct SidecarLoad {
    /// Calls in the sidecar's queue.
    pub queued: u32,
    /// Queued work in tokens: uncached prompt tokens plus tokens to generate.
    pub queued_tokens: u64,
    /// Calls in flight at the endpoint.
    pub running: u32,
    /// Maximum number of calls in flight at the endpoint.
    pub cap: u32,
    /// Smoothed prefill speed, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Smoothed interval between tokens of a stream, in milliseconds.
    pub token_gap_ms: f64,
    /// Smoothed duration of a call at the endpoint, in milliseconds; 0 before the first call ends.
    pub call_ms: f64,
    /// Expected queueing time of a call that arrives now, in milliseconds.
    pub wait_ms: u64,
    /// Prompt tokens still to be computed for queued and in-flight calls.
    pub prefill_backlog_tokens: u64,
    /// Whether the endpoint accepts no new work.
    pub leaving: bool,
    /// The engine's own report.
    pub engine: EngineLoad,
}

/// State that a node sends with every probe.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "compact::CompactDigest", into = "compact::CompactDigest")]
pub struct Digest {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Version of the configuration in force on the node.
    pub configuration: Offset,
    /// Partitions that it owns, with their epochs.
    pub owned: Vec<(Partition, Epoch)>,
    /// Its latest information about other nodes.
    pub heard: Vec<Heard>,
    /// Load of its endpoint; `None` unless it is a sidecar.
    pub load: Option<SidecarLoad>,
    /// Models or service of its endpoint; `None` unless it is a sidecar.
    pub serving: Option<Serving>,
}

/// The models or the service that an endpoint provides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Serving {
    /// Models and adapters with their versions.
    Models(Vec<(ModelId, u32)>),
    /// A service, by its name in the environment documents.
    Service(String),
}

/// A node's latest information about another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "compact::CompactHeard", into = "compact::CompactHeard")]
pub struct Heard {
    /// The other node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Age of the information, in milliseconds.
    pub age_ms: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}
