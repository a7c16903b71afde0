//! Constructors and builder methods of [`CallRequest`].

use crate::ids::BranchId;
use crate::protocol::caller::CallRequest;
use crate::protocol::message::Message;

impl CallRequest {
    /// Creates a model call that generates at most `max_tokens` tokens.
    pub fn model(model: impl Into<String>, messages: Vec<Message>, max_tokens: u32) -> Self {
        Self {
            model: Some(model.into()),
            messages,
            max_tokens: Some(max_tokens),
            ..Self::default()
        }
    }

    /// Creates a tool call, which is not repeatable unless [`Self::repeatable`] is called.
    pub fn tool(
        service: impl Into<String>,
        operation: impl Into<String>,
        body: serde_json::Value,
    ) -> Self {
        Self {
            service: Some(service.into()),
            operation: Some(operation.into()),
            body,
            ..Self::default()
        }
    }

    /// Declares that a tool call may run more than once.
    pub fn repeatable(mut self) -> Self {
        self.repeatable = true;
        self
    }

    /// Sets the idempotency key: a request with the same key is the same call.
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the branch of the call.
    pub fn branch(mut self, branch: BranchId) -> Self {
        self.branch = branch;
        self
    }

    /// Sets whether the answer is streamed.
    pub(super) fn streamed(mut self, stream: bool) -> Self {
        self.stream = stream;
        self
    }
}
