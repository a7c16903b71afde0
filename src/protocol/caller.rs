//! JSON bodies of the caller interface, shared by the entries and by clients.

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
    /// The same key gives the same program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// What the program may spend; the environment gives what is missing.
    pub budget: BudgetRequest,
    /// Time until the result is of no more use, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
}

/// A budget of which each part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetRequest {
    /// Prompt and completion tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens: Option<u64>,
    /// Model and tool calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub calls: Option<u64>,
    /// Time in calls, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub time_ms: Option<u64>,
}

impl BudgetRequest {
    /// Takes what is missing from `defaults`.
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
    /// How safe it is.
    #[serde(flatten)]
    pub durability: Durability,
}

/// Body of `POST /v1/programs/{program}/calls`: a model call or a tool call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallRequest {
    /// The branch.
    pub branch: BranchId,
    /// The same key gives the same call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The model; `None` for a tool call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// New messages of a model call.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Longest answer of a model call.
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
    /// Whether a tool call may run twice.
    pub repeatable: bool,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
}

impl CallRequest {
    /// Tells what is to be done, or why the request makes no sense.
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
    /// The receipt of an answer that was pending.
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
    /// Position of the first token in the answer.
    pub index: u32,
    /// How many tokens the text has.
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
    /// The turns, in the order of their branches and numbers.
    pub turns: Vec<TurnAnswer>,
}

/// One turn of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAnswer {
    /// The branch.
    pub branch: BranchId,
    /// Position in the branch, from 1.
    pub number: u32,
    /// The call that made it.
    #[serde(with = "hex_id")]
    pub call: CallId,
    /// The messages.
    pub messages: Vec<Message>,
    /// Whether it is in the log yet.
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

/// Ids as 32 hexadecimal digits.
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
