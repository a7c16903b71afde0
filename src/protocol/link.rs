//! Messages on the links between the system's own processes.
//!
//! A link carries requests in both directions. Each request opens a stream of [`Event`]s that
//! ends with one [`Reply`].

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
use crate::protocol::engine::{EngineOrder, GenerateRequest};
use crate::protocol::message::{Message, Usage};
use crate::protocol::operator::{OperatorQuery, OperatorReply};
use crate::protocol::record::{EndReason, Entry};
use crate::protocol::refusal::Refusal;
use crate::protocol::service::ServiceRequest;
use serde::{Deserialize, Serialize};

/// Asks the other end of a link to do something.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Entry to owner: begin a program.
    Create(Create),
    /// Entry to owner: run a call of a program.
    Call(Call),
    /// Entry to owner: read a call's answer again, from a token on.
    Attach {
        /// Whose program it is.
        caller: Caller,
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// The first token wanted.
        from: u32,
    },
    /// Entry to owner: read a program's history.
    History {
        /// Whose program it is.
        caller: Caller,
        /// The program.
        program: ProgramId,
    },
    /// Entry to owner: end a program.
    End {
        /// Whose program it is.
        caller: Caller,
        /// The program.
        program: ProgramId,
        /// Why.
        reason: EndReason,
    },
    /// Owner to sidecar: generate.
    Generate(Generate),
    /// Owner to sidecar: stop a call and forget its answer.
    Cancel {
        /// The call.
        call: CallId,
    },
    /// Owner to sidecar: call a service.
    Invoke(Invoke),
    /// Owner to sidecar: say what became of a dispatch, and void it if it never came.
    Settle {
        /// The partition whose owner asks.
        partition: Partition,
        /// The owner's epoch.
        epoch: Epoch,
        /// The call.
        call: CallId,
        /// The run and the intent that the call was to be dispatched under.
        once: Once,
    },
    /// Owner to sidecar: free the engine's memory of a program that is gone.
    Release {
        /// The program.
        program: ProgramId,
    },
    /// Owner to sidecar: these programs are alive; what is not confirmed for long is released.
    Confirm {
        /// The programs.
        programs: Vec<ProgramId>,
    },
    /// Owner to sidecar: hold entries that the log has not taken yet.
    Keep {
        /// The partition.
        partition: Partition,
        /// The entries, in order.
        entries: Vec<Entry>,
    },
    /// New owner to sidecar: which entries of a partition do you hold.
    Kept {
        /// The partition.
        partition: Partition,
    },
    /// Owner to sidecar: the log has these turns and this program's beginning.
    Forget {
        /// The partition.
        partition: Partition,
        /// The program.
        program: ProgramId,
        /// The turns' calls.
        calls: Vec<CallId>,
    },
    /// Any entry to owner: put an entry that was pending into the log.
    Adopt {
        /// The program.
        program: ProgramId,
        /// The entry.
        entry: Box<Entry>,
    },
    /// Owner of partition 0 to sidecar: an order to the engine.
    Order {
        /// The order.
        order: EngineOrder,
        /// The owner's epoch: the fencing number.
        fence: Epoch,
        /// Position among the owner's orders to this sidecar, from 1.
        sequence: u64,
    },
    /// Any to any: are you there, and what do you know.
    Probe(Digest),
    /// Entry to any: run this configuration unless yours is newer.
    OfferConfiguration(ConfigurationOffer),
    /// Any to entry: send your configuration.
    FetchConfiguration,
    /// Entry to any: an operator asks.
    Operate(OperatorQuery),
}

/// A node's configuration and how far it has read the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationOffer {
    /// The configuration.
    pub image: ConfigurationImage,
    /// The first offset of the stream that the node has not read.
    pub next: Offset,
}

/// Who asks, as the receiving entry has established it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The environment.
    pub environment: EnvironmentId,
    /// The client account.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
}

/// Begins a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Create {
    /// Whose it is.
    pub caller: Caller,
    /// Its id, drawn by the receiving entry.
    pub program: ProgramId,
    /// The caller's key: the same key gives the same program.
    pub key: Option<String>,
    /// All that it may spend.
    pub budget: Usage,
    /// When its result is of no more use, in Unix milliseconds.
    pub deadline_ms: u64,
}

