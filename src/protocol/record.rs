//! Records of a partition's log stream.
//!
//! Each append to a stream holds one [`Record`]. The fold in `state::partition` defines the effect
//! of a record. Records that the fold rejects have no effect.

use crate::ids::{
    BranchId, CallId, ClientAccountId, EndpointId, EnvironmentId, Epoch, Incarnation, NodeId,
    Offset, ProgramId, TurnHash,
};
use crate::protocol::image::Program;
use crate::protocol::message::{Message, Usage};
use crate::protocol::service::{ServiceReply, ServiceRequest};
use serde::{Deserialize, Serialize};

/// Value of [`Claim::expects`] that takes over a stream after its start and snapshots were trimmed.
///
/// The fold accepts such a claim under any current epoch and restarts with no programs.
pub const RESET_EPOCH: Epoch = Epoch::MAX;

/// One record of a partition's stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A node's attempt to become the partition's owner.
    Claim(Claim),
    /// Entries written by the owner.
    Batch(Batch),
}

/// Makes its writer the owner if `expects` equals the current epoch when the fold reaches it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The node that claims the partition.
    pub owner: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The current epoch as read by the writer, or [`RESET_EPOCH`].
    pub expects: Epoch,
    /// Offset at which a reader may start. See [`Batch::root`].
    pub root: Offset,
}

/// Entries of the owner. The whole batch is either accepted or rejected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The writer's epoch. The batch is rejected unless this is the current epoch.
    pub epoch: Epoch,
    /// Position within the epoch, starting at 1. The batch is rejected if it is out of sequence.
    pub sequence: u64,
    /// Offset of the batch that begins the newest complete snapshot, or 0 for the start of the
    /// stream. A reader that starts there reaches the same state as one that reads the whole
    /// stream.
    pub root: Offset,
    /// The entries, in order of application.
    pub entries: Vec<Entry>,
}

/// One change to the state of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A program began.
    Created(Created),
    /// The next turn of a branch.
    Turn(Turn),
    /// A non-repeatable call is about to be dispatched.
    Intent(Intent),
    /// The result of an intent.
    Outcome(Outcome),
    /// A program ended.
    Ended(Ended),
    /// Part of a snapshot.
    Snapshot(Snapshot),
    /// A program's reservation was replaced.
    Reserved(Reserved),
    /// A turn that cannot join its branch, because another turn with its number, or with that of a
    /// turn before it, was committed first. It is stored outside the branch.
    Superseded(Turn),
    /// The owner has no work in flight and gives up the partition. This is always the last entry of
    /// its epoch. The next claim charges no reservations.
    Released,
}

/// A program began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Created {
    /// The program.
    pub program: ProgramId,
    /// The client account that owns it.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The environment in which it runs.
    pub environment: EnvironmentId,
    /// The caller's idempotency key: the same key returns the same program.
    pub key: Option<String>,
    /// Total budget of the program.
    pub budget: Usage,
    /// Deadline after which the result is of no use, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Budget reserved for its calls until the first turn is committed.
    pub reserved: Usage,
}

/// A program's reservation was replaced, for example after a takeover charged the previous one or
/// after a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reserved {
    /// The program.
    pub program: ProgramId,
    /// Budget reserved for the program's next calls.
    pub reserved: Usage,
    /// Usage of runs whose calls have no turn, charged with this record.
    #[serde(default, skip_serializing_if = "Usage::is_zero")]
    pub spent: Usage,
}

/// A turn of a branch.
///
/// Invariant: `number` is the number of the branch's last turn plus one, and `previous` is the hash
/// of that turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Turn {
    /// The program.
    pub program: ProgramId,
    /// The client account that owns the program; part of the hash.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, starting at 1.
    pub number: u32,
    /// Hash of the previous turn, or the initial hash of the branch.
    #[serde(with = "serde_bytes")]
    pub previous: TurnHash,
    /// The call that made it.
    pub call: CallId,
    /// The caller's idempotency key for the call.
    pub key: Option<String>,
    /// New messages: those of the caller and the answer.
    pub messages: Vec<Message>,
    /// Amounts spent by the call.
    pub spent: Usage,
    /// Budget reserved for the program's next calls; replaces the previous reservation.
    pub reserved: Usage,
    /// The endpoint that ran it and may therefore hold its cache.
    pub endpoint: EndpointId,
}

/// A non-repeatable call is about to be dispatched to one incarnation of one sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// The program.
    pub program: ProgramId,
    /// The branch.
    pub branch: BranchId,
    /// The call.
    pub call: CallId,
    /// The caller's idempotency key for the call.
    pub key: Option<String>,
    /// Name of the service in the environment document.
    pub service: String,
    /// Request to the service.
    pub request: ServiceRequest,
    /// The sidecar that may execute it.
    pub endpoint: EndpointId,
    /// The only incarnation of that sidecar that may execute it.
    pub incarnation: Incarnation,
    /// Budget reserved for the call.
    pub reserved: Usage,
}

/// The result of an intent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// Result of the call.
    pub result: ActionResult,
    /// Amounts spent by the call.
    pub spent: Usage,
    /// Operator who resolved an unknown outcome, with the reason.
    pub resolved_by: Option<String>,
}

/// The result of a non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ActionResult {
    /// The call ran and returned this answer.
    Done(ServiceReply),
    /// The call has not run and never will. The text gives the reason.
    NotRun(String),
    /// The call may have run, and an operator must resolve it. The text gives the reason.
    Unknown(String),
}

/// Reason for the end of a program.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndReason {
    /// Its caller ended it.
    Finished,
    /// Its caller cancelled it.
    Cancelled,
    /// Its caller was inactive for too long.
    Lapsed,
    /// Its deadline passed.
    Deadline,
    /// Its budget was spent.
    Budget,
}

/// A program ended. Its history remains readable until the program is removed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// The program.
    pub program: ProgramId,
    /// Reason for the end.
    pub reason: EndReason,
    /// Time of the end, in Unix milliseconds by the owner's clock.
    pub at_ms: u64,
}

/// Part of a snapshot. All parts of a snapshot appear in order in batches of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Snapshot {
    /// Start of the snapshot. It is always the first entry of its batch, and the offset of that
    /// batch is the snapshot's root.
    Begin {
        /// The current owner.
        owner: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Programs that ended before this time, in Unix milliseconds, are removed unless the
        /// outcome of one of their actions is open or unknown.
        forget_before_ms: u64,
    },
    /// Image of a program after all preceding batches.
    Program(Box<Program>),
    /// Copy of a turn, intent or outcome whose earlier record is about to be trimmed.
    #[serde(rename = "Carried")]
    Relocated(Box<Entry>),
    /// End of the snapshot. Later batches may name its root.
    End {
        /// Offset of the batch with [`Snapshot::Begin`].
        root: Offset,
    },
}

impl From<Created> for Entry {
    fn from(created: Created) -> Self {
        Self::Created(created)
    }
}

impl From<Turn> for Entry {
    fn from(turn: Turn) -> Self {
        Self::Turn(turn)
    }
}

impl From<Intent> for Entry {
    fn from(intent: Intent) -> Self {
        Self::Intent(intent)
    }
}

impl From<Outcome> for Entry {
    fn from(outcome: Outcome) -> Self {
        Self::Outcome(outcome)
    }
}

impl From<Ended> for Entry {
    fn from(ended: Ended) -> Self {
        Self::Ended(ended)
    }
}

impl From<Reserved> for Entry {
    fn from(reserved: Reserved) -> Self {
        Self::Reserved(reserved)
    }
}
