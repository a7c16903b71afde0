//! Records of a partition's log stream.
//!
//! A stream holds [`Record`]s, one an append. Their meaning is given by the fold in
//! `state::partition`: a record that the fold does not accept has no effect.

use crate::ids::{
    BranchId, CallId, ClientAccountId, EndpointId, EnvironmentId, Epoch, Incarnation, NodeId,
    Offset, ProgramId, TurnHash,
};
use crate::protocol::image::Program;
use crate::protocol::message::{Message, Usage};
use crate::protocol::service::{ServiceReply, ServiceRequest};
use serde::{Deserialize, Serialize};

/// Value of [`Claim::expects`] that takes a stream over whose beginning and snapshots are trimmed.
///
/// The fold accepts such a claim whatever the epoch in force, and starts again without programs.
pub const RESET_EPOCH: Epoch = Epoch::MAX;

/// One append to a partition's stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A node wants to own the partition.
    Claim(Claim),
    /// The owner's entries.
    Batch(Batch),
}

/// Makes its writer the owner if `expects` is the epoch in force when the fold meets it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Who claims.
    pub owner: NodeId,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// The epoch that the writer saw in force, or [`RESET_EPOCH`].
    pub expects: Epoch,
    /// Where a reader may start. See [`Batch::root`].
    pub root: Offset,
}

/// Entries of the owner, applied together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// The writer's epoch; the batch is void unless it is in force.
    pub epoch: Epoch,
    /// 1 for the first batch of an epoch; void unless it is the next one.
    pub sequence: u64,
    /// Offset of the batch that begins the newest complete snapshot, or 0 for the start of the
    /// stream. A reader that starts there ends with the same state as one that read everything.
    pub root: Offset,
    /// What happened.
    pub entries: Vec<Entry>,
}

/// One thing that happened in a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A program began.
    Created(Created),
    /// A branch got its next turn.
    Turn(Turn),
    /// A call that may not be repeated is about to be dispatched.
    Intent(Intent),
    /// What became of an intent.
    Outcome(Outcome),
    /// A program is over.
    Ended(Ended),
    /// Part of a snapshot.
    Snapshot(Snapshot),
    /// A program's reservation is replaced.
    Reserved(Reserved),
    /// A turn whose number was taken by another one; it is kept beside that one.
    Superseded(Turn),
    /// The owner has nothing in flight and gives the partition up; always the last entry of its
    /// epoch. The next claim charges no reservation.
    Released,
}

/// A program began.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Created {
    /// The program.
    pub program: ProgramId,
    /// Whose it is.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// Where it runs.
    pub environment: EnvironmentId,
    /// The caller's key: the same key gives the same program.
    pub key: Option<String>,
    /// All that it may spend.
    pub budget: Usage,
    /// When its result is of no more use, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Reserved for its next call before any is committed.
    pub reserved: Usage,
}

/// A program's reservation is replaced, such as after a takeover has charged the one before.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reserved {
    /// The program.
    pub program: ProgramId,
    /// Reserved for the program's calls that may follow.
    pub reserved: Usage,
}

/// A turn of a branch.
///
/// Invariant: `number` is one more than the branch's last turn and `previous` is its hash.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Turn {
    /// The program.
    pub program: ProgramId,
    /// Whose it is; part of the hash.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, from 1.
    pub number: u32,
    /// Hash of the turn before, or of the branch's beginning.
    #[serde(with = "serde_bytes")]
    pub previous: TurnHash,
    /// The call that made it.
    pub call: CallId,
    /// The caller's key for the call.
    pub key: Option<String>,
    /// New messages: the caller's and the answer.
    pub messages: Vec<Message>,
    /// Spent by the call.
    pub spent: Usage,
    /// Reserved for the program's calls that may follow; replaces the reservation before.
    pub reserved: Usage,
    /// The endpoint that ran it and so may hold its cache.
    pub endpoint: EndpointId,
}

/// A call that may not be repeated is about to be dispatched to one run of one sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// The program.
    pub program: ProgramId,
    /// The branch.
    pub branch: BranchId,
    /// The call.
    pub call: CallId,
    /// The caller's key for the call.
    pub key: Option<String>,
    /// The service in the environment document.
    pub service: String,
    /// What is sent.
    pub request: ServiceRequest,
    /// The sidecar that may run it.
    pub endpoint: EndpointId,
    /// The only run of that sidecar that may run it.
    pub incarnation: Incarnation,
    /// Reserved for it.
    pub reserved: Usage,
}

/// What became of an intent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The program.
    pub program: ProgramId,
    /// The call.
    pub call: CallId,
    /// What became of it.
    pub result: ActionResult,
    /// Spent by it.
    pub spent: Usage,
    /// The person who resolved an unknown outcome, and why.
    pub resolved_by: Option<String>,
}

/// The result of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ActionResult {
    /// It ran, and this is its answer.
    Done(ServiceReply),
    /// It has not run and never will.
    NotRun(String),
    /// It may have run; a person resolves it.
    Unknown(String),
}

/// Why a program is over.
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
    /// Nothing was heard of its caller for too long.
    Lapsed,
    /// Its deadline passed.
    Deadline,
    /// Its budget is spent.
    Budget,
}

/// A program is over. Its history can still be read until it is forgotten.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// The program.
    pub program: ProgramId,
    /// Why.
    pub reason: EndReason,
    /// When, in Unix milliseconds by the owner's clock.
    pub at_ms: u64,
}

/// Part of a snapshot; all parts of one are in batches of one epoch, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Snapshot {
    /// Always the first entry of its batch; that batch's offset is the snapshot's root.
    Begin {
        /// The owner in force.
        owner: NodeId,
        /// Its run.
        incarnation: Incarnation,
        /// Programs that ended before this time, in Unix milliseconds, are forgotten, except
        /// those with an action whose outcome is unknown.
        forget_before_ms: u64,
    },
    /// A program as it stands after all batches before this one.
    Program(Box<Program>),
    /// A turn, intent or outcome whose first record will be trimmed, written again.
    #[serde(rename = "Carried")]
    Relocated(Box<Entry>),
    /// The snapshot is complete; batches after it may name its root.
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
