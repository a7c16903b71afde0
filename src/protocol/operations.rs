//! Records of the operations stream: per-minute service measurements, and events.

use crate::ids::{ClientAccountId, EnvironmentId, Epoch, Incarnation, NodeId, Offset, Partition};
use crate::protocol::refusal::RefusalCode;
use serde::{Deserialize, Serialize};

/// Name of the stream that holds measurements and events.
pub const OPERATIONS_STREAM: &str = "operations";

/// One record of the operations stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationsRecord {
    /// Measurements and events of one entry since its last record.
    #[serde(rename = "News")]
    Update(OperationsUpdate),
    /// A checkpoint of the whole state, after which earlier records may be trimmed.
    ///
    /// Accepted only if there is no update between `image.through` and this record.
    #[serde(rename = "Carried")]
    Checkpoint {
        /// See [`OperationsUpdate::root`].
        root: Offset,
        /// The whole state.
        image: OperationsImage,
    },
}

impl OperationsRecord {
    /// Returns the root named by the record.
    pub fn root(&self) -> Offset {
        match self {
            Self::Update(update) => update.root,
            Self::Checkpoint { root, .. } => *root,
        }
    }
}

/// Measurements and events of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationsUpdate {
    /// The entry.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Position among the records of this incarnation, starting at 1. A retry has the same value.
    pub sequence: u64,
    /// Offset of an accepted [`OperationsRecord::Checkpoint`], or 0 for the start of the stream.
    pub root: Offset,
    /// Measurements to add, by minute.
    pub minutes: Vec<SlotCell>,
    /// New events.
    pub events: Vec<OperationEvent>,
}

/// The whole state of the operations stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationsImage {
    /// Offset of the last update.
    pub through: Offset,
    /// The last sequence of each writer.
    pub writers: Vec<Writer>,
    /// Measurements by minute.
    pub minutes: Vec<SlotCell>,
    /// Measurements by hour.
    pub hours: Vec<SlotCell>,
    /// Events, oldest first.
    pub events: Vec<OperationEvent>,
}

/// Position of a writer: its last applied record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// The entry.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence of its last record.
    pub sequence: u64,
    /// Minute of its last record since the Unix epoch, used to expire old writers.
    pub minute: u64,
}

/// Measurements of one client account in one minute or hour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCell {
    /// Number of the minute or hour since the Unix epoch.
    pub slot: u64,
    /// The environment.
    pub environment: EnvironmentId,
    /// The client account.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The measurements.
    pub cell: Cell,
}

/// Counts and histograms. Cells can be merged by addition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Programs that ended.
    pub programs: u64,
    /// Number of these programs that failed.
    pub failed: u64,
    /// Programs that succeeded but exceeded the latency objective.
    pub late: u64,
    /// Model calls that produced a first token.
    pub first_tokens: u64,
    /// Number of these calls that exceeded the first-token objective.
    pub late_first_tokens: u64,
    /// Latency of successful programs, in milliseconds.
    pub program_latency: SparseHistogram,
    /// Time to first token, in milliseconds.
    pub first_token: SparseHistogram,
}

/// A histogram as its non-empty buckets: pairs of value and count, sorted by value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SparseHistogram(pub Vec<(u64, u64)>);

/// An operational event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationEvent {
    /// Time in Unix milliseconds, by the clock of the reporting node.
    pub at_ms: u64,
    /// The reporting node.
    pub node: NodeId,
    /// Kind of the event, with its details.
    pub kind: EventKind,
}

/// Kind of an operational event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    Started {
        /// The node.
        subject: NodeId,
    },
    /// A process received a request to stop.
    Stopping {
        /// The node.
        subject: NodeId,
    },
    /// A node is considered failed after a period without contact.
    NodeFailed {
        /// The node.
        subject: NodeId,
    },
    /// A partition got a new owner.
    Takeover {
        /// The partition.
        partition: Partition,
        /// The new owner's epoch.
        epoch: Epoch,
        /// The previous owner, if there was one.
        from: Option<NodeId>,
        /// The new owner.
        to: NodeId,
    },
    /// The log stopped answering.
    LogDown,
    /// The log resumed answering.
    LogUp {
        /// Duration of the outage, in milliseconds.
        down_ms: u64,
    },
    /// Calls were refused.
    Refusals {
        /// The environment.
        environment: EnvironmentId,
        /// Reason of the refusals.
        code: RefusalCode,
        /// Number of refusals within the minute.
        count: u64,
    },
    /// The outcome of a non-repeatable call is unknown.
    UnknownAction {
        /// The environment.
        environment: EnvironmentId,
        /// The client account.
        #[serde(rename = "member")]
        client_account: ClientAccountId,
        /// The program, in hexadecimal.
        program: String,
        /// The call, in hexadecimal.
        call: String,
    },
    /// An operator resolved an unknown action.
    ActionResolved {
        /// The call, in hexadecimal.
        call: String,
        /// The operator.
        operator: String,
    },
    /// An environment changed.
    Configured {
        /// The environment.
        environment: EnvironmentId,
        /// Its new version.
        version: Offset,
        /// The operator who changed it.
        operator: String,
    },
}
