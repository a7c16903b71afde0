//! Bodies of the engine's protocol.

use crate::ids::{Epoch, parse_id};
use crate::protocol::engine::{EngineOrder, GenerateRequest};
use crate::protocol::message::Message;
use crate::standin::server::Answer;
use serde::Deserialize;

/// The body of a generation request.
#[derive(Deserialize)]
pub(crate) struct Completion {
    model: String,
    messages: Vec<Message>,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    request_id: String,
    program: String,
}

impl Completion {
    /// Checks the request.
    pub(crate) fn decode(self) -> Result<GenerateRequest, Answer> {
        if !self.stream {
            return Err(Answer::refused(400, "invalid", "Only streams are served."));
        }
        let ids = parse_id(&self.request_id).zip(parse_id(&self.program));
        let Some((call, program)) = ids else {
            return Err(Answer::refused(400, "invalid", "An id is malformed."));
        };
        Ok(GenerateRequest {
            call,
            program,
            model: self.model,
            messages: self.messages,
            max_tokens: self.max_tokens,
        })
    }
}

/// The body of an order.
#[derive(Deserialize)]
pub(crate) struct Order {
    /// The fencing number.
    pub(crate) fence: Epoch,
    /// The order.
    pub(crate) order: EngineOrder,
}

/// The answer about an unknown stream or cache.
pub(crate) fn unknown() -> Answer {
    Answer::refused(404, "unknown", "There is no such stream or cache.")
}

/// The answer with what a program holds.
pub(crate) fn held(tokens: u64) -> Answer {
    Answer::json(200, &serde_json::json!({"held_tokens": tokens}))
}
