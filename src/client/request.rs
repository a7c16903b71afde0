//! Ways to write a call.

use crate::ids::BranchId;
use crate::protocol::caller::CallRequest;
use crate::protocol::message::Message;

impl CallRequest {
    /// A model call.
    pub fn model(model: impl Into<String>, messages: Vec<Message>, max_tokens: u32) -> Self {
        Self {
            model: Some(model.into()),
            messages,
            max_tokens: Some(max_tokens),
            ..Self::default()
        }
    }

    /// A tool call that may not be repeated.
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

    /// Says that a tool call may run twice.
    pub fn repeatable(mut self) -> Self {
        self.repeatable = true;
        self
    }

    /// Gives the key that makes a retry the same call.
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Puts the call into a branch.
    pub fn branch(mut self, branch: BranchId) -> Self {
        self.branch = branch;
        self
    }

    /// Says whether the answer comes as a stream.
    pub(super) fn streamed(mut self, stream: bool) -> Self {
        self.stream = stream;
        self
    }
}
