//! JSON bodies of the caller interface, shared by entries and clients.

use crate::ids::{BranchId, CallId, ModelId, ProgramId, format_id, parse_id};
use crate::protocol::engine::EngineUsage;
use crate::protocol::link::{Answer, Durability, HistoryTurn, Tokens, Work};
use crate::protocol::message::{Message, Usage};
use crate::protocol::refusal::{Refusal, RefusalCode};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProgramRequest {
    /// Idempotency key: the same key returns the same program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Budget of the program. Missing parts default to those of the environment.
    pub budget: BudgetRequest,
    /// Time after which the result is of no use, in milliseconds from now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// A budget in which each part is optional.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetRequest {
    /// Prompt and completion tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens: Option<u64>,
    /// Model and tool calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub calls: Option<u64>,
    /// Total time in calls, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub time_ms: Option<u64>,
}

impl BudgetRequest {
    /// Fills missing parts from `defaults`.
    pub fn with_defaults(self, defaults: Usage) -> Usage {
        Usage {
            tokens: self.tokens.unwrap_or(defaults.tokens),
            calls: self.calls.unwrap_or(defaults.calls),
            time_ms: self.time_ms.unwrap_or(defaults.time_ms),
        }
    }
}

/// Answer of `POST /v1/programs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramAnswer {
    /// The program.
    #[serde(with = "hex_id")]
    pub program: ProgramId,
    /// Durability of the program's creation.
    #[serde(flatten)]
    pub durability: Durability,
}

/// Body of `POST /v1/programs/{program}/calls`: a model call or a tool call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallRequest {
    /// The branch.
    pub branch: BranchId,
    /// Idempotency key: the same key returns the same call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The model; `None` for a tool call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// New messages of a model call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Maximum number of tokens in the answer of a model call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The service; `None` for a model call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The service's operation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
    /// The JSON argument of a tool call.
    #[serde(skip_serializing_if = "serde_json::Value::is_null")]
    pub body: serde_json::Value,
    /// Whether a tool call may run more than once.
    pub repeatable: bool,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

impl CallRequest {
    /// Converts the request to its work, or refuses it with [`RefusalCode::Invalid`].
    pub fn into_work(self, default_max_tokens: u32) -> Result<Work, Refusal> {
        match (self.model, self.service) {
            (Some(_), Some(_)) => Err(invalid("Give a model or a service, not both.")),
            (None, None) => Err(invalid("Give a model or a service.")),
            (Some(_), None) if self.operation.is_some() => {
                Err(invalid("A model call has no operation."))
            }
            (Some(_), None) if self.messages.is_empty() => {
                Err(invalid("A model call needs messages."))
            }
            (Some(model), None) => Ok(Work::Model {
                model,
                messages: self.messages,
                max_tokens: self.max_tokens.unwrap_or(default_max_tokens),
            }),
            (None, Some(_)) if !self.messages.is_empty() => {
                Err(invalid("A tool call has no messages."))
            }
            (None, Some(service)) => Ok(Work::Tool {
                service,
                operation: self
                    .operation
                    .ok_or_else(|| invalid("A tool call needs an operation."))?,
                body: self.body.to_string(),
                repeatable: self.repeatable,
            }),
        }
    }
}

fn invalid(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Invalid, message)
}

/// Body of `POST /v1/programs/{program}/receipts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReceiptRequest {
    /// Receipt from an answer that was acknowledged as pending.
    pub receipt: String,
}

/// Data of the event `accepted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEvent {
    /// The call.
    #[serde(with = "hex_id")]
    pub call: CallId,
}

/// Data of the event `tokens`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokensEvent {
    /// Index of the first token within the answer.
    pub index: u32,
    /// Number of tokens in the text.
    pub count: u32,
    /// The text.
    pub text: String,
}

impl From<Tokens> for TokensEvent {
    fn from(tokens: Tokens) -> Self {
        Self {
            index: tokens.index,
            count: tokens.count,
            text: tokens.text,
        }
    }
}

impl From<TokensEvent> for Tokens {
    fn from(event: TokensEvent) -> Self {
        Self {
            index: event.index,
            count: event.count,
            text: event.text,
        }
    }
}

/// Answer of a call, and data of the event `done`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// The call.
    #[serde(with = "hex_id")]
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

impl From<Answer> for CallAnswer {
    fn from(answer: Answer) -> Self {
        Self {
            call: answer.call,
            content: answer.content,
            status: answer.status,
            usage: answer.usage,
            spent: answer.spent,
            durability: answer.durability,
        }
    }
}

impl From<CallAnswer> for Answer {
    fn from(answer: CallAnswer) -> Self {
        Self {
            call: answer.call,
            content: answer.content,
            status: answer.status,
            usage: answer.usage,
            spent: answer.spent,
            durability: answer.durability,
        }
    }
}

/// Answer of `GET /v1/programs/{program}/history`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The turns, sorted by branch and number.
    pub turns: Vec<TurnAnswer>,
}

/// One turn of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAnswer {
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, starting at 1.
    pub number: u32,
    /// The call that made it.
    #[serde(with = "hex_id")]
    pub call: CallId,
    /// The messages.
    pub messages: Vec<Message>,
    /// Whether the turn is in the log.
    pub committed: bool,
}

impl From<HistoryTurn> for TurnAnswer {
    fn from(turn: HistoryTurn) -> Self {
        Self {
            branch: turn.branch,
            number: turn.number,
            call: turn.call,
            messages: turn.messages,
            committed: turn.committed,
        }
    }
}

/// Serialisation of ids as 32 hexadecimal digits.
mod hex_id {
    use super::{format_id, parse_id};
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(id: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_id(*id))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_id(&text).ok_or_else(|| D::Error::custom("an id has 32 hexadecimal digits"))
    }
}
