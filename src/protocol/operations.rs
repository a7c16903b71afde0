//! Records of the operations stream: what callers got, minute by minute, and what happened.

use crate::ids::{ClientAccountId, EnvironmentId, Epoch, Incarnation, NodeId, Offset, Partition};
use crate::protocol::refusal::RefusalCode;
use serde::{Deserialize, Serialize};

/// The stream that holds measurements and events.
pub const OPERATIONS_STREAM: &str = "operations";

/// One append to the operations stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationsRecord {
    /// What one entry has measured and seen since its last record.
    #[serde(rename = "News")]
    Update(OperationsUpdate),
    /// Everything carried over, so that what is before it may be trimmed.
    ///
    /// Accepted only if no news stands between `image.through` and this record.
    #[serde(rename = "Carried")]
    Checkpoint {
        /// See [`News::root`].
        root: Offset,
        /// Everything.
        image: OperationsImage,
    },
}

impl OperationsRecord {
    /// Returns the root that the record names.
    pub fn root(&self) -> Offset {
        match self {
            Self::Update(news) => news.root,
            Self::Checkpoint { root, .. } => *root,
        }
    }
}

/// What one entry has measured and seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationsUpdate {
    /// The entry.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Position among the records of this run, from 1; a repeat has the same.
    pub sequence: u64,
    /// Offset of an accepted [`OperationsRecord::Checkpoint`], or 0 for the start of the stream.
    pub root: Offset,
    /// Measurements to add.
    pub minutes: Vec<SlotCell>,
    /// What happened.
    pub events: Vec<OperationEvent>,
}

/// Everything that the stream has said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationsImage {
    /// Offset of the last news.
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

/// How far a writer's records have been taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// The entry.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its last sequence.
    pub sequence: u64,
    /// Its newest minute, by which old writers are forgotten.
    pub minute: u64,
}

/// Measurements of one client account in one span of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCell {
    /// The minute or hour since the Unix epoch.
    pub slot: u64,
    /// The environment.
    pub environment: EnvironmentId,
    /// The client account.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The measurements.
    pub cell: Cell,
}

/// Counts and histograms; cells of the same client account can be added up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Programs that ended.
    pub programs: u64,
    /// Of these, programs that failed.
    pub failed: u64,
    /// Programs that succeeded later than the objective allows.
    pub late: u64,
    /// Model calls whose first token came.
    pub first_tokens: u64,
    /// Of these, later than the objective allows.
    pub late_first_tokens: u64,
    /// Latency of programs that succeeded, in milliseconds.
    pub program_latency: SparseHistogram,
    /// Time to first token, in milliseconds.
    pub first_token: SparseHistogram,
}

/// A histogram as its buckets in use: value and count, by value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SparseHistogram(pub Vec<(u64, u64)>);

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationEvent {
    /// When, in Unix milliseconds by the clock of the node that saw it.
    pub at_ms: u64,
    /// Who saw it.
    pub node: NodeId,
    /// What.
    pub kind: EventKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// A process started.
    Started {
        /// The node.
        subject: NodeId,
    },
    /// A process was told to stop.
    Stopping {
        /// The node.
        subject: NodeId,
    },
    /// A node was heard of no more.
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
        /// The owner before, if there was one.
        from: Option<NodeId>,
        /// The new owner.
        to: NodeId,
    },
    /// The log stopped answering.
    LogDown,
    /// The log answers again.
    LogUp {
        /// How long it did not, in milliseconds.
        down_ms: u64,
    },
    /// Calls were refused.
    Refusals {
        /// The environment.
        environment: EnvironmentId,
        /// Why.
        code: RefusalCode,
        /// How many within the minute.
        count: u64,
    },
    /// It is not known whether a non-repeatable call ran.
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
    /// A person resolved an unknown action.
    ActionResolved {
        /// The call, in hexadecimal.
        call: String,
        /// Who.
        operator: String,
    },
    /// An environment changed.
    Configured {
        /// The environment.
        environment: EnvironmentId,
        /// Its new version.
        version: Offset,
        /// Who changed it.
        operator: String,
    },
}
