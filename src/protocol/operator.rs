//! What the operator interface says, as JSON between the tool and an entry, and the questions that
//! an entry passes on to the others.

use crate::ids::{
    ClientAccountId, EndpointId, EnvironmentId, Epoch, FailureDomain, NodeId, Offset, Partition,
};
use crate::protocol::configuration::{AcceptedChange, Stage};
use crate::protocol::difference::Difference;
use crate::protocol::message::Usage;
use crate::protocol::vms::NodeRole;
use serde::{Deserialize, Serialize};

/// An environment in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvironmentSummary {
    /// Its name.
    pub name: EnvironmentId,
    /// Its version.
    pub version: Offset,
    /// Trial or production.
    pub stage: Stage,
    /// Whether it is out of service.
    pub retired: bool,
    /// Its last change.
    pub last_change: Option<AcceptedChange>,
}

/// Asks to replace a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The version that it replaces; 0 for a new environment.
    pub expects: Offset,
    /// Names the operation; a repeat with the same key is the same operation.
    pub key: String,
    /// The INI document.
    pub document: String,
}

/// Asks to put an environment into production.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromoteRequest {
    /// The environment's version.
    pub expects: Offset,
    /// Names the operation.
    pub key: String,
    /// Why it is promoted although the evidence may fall short.
    pub override_reason: Option<String>,
}

/// Asks to take an environment out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetireRequest {
    /// The environment's version.
    pub expects: Offset,
    /// Names the operation.
    pub key: String,
    /// Why.
    pub reason: String,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// It is accepted.
    Accepted {
        /// What was accepted.
        change: AcceptedChange,
        /// Other entries that are known to hold it already.
        holders: usize,
        /// What was shown for a promotion.
        evidence: Vec<String>,
    },
    /// Another change came first.
    Lost {
        /// The environment's version.
        version: Offset,
        /// The change that made it: who, and when.
        winner: Option<AcceptedChange>,
        /// From the document that was not accepted to the one in force.
        difference: Vec<Difference>,
    },
    /// The document has faults.
    Faulty {
        /// All of them, one a line.
        faults: Vec<String>,
    },
    /// It is not allowed in this state.
    Refused {
        /// Why.
        reason: String,
        /// What was shown for a promotion, and what is short.
        evidence: Vec<String>,
    },
    /// The log does not answer: repeat it with the same key.
    Unknown {
        /// Why.
        reason: String,
    },
}

/// The state of the whole system as one entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The entry that answers.
    pub node: NodeId,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// The configuration version in force there.
    pub configuration: Offset,
    /// How long the log has not answered; `None` if it answers.
    pub log_down_ms: Option<u64>,
    /// Entries of this node's partitions that are not in the log yet.
    pub backlog_entries: usize,
    /// Their size.
    pub backlog_bytes: usize,
    /// All nodes.
    pub nodes: Vec<NodeStatus>,
    /// All partitions.
    pub partitions: Vec<PartitionStatus>,
}

/// A node as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// Its role.
    pub role: NodeRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// `live`, `suspect`, `leaving` or `failed`.
    pub state: String,
    /// Since when nothing was heard of it.
    pub heard_ms: u64,
    /// The configuration version that it runs.
    pub configuration: Offset,
    /// Calls in its queue, if it is a sidecar.
    pub queued: u32,
    /// Calls at its endpoint.
    pub running: u32,
    /// Calls at its endpoint at most.
    pub cap: u32,
    /// Cache in use at its engine.
    pub cache_used_tokens: u64,
    /// Cache in all.
    pub cache_total_tokens: u64,
    /// What its engine serves.
    pub models: Vec<(String, u32)>,
}

/// A partition and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: Partition,
    /// Its owner, as far as is known.
    pub owner: Option<NodeId>,
    /// The owner's epoch, if it is this node.
    pub epoch: Option<Epoch>,
    /// Programs in memory, if the owner is this node.
    pub programs: Option<usize>,
}

/// A program in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSummary {
    /// The program, in hexadecimal.
    pub program: String,
    /// Its environment.
    pub environment: EnvironmentId,
    /// Whose it is.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// When it was begun, in Unix milliseconds.
    pub begun_ms: u64,
    /// Turns in all branches.
    pub turns: usize,
    /// Spent so far.
    pub spent: Usage,
    /// All that it may spend.
    pub budget: Usage,
    /// Why it ended; `None` while it runs.
    pub ended: Option<String>,
}

/// A call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionSummary {
    /// The call, in hexadecimal.
    pub call: String,
    /// Its program, in hexadecimal.
    pub program: String,
    /// Its environment.
    pub environment: EnvironmentId,
    /// Whose it is.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The service.
    pub service: String,
    /// The endpoint that it was dispatched to.
    pub endpoint: EndpointId,
    /// `open`, `done`, `not_run` or `unknown`.
    pub state: String,
}

/// A person's word on an unknown action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveRequest {
    /// Whether it ran.
    pub ran: bool,
    /// The service's answer if it ran, or why it did not.
    pub answer: String,
    /// How this was found out.
    pub reason: String,
}

/// A list from all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialList<T> {
    /// What was found.
    pub items: Vec<T>,
    /// Entries that did not answer, so that something may be missing.
    pub silent: Vec<NodeId>,
}

/// A question that an entry passes on to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorQuery {
    /// Programs of the partitions that the node owns.
    Programs,
    /// Calls that may not be repeated, of the partitions that the node owns.
    Actions,
    /// Resolve an unknown action, if the node owns its partition.
    Resolve {
        /// The program, in hexadecimal.
        program: String,
        /// The call, in hexadecimal.
        call: String,
        /// Who resolves it, and how it was found out.
        resolved_by: String,
        /// Whether it ran.
        ran: bool,
        /// The service's answer, or why it did not run.
        answer: String,
    },
    /// Take no new work from now on.
    Drain,
}

/// The answer to an [`OperatorQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// Programs.
    Programs(Vec<ProgramSummary>),
    /// Actions.
    Actions(Vec<ActionSummary>),
    /// Done.
    Done,
    /// Not done, and why.
    Refused(String),
}
