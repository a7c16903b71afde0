//! Interface to model engines. An engine batches continuously, has a prefix cache of limited size,
//! and knows no priorities.

use crate::ids::{CallId, Epoch, ModelId, ProgramId};
use crate::protocol::failure::LostAnswer;
use crate::protocol::message::Message;
use crate::protocol::rate::RequestRate;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;

/// Request for a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identifies the stream for resume and cancel.
    pub call: CallId,
    /// The program to whose cache the prompt belongs. A program's cache is released as a whole.
    pub program: ProgramId,
    /// The model or adapter.
    pub model: ModelId,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
}

/// An event of a generation stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A chunk of text.
    Delta {
        /// Index of the first token within the answer.
        index: u32,
        /// Number of tokens in the text.
        tokens: u32,
        /// The text.
        text: String,
    },
    /// The answer is complete.
    Done(EngineUsage),
}

/// Token counts of a finished stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Load as reported by the engine. The report lags behind the actual load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Streams in generation.
    pub running: u32,
    /// Streams admitted and waiting.
    pub waiting: u32,
    /// Used cache, in tokens.
    pub cache_used_tokens: u64,
    /// Cache capacity, in tokens.
    pub cache_total_tokens: u64,
    /// Models and adapters loaded, with their versions.
    pub models: Vec<(ModelId, u32)>,
}

/// A change in the engine's cache. Events are delayed, and some may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event stream. A gap indicates lost events.
    pub sequence: u64,
    /// The program whose cache changed.
    pub program: ProgramId,
    /// Tokens now cached for the program; 0 after eviction.
    pub held_tokens: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Load a version of a model or adapter.
    Load {
        /// The model or adapter.
        model: ModelId,
        /// The version.
        version: u32,
    },
    /// Remove a model or adapter.
    Unload {
        /// The model or adapter.
        model: ModelId,
    },
}

/// Reason why an engine gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The connection failed or was lost.
    Unreachable(LostAnswer),
    /// The stream or cache does not exist.
    Unknown,
    /// The order's fencing token is outdated.
    Fenced,
    /// The engine refused the request for this reason.
    Refused(String),
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(why) => write!(f, "engine unreachable: {why}"),
            Self::Unknown => write!(f, "engine does not know it"),
            Self::Fenced => write!(f, "engine has a higher fencing number"),
            Self::Refused(why) => write!(f, "engine refused: {why}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// A running generation. Dropping it closes the connection but does not stop the generation.
pub trait EngineStream: Send + 'static {
    /// Waits for the next event; `None` after [`EngineEvent::Done`].
    fn next(&mut self) -> impl Future<Output = Option<Result<EngineEvent, EngineError>>> + Send;
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The engine's streams.
    type Stream: EngineStream;

    /// Returns the limit that the latest answer stated for the rate of generations, including
    /// streams that are read again; `None` if it stated none.
    fn rate_limit(&self) -> Option<RequestRate>;

    /// Starts a generation.
    fn generate(
        &self,
        request: GenerateRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Reopens the stream of a running or finished generation, starting at token `index`.
    fn resume(
        &self,
        call: CallId,
        index: u32,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Stops a generation. Stopping a generation that no longer exists is not an error.
    fn cancel(&self, call: CallId) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Frees the cache of a program and returns the number of tokens still cached.
    fn release(&self, program: ProgramId) -> impl Future<Output = Result<u64, EngineError>> + Send;

    /// Reads the load report.
    fn load(&self) -> impl Future<Output = Result<EngineLoad, EngineError>> + Send;

    /// Reads cache events after `sequence`.
    fn cache_events(
        &self,
        sequence: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, EngineError>> + Send;

    /// Exports a program's cache as opaque bytes. The engine keeps its copy.
    fn export(
        &self,
        program: ProgramId,
    ) -> impl Future<Output = Result<Vec<u8>, EngineError>> + Send;

    /// Imports a program's cache.
    fn import(
        &self,
        program: ProgramId,
        cache: Vec<u8>,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Sends an order with the owner's epoch as fencing token.
    fn order(
        &self,
        order: EngineOrder,
        fence: Epoch,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;
}
