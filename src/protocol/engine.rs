//! Model engines: continuous batching, a prefix cache with limited memory, and no priorities.

use crate::ids::{CallId, Epoch, ModelId, ProgramId};
use crate::protocol::message::Message;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;

/// One generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the stream for resume and cancel.
    pub call: CallId,
    /// Whose cache the prompt belongs to; released as a whole.
    pub program: ProgramId,
    /// The model or adapter.
    pub model: ModelId,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Stop after so many tokens.
    pub max_tokens: u32,
}

/// What a stream yields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Some text.
    Delta {
        /// Position of the first token in the answer.
        index: u32,
        /// How many tokens the text has.
        tokens: u32,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    Done(EngineUsage),
}

/// Token counts of a finished stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt found in the cache.
    pub cached_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// Load as the engine reports it, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Streams being generated.
    pub running: u32,
    /// Streams admitted and waiting.
    pub waiting: u32,
    /// Tokens of cache in use.
    pub cache_used_tokens: u64,
    /// Tokens of cache in all.
    pub cache_total_tokens: u64,
    /// Models and adapters loaded, with their versions.
    pub models: Vec<(ModelId, u32)>,
}

/// A change in the engine's cache; events are late and have gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event stream; a gap means lost events.
    pub sequence: u64,
    /// Whose cache.
    pub program: ProgramId,
    /// Tokens now held for the program; 0 when dropped.
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

/// Why an engine gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// No connection, or it broke.
    Unreachable(String),
    /// No such stream or cache.
    Unknown,
    /// The order's fencing number is old.
    Fenced,
    /// The engine refused, with its reason.
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

/// A running generation. Dropping it closes the connection, not the generation.
pub trait EngineStream: Send + 'static {
    /// Waits for the next event; `None` after [`EngineEvent::Done`].
    fn next(&mut self) -> impl Future<Output = Option<Result<EngineEvent, EngineError>>> + Send;
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The engine's streams.
    type Stream: EngineStream;

    /// Starts a generation.
    fn generate(
        &self,
        request: GenerateRequest,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Opens a running or finished generation again, from token `index` on.
    fn resume(
        &self,
        call: CallId,
        index: u32,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Stops a generation; stopping one that is gone is no error.
    fn cancel(&self, call: CallId) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Frees the cache of a program and returns the tokens still held (0 when it is gone).
    fn release(&self, program: ProgramId) -> impl Future<Output = Result<u64, EngineError>> + Send;

    /// Reads the load report.
    fn load(&self) -> impl Future<Output = Result<EngineLoad, EngineError>> + Send;

    /// Reads cache events after `sequence`.
    fn cache_events(
        &self,
        sequence: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, EngineError>> + Send;

    /// Takes a program's cache out as opaque bytes; the engine keeps its copy.
    fn export(
        &self,
        program: ProgramId,
    ) -> impl Future<Output = Result<Vec<u8>, EngineError>> + Send;

    /// Puts a program's cache in.
    fn import(
        &self,
        program: ProgramId,
        cache: Vec<u8>,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;

    /// Gives an order under a fencing number.
    fn order(
        &self,
        order: EngineOrder,
        fence: Epoch,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;
}
