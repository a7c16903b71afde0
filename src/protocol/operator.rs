//! JSON messages of the operator interface between the command-line tool and an entry, and the
//! queries that an entry forwards to other nodes.

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
    /// Its stage.
    pub stage: Stage,
    /// Whether it has been retired.
    pub retired: bool,
    /// Its last change.
    pub last_change: Option<AcceptedChange>,
}

/// Request to replace an environment's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The version to replace; 0 for a new environment.
    pub expects: Offset,
    /// Idempotency key: a retry with the same key is the same operation.
    pub key: String,
    /// The INI document.
    pub document: String,
}

/// Request to promote an environment to production.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromoteRequest {
    /// The expected current version of the environment.
    pub expects: Offset,
    /// Idempotency key of the operation.
    pub key: String,
    /// Reason for promoting it even if the evidence is insufficient.
    pub override_reason: Option<String>,
}

/// Request to retire an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetireRequest {
    /// The expected current version of the environment.
    pub expects: Offset,
    /// Idempotency key of the operation.
    pub key: String,
    /// Reason for retiring it.
    pub reason: String,
}

/// Result of a requested change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeAnswer {
    /// The change was accepted.
    Accepted {
        /// The accepted change.
        change: AcceptedChange,
        /// Number of other entries known to have the change.
        holders: usize,
        /// Facts that support a promotion, one per item.
        evidence: Vec<String>,
    },
    /// Another change was accepted first.
    Lost {
        /// The current version of the environment.
        version: Offset,
        /// The change that created this version.
        winner: Option<AcceptedChange>,
        /// Differences from the rejected document to the current one.
        difference: Vec<Difference>,
    },
    /// The document is invalid.
    Faulty {
        /// All faults, one per item.
        faults: Vec<String>,
    },
    /// The change is not allowed in the current state.
    Refused {
        /// Reason of the refusal.
        reason: String,
        /// Facts for and against a promotion, one per item.
        evidence: Vec<String>,
    },
    /// The log does not answer, so the result is unknown. Retry with the same key.
    Unknown {
        /// Cause of the unknown result.
        reason: String,
    },
}

/// State of the whole system, as known to one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The entry that made the report.
    pub node: NodeId,
    /// Time of the report, in Unix milliseconds.
    pub at_ms: u64,
    /// Version of the configuration in force on this entry.
    pub configuration: Offset,
    /// Duration of the log outage in milliseconds; `None` if the log answers.
    pub log_down_ms: Option<u64>,
    /// Number of log entries of this node's partitions that are not committed yet.
    pub backlog_entries: usize,
    /// Estimated size of these log entries, in bytes.
    pub backlog_bytes: usize,
    /// All nodes.
    pub nodes: Vec<NodeStatus>,
    /// All partitions.
    pub partitions: Vec<PartitionStatus>,
}

/// State of a node, as known to the reporting entry.
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
    /// Time since the last contact with it, in milliseconds.
    pub heard_ms: u64,
    /// Version of the configuration in force on the node.
    pub configuration: Offset,
    /// Calls in its queue; 0 unless it is a sidecar.
    pub queued: u32,
    /// Calls in flight at its endpoint.
    pub running: u32,
    /// Maximum number of calls in flight at its endpoint.
    pub cap: u32,
    /// Used cache of its engine, in tokens.
    pub cache_used_tokens: u64,
    /// Cache capacity of its engine, in tokens.
    pub cache_total_tokens: u64,
    /// Models and adapters that its engine serves, with their versions.
    pub models: Vec<(String, u32)>,
}

/// A partition and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: Partition,
    /// Its owner, if known.
    pub owner: Option<NodeId>,
    /// The owner's epoch; `None` unless the reporting entry is the owner.
    pub epoch: Option<Epoch>,
    /// Number of programs in memory; `None` unless the reporting entry is the owner.
    pub programs: Option<usize>,
}

/// A program in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSummary {
    /// The program, in hexadecimal.
    pub program: String,
    /// Its environment.
    pub environment: EnvironmentId,
    /// The client account that owns it.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// Start time, in Unix milliseconds.
    pub begun_ms: u64,
    /// Number of turns in all branches.
    pub turns: usize,
    /// Amounts spent so far.
    pub spent: Usage,
    /// Total budget of the program.
    pub budget: Usage,
    /// Reason for its end; `None` while it runs.
    pub ended: Option<String>,
}

/// A non-repeatable call in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionSummary {
    /// The call, in hexadecimal.
    pub call: String,
    /// Its program, in hexadecimal.
    pub program: String,
    /// Its environment.
    pub environment: EnvironmentId,
    /// The client account that owns it.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The service.
    pub service: String,
    /// The endpoint to which it was dispatched.
    pub endpoint: EndpointId,
    /// `open`, `done`, `not_run` or `unknown`.
    pub state: String,
}

/// Request to resolve an unknown action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolveRequest {
    /// Whether the call ran.
    pub ran: bool,
    /// The service's answer if the call ran, otherwise the reason why it did not.
    pub answer: String,
    /// Evidence for this result.
    pub reason: String,
}

/// A list collected from all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialList<T> {
    /// The items of the entries that answered.
    pub items: Vec<T>,
    /// Entries that did not answer. Their items are missing from the list.
    pub silent: Vec<NodeId>,
}

/// A query that an entry forwards to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorQuery {
    /// List the programs of the partitions that the node owns.
    Programs,
    /// List the non-repeatable calls of the partitions that the node owns.
    Actions,
    /// Resolve an unknown action, if the node owns its partition.
    Resolve {
        /// The program, in hexadecimal.
        program: String,
        /// The call, in hexadecimal.
        call: String,
        /// The operator who resolves it, with the evidence.
        resolved_by: String,
        /// Whether the call ran.
        ran: bool,
        /// The service's answer if the call ran, otherwise the reason why it did not.
        answer: String,
    },
    /// Stop accepting new work.
    Drain,
}

/// The answer to an [`OperatorQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The requested programs.
    Programs(Vec<ProgramSummary>),
    /// The requested actions.
    Actions(Vec<ActionSummary>),
    /// Success without a result.
    Done,
    /// The query was refused for this reason.
    Refused(String),
}
