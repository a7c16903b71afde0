//! One struct for each section of the settings.

use crate::ids::{FailureDomain, ModelId, NodeId, Partition};
use crate::protocol::vms::NodeRole;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Section `node`: identity of the process.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    /// Name of the node, unique in the deployment.
    pub(crate) name: NodeId,
    /// Role of the node.
    pub(crate) role: NodeRole,
    /// Failure domain of the node.
    pub(crate) failure_domain: FailureDomain,
    /// Region of the node; empty if not set.
    pub(crate) region: String,
}

/// Section `listen`: listen addresses. The default is a free port on loopback.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenSettings {
    /// HTTP for callers, operators, health checks and metrics.
    pub(crate) http: SocketAddr,
    /// Links from other processes.
    pub(crate) link: SocketAddr,
}

/// Section `platform`: URLs of the platform services.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlatformSettings {
    /// URL of the log service.
    pub(crate) log_url: Option<String>,
    /// URL of the service that lists the VMs.
    pub(crate) vms_url: Option<String>,
    /// URL of the weight store.
    pub(crate) weights_url: Option<String>,
}

/// The kind of an endpoint in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum EndpointKind {
    /// A model engine.
    Engine,
    /// A service.
    Service,
}

/// Section `endpoint`: the endpoint that a sidecar serves.
#[derive(Clone, Debug)]
pub(crate) struct EndpointSettings {
    /// Kind of the endpoint.
    pub(crate) kind: EndpointKind,
    /// Base URL of the endpoint.
    pub(crate) url: String,
    /// Name of the service in the environment documents; empty for an engine.
    pub(crate) service: String,
    /// Models that the engine has loaded when it starts.
    pub(crate) models: Vec<ModelId>,
    /// Whether the engine itself refuses orders, such as to load a model, with an outdated fencing
    /// number.
    pub(crate) checks_fencing: bool,
}

/// An operator and the hash of their bearer token.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct OperatorKey {
    /// Name of the operator.
    pub(crate) name: String,
    /// BLAKE3 hash of the token.
    pub(crate) token_hash: [u8; 32],
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OperatorKey({}, ..)", self.name)
    }
}

/// Section `limits`: resource limits of the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitSettings {
    /// Largest HTTP request body.
    pub(crate) max_body_bytes: usize,
    /// Largest number of calls in flight.
    pub(crate) open_calls: usize,
    /// Largest number of calls in a sidecar's queue.
    pub(crate) queued_calls: usize,
    /// Time limit for a graceful shutdown; running requests are then aborted.
    pub(crate) shutdown_limit_s: u64,
    /// Largest total size of the log entries that wait in memory while the log is down.
    pub(crate) backlog_bytes: usize,
    /// Size of the in-memory cache for the bodies of turns.
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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object for each line.
    Json,
}

/// Section `log`: log levels and format.
#[derive(Clone, Debug)]
pub(crate) struct LogSettings {
    /// Level of each log target without a level of its own.
    pub(crate) level: log::LevelFilter,
    /// Levels by log target.
    pub(crate) target_levels: BTreeMap<String, log::LevelFilter>,
    /// Format of log lines.
    pub(crate) format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            target_levels: BTreeMap::new(),
            format: LogFormat::default(),
        }
    }
}

/// Section `partition`: partitions and their log streams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartitionSettings {
    /// Number of partitions. It must be the same on all nodes and never change.
    pub(crate) count: Partition,
    /// Shortest interval between two appends of one owner to one stream.
    pub(crate) append_interval_ms: u64,
    /// Largest rate of appends of all partitions of the deployment together. It must be the same on
    /// all nodes.
    pub(crate) appends_per_s: u32,
    /// Time for which the log keeps a record.
    pub(crate) retention_s: u64,
    /// Time after which a program without calls expires.
    pub(crate) idle_program_s: u64,
    /// Time for which the history of an ended program remains readable.
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

/// Section `timing`: intervals and timeouts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimingSettings {
    /// Interval between two rounds of probes.
    pub(crate) probe_interval_ms: u64,
    /// Time without a message after which a node is suspect.
    pub(crate) suspect_after_ms: u64,
    /// Time without a message after which a node has failed and its partitions may be claimed.
    pub(crate) failed_after_ms: u64,
    /// Heartbeat interval of a link with an open stream.
    pub(crate) link_ping_ms: u64,
    /// Time without a message after which a link with an open stream is closed and dialled again.
    pub(crate) link_silence_ms: u64,
    /// Longest back-off before a link is dialled again.
    pub(crate) redial_ms: u64,
    /// Interval between two reads of the list of VMs.
    pub(crate) vms_interval_ms: u64,
    /// Timeout of a request to the log.
    pub(crate) log_timeout_ms: u64,
    /// Timeout for the first token of an engine.
    pub(crate) first_token_ms: u64,
    /// Timeout between two tokens of an engine.
    pub(crate) token_gap_ms: u64,
    /// Timeout of a service call.
    pub(crate) service_timeout_ms: u64,
    /// Time after which a sidecar releases a program's cache unless its owner has confirmed it.
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