/// A call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Whose program it is.
    pub caller: Caller,
    /// The program.
    pub program: ProgramId,
    /// The branch.
    pub branch: BranchId,
    /// The call's id, drawn by the receiving entry.
    pub call: CallId,
    /// The caller's key: a retry with the same key is the same call.
    pub key: Option<String>,
    /// Where a run of it has been seen, such as before its owner was lost.
    pub seen_at: Option<EndpointId>,
    /// What to do.
    pub work: Work,
}

/// What a call does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Ask a model. The branch's history goes before the messages.
    Model {
        /// The model or adapter.
        model: ModelId,
        /// New messages.
        messages: Vec<Message>,
        /// Stop after so many tokens.
        max_tokens: u32,
    },
    /// Call a service.
    Tool {
        /// The service in the environment document.
        service: String,
        /// What is sent.
        operation: String,
        /// The JSON argument.
        body: String,
        /// Whether it may run twice.
        repeatable: bool,
    },
}

/// What a sidecar needs to order a call among others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Priority {
    /// The environment.
    pub environment: EnvironmentId,
    /// Whether the environment is in production.
    pub production: bool,
    /// The client account.
    #[serde(rename = "member")]
    pub client_account: ClientAccountId,
    /// The client account's share among client accounts, 1 for an ordinary one.
    pub share: f64,
    /// Service that the program has had so far, in tokens.
    pub attained_tokens: u64,
    /// Time left until the program's deadline, in milliseconds.
    pub slack_ms: u64,
}

/// A generation for a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// What the engine does.
    pub request: GenerateRequest,
    /// Where it stands among others.
    pub priority: Priority,
    /// The partition whose owner asks.
    pub partition: Partition,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Prompt tokens that the owner believes to be in the engine's cache.
    pub expected_cached_tokens: u32,
    /// Prompt tokens that this program's endpoints have computed before.
    pub seen_tokens: u32,
}

/// A service call for a sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Invoke {
    /// What is sent to the service.
    pub request: ServiceRequest,
    /// Where it stands among others.
    pub priority: Priority,
    /// The partition whose owner asks.
    pub partition: Partition,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// What limits it to one run; `None` for a repeatable call.
    pub once: Option<Once>,
    /// Longest time in the service, in milliseconds.
    pub limit_ms: u64,
}

/// What limits a call that may not be repeated to one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Once {
    /// The only run of the sidecar that may run it.
    pub incarnation: Incarnation,
    /// Offset of its intent in the partition's stream.
    pub intent: Offset,
}

/// Part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// The call has been accepted; this is its id (the first run's id for a retry).
    Accepted {
        /// The call.
        call: CallId,
    },
    /// A run of the call has started; tokens that follow belong to it. A run that differs from
    /// the one before replaces its tokens.
    Started {
        /// Names the run.
        run: u64,
        /// Where it runs.
        endpoint: EndpointId,
    },
    /// Some text.
    Tokens(Tokens),
}

/// Some text of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tokens {
    /// Position of the first token in the answer.
    pub index: u32,
    /// How many tokens the text has.
    pub count: u32,
    /// The text.
    pub text: String,
}

/// The end of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The program has begun, or had begun under the same key.
    Created {
        /// The program.
        program: ProgramId,
        /// How safe it is.
        durability: Durability,
    },
    /// A call is done.
    Answer(Answer),
    /// A program's turns.
    History(Vec<HistoryTurn>),
    /// Done; nothing to say.
    Done,
    /// A sidecar's generation is whole.
    Generated(Generated),
    /// A sidecar's service call is over, or what became of it.
    Action(ActionReply),
    /// Tokens that the engine still holds for a released program.
    Held {
        /// Tokens; 0 when it is gone.
        tokens: u64,
    },
    /// Entries that a sidecar holds for an owner that could not write them.
    Kept(Vec<Entry>),
    /// The answer to a probe.
    Probed(Digest),
    /// The configuration version that the node runs after an offer.
    Configured {
        /// The version.
        version: Offset,
    },
    /// The configuration that was asked for.
    Configuration(ConfigurationOffer),
    /// The answer to an operator's question.
    Operated(OperatorReply),
    /// Not done.
    Refused(Refusal),
}

/// The messages of this system's links.
pub(crate) enum Messages {}

impl crate::transport::link::Protocol for Messages {
    type Request = Request;
    type Event = Event;
    type Reply = Reply;
}
