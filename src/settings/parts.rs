//! The sections of the settings as plain structs.

use crate::ids::{FailureDomain, ModelId, NodeId, Partition};
use crate::protocol::vms::NodeRole;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Who a process is.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    /// Its name, unique in the deployment.
    pub(crate) name: NodeId,
    /// Its role.
    pub(crate) role: NodeRole,
    /// Its failure domain.
    pub(crate) failure_domain: FailureDomain,
    /// Its region.
    pub(crate) region: String,
}

/// Where a process listens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenSettings {
    /// HTTP for callers, operators, health and metrics.
    pub(crate) http: SocketAddr,
    /// Links of other processes.
    pub(crate) link: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlatformSettings {
    /// The log service.
    pub(crate) log_url: Option<String>,
    /// The list of VMs.
    pub(crate) vms_url: Option<String>,
    /// The weight store.
    pub(crate) weights_url: Option<String>,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The endpoint beside a sidecar.
#[derive(Clone, Debug)]
pub(crate) struct EndpointSettings {
    /// What it is.
    pub(crate) kind: EndpointKind,
    /// Where it is.
    pub(crate) url: String,
    /// The service's name in the environment documents; empty for an engine.
    pub(crate) service: String,
    /// Models that the engine has from its start.
    pub(crate) models: Vec<ModelId>,
    /// Whether it refuses orders with an old fencing number.
    pub(crate) checks_fencing: bool,
}

/// An operator and the hash of the operator's token.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct OperatorKey {
    /// Who.
    pub(crate) name: String,
    /// BLAKE3 hash of the token.
    pub(crate) token_hash: [u8; 32],
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OperatorKey({}, ..)", self.name)
    }
}

/// Bounds of what a process takes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSettings {
    /// Largest request body.
    pub(crate) max_body_bytes: usize,
    /// Calls under way at once.
    pub(crate) open_calls: usize,
    /// Calls waiting in a sidecar.
    pub(crate) queued_calls: usize,
    /// Time for a shutdown before what still runs is cut.
    pub(crate) shutdown_limit_s: u64,
    /// Turns held in memory while the log is down.
    pub(crate) backlog_bytes: usize,
    /// Bodies of turns cached in memory.
    pub(crate) history_cache_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            open_calls: 4_096,
            queued_calls: 1_024,
            shutdown_limit_s: 60,
            backlog_bytes: 64 << 20,
            history_cache_bytes: 64 << 20,
        }
    }
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged.
#[derive(Clone, Debug)]
pub(crate) struct LogSettings {
    /// Level of every part that has none of its own.
    pub(crate) level: log::LevelFilter,
    /// Levels by part.
    pub(crate) part_levels: BTreeMap<String, log::LevelFilter>,
    /// How lines are written.
    pub(crate) format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            part_levels: BTreeMap::new(),
            format: LogFormat::default(),
        }
    }
}

/// Partitions and their streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartitionSettings {
    /// Number of partitions; the same in the whole deployment, for good.
    pub(crate) count: Partition,
    /// Shortest time between two appends of one owner to one stream.
    pub(crate) append_interval_ms: u64,
    /// Appends a second that all partitions of the deployment make at most; the same everywhere.
    pub(crate) appends_per_s: u32,
    /// How long the log keeps a record.
    pub(crate) retention_s: u64,
    /// How long a program without calls is kept before it lapses.
    pub(crate) idle_program_s: u64,
    /// How long an ended program's history can be read.
    pub(crate) ended_program_s: u64,
}

impl Default for PartitionSettings {
    fn default() -> Self {
        Self {
            count: 16,
            append_interval_ms: 20,
            appends_per_s: 300,
            retention_s: 7 * 24 * 3600,
            idle_program_s: 3600,
            ended_program_s: 24 * 3600,
        }
    }
}

/// Probes, pings and time limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimingSettings {
    /// Time between two probes.
    pub(crate) probe_interval_ms: u64,
    /// Silence after which a node is suspect.
    pub(crate) suspect_after_ms: u64,
    /// Silence after which a suspect node's partitions may be claimed.
    pub(crate) failed_after_ms: u64,
    /// Time between two pings on an idle link.
    pub(crate) link_ping_ms: u64,
    /// Silence after which a link is dialled again.
    pub(crate) link_silence_ms: u64,
    /// Longest wait before a link is dialled again.
    pub(crate) redial_ms: u64,
    /// Time between two reads of the list of VMs.
    pub(crate) vms_interval_ms: u64,
    /// Time for one request to the log.
    pub(crate) log_timeout_ms: u64,
    /// Time for an engine's first token.
    pub(crate) first_token_ms: u64,
    /// Time between two tokens of an engine.
    pub(crate) token_gap_ms: u64,
    /// Time for a service's answer.
    pub(crate) service_timeout_ms: u64,
    /// Time without a confirmation after which a sidecar releases a program's cache.
    pub(crate) confirm_lapse_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            suspect_after_ms: 1_500,
            failed_after_ms: 2_500,
            link_ping_ms: 1_000,
            link_silence_ms: 3_000,
            redial_ms: 2_000,
            vms_interval_ms: 1_000,
            log_timeout_ms: 2_000,
            first_token_ms: 30_000,
            token_gap_ms: 5_000,
            service_timeout_ms: 30_000,
            confirm_lapse_ms: 60_000,
        }
    }
}
