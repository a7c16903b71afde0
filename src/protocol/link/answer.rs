//! Replies of owners and sidecars.

use super::SidecarLoad;
use crate::ids::{BranchId, CallId, Offset};
use crate::protocol::crashes::Lifetime;
use crate::protocol::engine::EngineUsage;
use crate::protocol::message::{Message, Usage};
use crate::protocol::record::ActionResult;
use serde::{Deserialize, Serialize};

/// Durability of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "durability", rename_all = "lowercase")]
pub enum Durability {
    /// Stored in the log.
    Committed {
        /// Offset of the log record.
        offset: Offset,
    },
    /// Held in the memory of two nodes until the log accepts it. If both copies are lost, the
    /// caller can restore it with the receipt.
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
    /// Text of the model, or response body of the service.
    pub content: String,
    /// The service's HTTP status; `None` for a model.
    pub status: Option<u16>,
    /// Token counts; zero for a service.
    pub usage: EngineUsage,
    /// Total spent by the program, including this call.
    pub spent: Usage,
    /// Durability of the answer.
    pub durability: Durability,
}

/// A turn as returned to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryTurn {
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, starting at 1.
    pub number: u32,
    /// The call that made it.
    pub call: CallId,
    /// The messages.
    pub messages: Vec<Message>,
    /// Whether the turn is in the log.
    pub committed: bool,
}

/// Result of a finished generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generated {
    /// Token counts.
    pub usage: EngineUsage,
    /// Load of the sidecar when the reply was made.
    pub load: SidecarLoad,
    /// Time in the sidecar's queue, in milliseconds.
    pub queued_ms: u64,
    /// Time in the engine, in milliseconds.
    pub ran_ms: u64,
}

/// State of a service call and its timing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionReply {
    /// The state.
    pub state: ActionState,
    /// Time in the service, in milliseconds.
    pub ran_ms: u64,
    /// Load of the sidecar when the reply was made.
    pub load: SidecarLoad,
    /// Lifetime of the service that ended while it had the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crashed: Option<Lifetime>,
}

/// State of a service call on the sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ActionState {
    /// The call has finished.
    #[serde(rename = "Over")]
    Finished(ActionResult),
    /// The call is still running.
    Running,
    /// The call never arrived and will be refused if it arrives later.
    Voided,
    /// This incarnation of the sidecar does not know the state.
    Unknown,
}
