//! A program as an owner remembers it and as snapshots carry it: an index without bodies.

use crate::ids::{
    BranchId, CallId, ClientAccountId, EndpointId, EnvironmentId, Incarnation, Offset, ProgramId,
    TurnHash,
};
use crate::protocol::message::Usage;
use crate::protocol::record::EndReason;
use serde::{Deserialize, Serialize};

/// A program's index.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Program {
    /// The program.
    pub program: ProgramId,
    /// Whose it is.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// Where it runs.
    pub environment: EnvironmentId,
    /// Fingerprint of environment, client account and the caller's key; 0 without a key.
    pub key: u128,
    /// All that it may spend.
    pub budget: Usage,
    /// When its result is of no more use, in Unix milliseconds.
    pub deadline_ms: u64,
    /// Spent so far, reservations of earlier epochs included.
    pub spent: Usage,
    /// Reserved for calls that may be under way, those of open actions included.
    pub reserved: Usage,
    /// Branches with at least one turn, in order of their ids.
    pub branches: Vec<Branch>,
    /// Calls that may not be repeated, in the order of their intents.
    pub actions: Vec<Action>,
    /// Turns that lost their place to another one.
    pub superseded: Vec<SupersededTurn>,
    /// Why and when it ended.
    pub ended: Option<End>,
    /// The endpoint that ran its last turn.
    pub endpoint: Option<EndpointId>,
}

/// A branch's index.
///
/// Invariant: turn `n` is at `turns[n - 1]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Branch {
    /// The branch.
    pub branch: BranchId,
    /// Hash of its last turn.
    #[serde(with = "serde_bytes")]
    pub head: TurnHash,
    /// Where its turns are.
    pub turns: Vec<TurnLocation>,
}

/// Where a turn is, and marks to find it by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct TurnLocation {
    /// Offset of the record that holds the body.
    pub offset: Offset,
    /// Low half of the call's id.
    pub call: u64,
    /// Fingerprint of the caller's key for the call; 0 without a key.
    pub key: u64,
}

impl From<(u64, u64, u64)> for TurnLocation {
    fn from((offset, call, key): (u64, u64, u64)) -> Self {
        Self { offset, call, key }
    }
}

impl From<TurnLocation> for (u64, u64, u64) {
    fn from(place: TurnLocation) -> Self {
        (place.offset, place.call, place.key)
    }
}

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Action {
    /// The call.
    pub call: CallId,
    /// The branch.
    pub branch: BranchId,
    /// Fingerprint of the caller's key for the call; 0 without a key.
    pub key: u64,
    /// Offset of the intent's first record, which names it to the sidecar.
    pub intent: Offset,
    /// Offset of the record that holds the intent's body now.
    pub offset: Offset,
    /// The service in the environment document.
    pub service: String,
    /// The sidecar that may run it.
    pub endpoint: EndpointId,
    /// The only run of that sidecar that may run it.
    pub incarnation: Incarnation,
    /// Reserved for it while it is open.
    pub reserved: Usage,
    /// What became of it.
    pub state: ActionPhase,
}

/// What became of a call that may not be repeated, with the offset of its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ActionPhase {
    /// It may be running.
    Open,
    /// It ran.
    Done(Offset),
    /// It has not run and never will.
    NotRun(Offset),
    /// It may have run; a person resolves it.
    Unknown(Offset),
}

/// A turn that lost its place to another one of the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SupersededTurn {
    /// The branch.
    pub branch: BranchId,
    /// The number that both have.
    pub number: u32,
    /// The call that made it.
    pub call: CallId,
    /// Offset of the record that holds the body.
    pub offset: Offset,
}

/// Why and when a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct End {
    /// Why.
    pub reason: EndReason,
    /// When, in Unix milliseconds by the owner's clock.
    pub at_ms: u64,
}
