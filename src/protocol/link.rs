//! Messages on the links between processes of this system.
//!
//! A link carries requests in both directions. Each request is answered by any number of
//! [`Event`]s followed by exactly one [`Reply`].

mod answer;
mod compact;
mod digest;
mod part;
mod tokens;

pub use answer::{ActionReply, ActionState, Answer, Durability, Generated, HistoryTurn};
pub use digest::{Digest, Heard, Serving, SidecarLoad};

use crate::ids::{
    BranchId, CallId, ClientAccountId, EndpointId, EnvironmentId, Epoch, Incarnation, ModelId,
    Offset, Partition, ProgramId,
};
use crate::protocol::configuration::ConfigurationImage;
use crate::protocol::crashes::CrashReport;
use crate::protocol::engine::{EngineOrder, GenerateRequest};
use crate::protocol::message::{Message, Usage};
use crate::protocol::operator::{OperatorQuery, OperatorReply};
use crate::protocol::record::{EndReason, Entry};
use crate::protocol::refusal::Refusal;
use crate::protocol::service::ServiceRequest;
use serde::{Deserialize, Serialize};

/// A request to the other end of a link.
///
/// The comment of each variant names the roles of the sender and the receiver. The owner is the entry
/// that owns the partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Entry to owner: begin a program.
    Create(Create),
    /// Entry to owner: run a call of a program.
    Call(Call),
    /// Entry to owner: resume reading the answer of a call from a token index.
    Attach {
        /// The client account and environment that own the program.
        caller: Caller,
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// Index of the first token to send.
        from: u32,
    },
    /// Entry to owner: read the history of a program.
    History {
        /// The client account and environment that own the program.
        caller: Caller,
        /// The program.
        program: ProgramId,
    },
    /// Entry to owner: end a program.
    End {
        /// The client account and environment that own the program.
        caller: Caller,
        /// The program.
        program: ProgramId,
        /// Reason for ending it.
        reason: EndReason,
    },
    /// Owner to sidecar: run a generation.
    Generate(Generate),
    /// Owner to sidecar: stop a call and discard its answer.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Owner to sidecar: call a service.
    Invoke(Invoke),
    /// Owner to sidecar: report the state of a dispatch, and void it if it never arrived.
    Settle {
        /// The partition whose owner sends the request.
        partition: Partition,
        /// The owner's epoch.
        epoch: Epoch,
        /// The call.
        call: CallId,
        /// Incarnation and intent under which the call was to be dispatched.
        once: AtMostOnce,
    },
    /// Owner to sidecar: free the engine cache of a program that no longer exists.
    Release {
        /// The program.
        program: ProgramId,
    },
    /// Owner to sidecar: these programs are still live. The sidecar releases the cache of programs
    /// that have not been confirmed for some time.
    Confirm {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Owner to sidecar: store replicas of log entries that are not committed yet.
    #[serde(rename = "Keep")]
    ReplicateEntries {
        /// The partition.
        partition: Partition,
        /// The entries, in order.
        entries: Vec<Entry>,
    },
    /// New owner to sidecar: return the replicas of a partition's entries.
    #[serde(rename = "Kept")]
    FetchReplicas {
        /// The partition.
        partition: Partition,
    },
    /// Owner to sidecar: drop the replicas of these turns and of this program's creation, which
    /// are in the log.
    #[serde(rename = "Forget")]
    DropReplicas {
        /// The partition.
        partition: Partition,
        /// The program.
        program: ProgramId,
        /// The calls that made the turns.
        calls: Vec<CallId>,
    },
    /// Any entry to owner: append a log entry that was acknowledged as pending.
    #[serde(rename = "Adopt")]
    CommitPending {
        /// The program.
        program: ProgramId,
        /// The entry.
        entry: Box<Entry>,
    },
    /// Owner of partition 0 to sidecar: an order for the engine.
    Order {
        /// The order.
        order: EngineOrder,
        /// The owner's epoch, used as fencing token.
        fence: Epoch,
        /// Position among the owner's orders to this sidecar, starting at 1.
        sequence: u64,
    },
    /// Any to any: heartbeat that exchanges digests.
    Probe(Digest),
    /// Entry to entry: merge what is known of calls that crash endpoints.
    ReportCrashes(Vec<CrashReport>),
    /// Entry to entry: return what is known of calls that crash endpoints.
    FetchCrashReports,
    /// Entry to any: adopt this configuration unless the local one is newer.
    OfferConfiguration(ConfigurationOffer),
    /// Any to entry: return the current configuration.
    FetchConfiguration,
    /// Entry to any: an operator's query.
    Operate(OperatorQuery),
}

/// A node's configuration and its position in the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationOffer {
    /// The configuration.
    pub image: ConfigurationImage,
    /// The next offset of the stream that the node will read.
    pub next: Offset,
}

/// Identity of the caller, as authenticated by the receiving entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The environment.
    pub environment: EnvironmentId,
    /// The client account.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
}

