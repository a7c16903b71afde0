//! Request and response bodies of the engine protocol.

use crate::ids::{Epoch, parse_id};
use crate::protocol::engine::{EngineOrder, GenerateRequest};
use crate::protocol::message::Message;
use crate::standin::server::Response;
use serde::Deserialize;

/// The body of a generation request.
#[derive(Deserialize)]
pub(crate) struct CompletionRequest {
    model: String,
    messages: Vec<Message>,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    request_id: String,
    program: String,
}

impl CompletionRequest {
    /// Validates the request and converts it. The error is a response with status 400.
    pub(crate) fn into_generate_request(self) -> Result<GenerateRequest, Response> {
        if !self.stream {
            return Err(Response::error(400, "invalid", "Only streams are served."));
        }
        let ids = parse_id(&self.request_id).zip(parse_id(&self.program));
        let Some((call, program)) = ids else {
            return Err(Response::error(400, "invalid", "An id is malformed."));
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

/// The body of an order request.
#[derive(Deserialize)]
pub(crate) struct OrderRequest {
    /// The fencing number.
    pub(crate) fence: Epoch,
    /// The order.
    pub(crate) order: EngineOrder,
}

/// Creates the response for an unknown stream or cache.
pub(crate) fn unknown_response() -> Response {
    Response::error(404, "unknown", "There is no such stream or cache.")
}

/// Creates the response with the number of tokens that a program has in the cache.
pub(crate) fn held_response(tokens: u64) -> Response {
    Response::json(200, &serde_json::json!({"held_tokens": tokens}))
}
