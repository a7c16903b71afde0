//! Program index without turn bodies, as held in an owner's memory. Its copy in a snapshot is the
//! program's image.

use crate::ids::{
    BranchId, CallId, ClientAccountId, EndpointId, EnvironmentId, Incarnation, Offset, ProgramId,
    TurnHash,
};
use crate::protocol::message::Usage;
use crate::protocol::record::EndReason;
use serde::{Deserialize, Serialize};

/// Index of a program.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Program {
    /// The program.
    pub program: ProgramId,
    /// The client account that owns it.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The environment in which it runs.
    pub environment: EnvironmentId,
    /// Fingerprint of environment, client account and the caller's idempotency key; 0 without a
    /// key.
    pub key: u128,
    /// Total budget of the program.
    pub budget: Usage,
    /// Deadline after which the result is of no use, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Amounts spent so far, including reservations charged by takeovers.
    pub spent: Usage,
    /// Budget reserved for calls that may be in flight, including open actions.
    pub reserved: Usage,
    /// Branches with at least one turn, sorted by id.
    pub branches: Vec<Branch>,
    /// Non-repeatable calls, in the order of their intents.
    pub actions: Vec<Action>,
    /// Turns that could not join their branch.
    pub superseded: Vec<SupersededTurn>,
    /// Reason and time of its end; `None` while it runs.
    pub ended: Option<End>,
    /// The endpoint that ran its last turn.
    pub endpoint: Option<EndpointId>,
}

/// Index of a branch.
///
/// Invariant: `turns[n - 1]` locates turn `n`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Branch {
    /// The branch.
    pub branch: BranchId,
    /// Hash of its last turn.
    #[serde(with = "serde_bytes")]
    pub head: TurnHash,
    /// Locations of its turns.
    pub turns: Vec<TurnLocation>,
}

/// Location of a turn, with fingerprints for lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct TurnLocation {
    /// Offset of the record that holds the turn's body.
    pub offset: Offset,
    /// Low 64 bits of the call's id.
    pub call: u64,
    /// Fingerprint of the caller's idempotency key for the call; 0 without a key.
    pub key: u64,
}

impl From<(u64, u64, u64)> for TurnLocation {
    fn from((offset, call, key): (u64, u64, u64)) -> Self {
        Self { offset, call, key }
    }
}

impl From<TurnLocation> for (u64, u64, u64) {
    fn from(location: TurnLocation) -> Self {
        (location.offset, location.call, location.key)
    }
}

/// A non-repeatable call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Action {
    /// The call.
    pub call: CallId,
    /// The branch.
    pub branch: BranchId,
    /// Fingerprint of the caller's idempotency key for the call; 0 without a key.
    pub key: u64,
    /// Offset of the intent's original record, which identifies it to the sidecar.
    pub intent: Offset,
    /// Offset of the record that currently holds the intent's body.
    pub offset: Offset,
    /// Name of the service in the environment document.
    pub service: String,
    /// The sidecar that may execute it.
    pub endpoint: EndpointId,
    /// The only incarnation of that sidecar that may execute it.
    pub incarnation: Incarnation,
    /// Budget reserved for it while it is open.
    pub reserved: Usage,
    /// State of the call.
    pub state: ActionPhase,
}

/// State of a non-repeatable call, with the offset of its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ActionPhase {
    /// The call has no outcome and may be running.
    Open,
    /// The call ran.
    Done(Offset),
    /// The call has not run and never will.
    NotRun(Offset),
    /// The call may have run, and an operator must resolve it.
    Unknown(Offset),
}

/// A turn that could not join its branch. See
/// [`Entry::Superseded`](crate::protocol::record::Entry::Superseded).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SupersededTurn {
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch for which it was made, starting at 1.
    pub number: u32,
    /// The call that made it.
    pub call: CallId,
    /// Offset of the record that holds the turn's body.
    pub offset: Offset,
}

/// Reason and time of a program's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct End {
    /// Reason for the end.
    pub reason: EndReason,
    /// Time of the end, in Unix milliseconds by the owner's clock.
    pub at_ms: u64,
}