/// Request to begin a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Create {
    /// The client account and environment that will own it.
    pub caller: Caller,
    /// Its id, generated by the receiving entry.
    pub program: ProgramId,
    /// The caller's idempotency key: the same key returns the same program.
    pub key: Option<String>,
    /// Total budget of the program.
    pub budget: Usage,
    /// Deadline after which the result is of no use, in Unix milliseconds.
    pub deadline_ms: u64,
}

/// A call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The client account and environment that own the program.
    pub caller: Caller,
    /// The program.
    pub program: ProgramId,
    /// The branch.
    pub branch: BranchId,
    /// The call's id, generated by the receiving entry.
    pub call: CallId,
    /// The caller's idempotency key: a retry with the same key is the same call.
    pub key: Option<String>,
    /// Endpoint of an earlier run, for example one started before its owner was lost.
    pub seen_at: Option<EndpointId>,
    /// The work to do.
    pub work: Work,
}

/// The work of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Query a model. The branch's history is prepended to the messages.
    Model {
        /// The model or adapter.
        model: ModelId,
        /// New messages.
        messages: Vec<Message>,
        /// Maximum number of generated tokens.
        max_tokens: u32,
    },
    /// Call a service.
    Tool {
        /// Name of the service in the environment document.
        service: String,
        /// The operation, as named in the environment document.
        operation: String,
        /// The JSON argument.
        body: String,
        /// Whether the call may run more than once.
        repeatable: bool,
    },
}

/// Inputs by which a sidecar ranks queued calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Priority {
    /// The environment.
    pub environment: EnvironmentId,
    /// Whether the environment is in production.
    pub production: bool,
    /// The client account.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// Fair-share weight of the client account; 1 by default.
    pub share: f64,
    /// Service that the program has received so far, in tokens.
    pub attained_tokens: u64,
    /// Time remaining until the program's deadline, in milliseconds.
    pub slack_ms: u64,
}

/// A generation to be run by a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// Request to the engine.
    pub request: GenerateRequest,
    /// Queueing priority.
    pub priority: Priority,
    /// The partition whose owner sends the request.
    pub partition: Partition,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Prompt tokens that the owner expects in the engine's cache.
    pub expected_cached_tokens: u32,
    /// Prompt tokens that endpoints have already computed for this program.
    pub seen_tokens: u32,
}

/// A service call to be run by a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Invoke {
    /// Request to the service.
    pub request: ServiceRequest,
    /// Queueing priority.
    pub priority: Priority,
    /// The partition whose owner sends the request.
    pub partition: Partition,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// At-most-once guard; `None` for a repeatable call.
    pub once: Option<AtMostOnce>,
    /// Time limit in the service, in milliseconds.
    pub limit_ms: u64,
}

/// Guard that limits a non-repeatable call to one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AtMostOnce {
    /// The only incarnation of the sidecar that may execute it.
    pub incarnation: Incarnation,
    /// Offset of its intent in the partition's stream.
    pub intent: Offset,
}

/// An event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The call has been accepted. A retry receives the id of the original call.
    Accepted {
        /// The call.
        call: CallId,
    },
    /// A run of the call has started, and the tokens that follow belong to it. A different run
    /// replaces all tokens of the previous run.
    Started {
        /// Identifies the run.
        run: u64,
        /// Endpoint of the run.
        endpoint: EndpointId,
    },
    /// A chunk of text.
    Tokens(Tokens),
}

/// A chunk of an answer's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Index of the first token within the answer.
    pub index: u32,
    /// Number of tokens in the text.
    pub count: u32,
    /// The text.
    pub text: String,
}

/// The final reply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The program has begun, now or earlier under the same key.
    Created {
        /// The program.
        program: ProgramId,
        /// Durability of the program's creation.
        durability: Durability,
    },
    /// The answer of a finished call.
    Answer(Answer),
    /// The turns of a program.
    History(Vec<HistoryTurn>),
    /// Success without a result.
    Done,
    /// A generation has finished on the sidecar.
    Generated(Generated),
    /// State of a service call on the sidecar.
    Action(ActionReply),
    /// Cache that the engine still holds for a released program.
    #[serde(rename = "Held")]
    CachedTokens {
        /// Cached tokens; 0 once the cache is freed.
        tokens: u64,
    },
    /// Replicas of log entries that an owner had not committed.
    #[serde(rename = "Kept")]
    Replicas(Vec<Entry>),
    /// The answer to a probe.
    Probed(Digest),
    /// The configuration version in force on the node after an offer.
    Configured {
        /// The version.
        version: Offset,
    },
    /// What is known of calls that crash endpoints.
    CrashReports(Vec<CrashReport>),
    /// The requested configuration.
    Configuration(ConfigurationOffer),
    /// The answer to an operator's query.
    Operated(OperatorReply),
    /// The request was refused.
    Refused(Refusal),
}

/// Message types of the links between processes of this system.
pub(crate) enum LinkProtocol {}

impl crate::transport::link::Protocol for LinkProtocol {
    type Request = Request;
    type Event = Event;
    type Reply = Reply;
}
