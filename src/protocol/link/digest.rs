//! What nodes tell each other with probes and answers.

use super::compact;
use crate::ids::{Epoch, Incarnation, ModelId, NodeId, Offset, Partition};
use crate::protocol::engine::EngineLoad;
use serde::{Deserialize, Serialize};

/// What a sidecar knows of its endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "compact::CompactLoad", into = "compact::CompactLoad")]
pub struct SidecarLoad {
    /// Calls in the sidecar's queue.
    pub queued: u32,
    /// Prompt tokens in the sidecar's queue that must be computed, and tokens to generate.
    pub queued_tokens: u64,
    /// Calls handed to the endpoint.
    pub running: u32,
    /// Calls that the sidecar hands over at most.
    pub cap: u32,
    /// Smoothed prefill speed, tokens a second.
    pub prefill_tokens_per_s: f64,
    /// Smoothed time between two tokens of a stream, in milliseconds.
    pub token_gap_ms: f64,
    /// Smoothed time of a call in the endpoint, in milliseconds; 0 when none has finished.
    pub call_ms: f64,
    /// Expected wait of a call that comes now until it is handed over, in milliseconds.
    pub wait_ms: u64,
    /// Prompt tokens still to be computed, of calls waiting and handed over.
    pub prefill_backlog_tokens: u64,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// The engine's own report.
    pub engine: EngineLoad,
}

/// What nodes tell each other with every probe.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "compact::CompactDigest", into = "compact::CompactDigest")]
pub struct Digest {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The configuration version it runs.
    pub configuration: Offset,
    /// Partitions it owns, with their epochs.
    pub owned: Vec<(Partition, Epoch)>,
    /// What it has heard of other nodes: node, run, age of the news in milliseconds, leaving.
    pub heard: Vec<Heard>,
    /// Load, if it is a sidecar.
    pub load: Option<SidecarLoad>,
    /// What its endpoint serves, if it is a sidecar.
    pub serving: Option<Serving>,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Serving {
    /// Models and adapters with their versions.
    Models(Vec<(ModelId, u32)>),
    /// A service, by its name in the environment documents.
    Service(String),
}

/// What a node has heard of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "compact::CompactHeard", into = "compact::CompactHeard")]
pub struct Heard {
    /// The other node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// How old the news is, in milliseconds.
    pub age_ms: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}
