//! Answers of owners and sidecars.

use super::SidecarLoad;
use crate::ids::{BranchId, CallId, Offset};
use crate::protocol::engine::EngineUsage;
use crate::protocol::message::{Message, Usage};
use crate::protocol::record::ActionResult;
use serde::{Deserialize, Serialize};

/// How safe an answer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "durability", rename_all = "lowercase")]
pub enum Durability {
    /// In the log.
    Committed {
        /// Where.
        offset: Offset,
    },
    /// In two memories until the log takes it; the receipt lets the caller bring it back.
    Pending {
        /// The signed turn, in hexadecimal.
        receipt: String,
    },
}

/// The answer of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The call.
    pub call: CallId,
    /// The model's text, or the service's body.
    pub content: String,
    /// The service's HTTP status; `None` for a model.
    pub status: Option<u16>,
    /// Token counts; zero for a service.
    pub usage: EngineUsage,
    /// Spent by the program so far, this call included.
    pub spent: Usage,
    /// How safe it is.
    pub durability: Durability,
}

/// A turn as callers read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryTurn {
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, from 1.
    pub number: u32,
    /// The call that made it.
    pub call: CallId,
    /// The messages.
    pub messages: Vec<Message>,
    /// Whether it is in the log yet.
    pub committed: bool,
}

/// A whole generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generated {
    /// Token counts.
    pub usage: EngineUsage,
    /// Load at this moment.
    pub load: SidecarLoad,
    /// Time in the sidecar's queue, in milliseconds.
    pub queued_ms: u64,
    /// Time in the engine, in milliseconds.
    pub ran_ms: u64,
}

/// What became of a service call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionReply {
    /// The state.
    pub state: ActionState,
    /// Time in the service, in milliseconds.
    pub ran_ms: u64,
    /// Load at this moment.
    pub load: SidecarLoad,
}

/// State of a service call at the sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ActionState {
    /// Over.
    Over(ActionResult),
    /// Still running.
    Running,
    /// It never came, and it will be refused if it comes.
    Voided,
    /// This run of the sidecar cannot tell.
    Unknown,
}
