//! Repeatable tool calls.

use crate::coordination::choice::Target;
use crate::entry::Entry;
use crate::entry::dispatch::DispatchedCall;
use crate::entry::hedging::FinishedInvocation;
use crate::entry::owner::branch::{BranchContext, CallJob, token_bound};
use crate::entry::owner::budget::Reservation;
use crate::entry::owner::model::CallOutput;
use crate::entry::owner::program::OwnedProgram;
use crate::ids::partition_of;
use crate::protocol::engine::EngineUsage;
use crate::protocol::link::Invoke;
use crate::protocol::log::Log;
use crate::protocol::message::{Message, Role, Usage};
use crate::protocol::refusal::Refusal;
use crate::protocol::service::{ServiceReply, ServiceRequest};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Parameters of a tool call.
#[derive(Clone, Copy)]
pub(super) struct ToolCall<'a> {
    /// Name of the service in the environment document.
    pub(super) service: &'a str,
    /// Operation of the service.
    pub(super) operation: &'a str,
    /// Request body, as JSON text.
    pub(super) body: &'a str,
}

impl<L: Log> Entry<L> {
    /// Calls a service, with further attempts at other endpoints if it is slow or fails.
    pub(super) async fn run_tool(
        &self,
        owned: &OwnedProgram<L>,
        context: &BranchContext,
        job: &CallJob,
        call: ToolCall<'_>,
        limit: Duration,
    ) -> Result<CallOutput, Refusal> {
        let attempt_limit = self.attempt_limit(owned, call.service, limit);
        let cost = self.tool_cost(owned, attempt_limit);
        self.reserve(owned, cost).await?;
        let mut reservation = Reservation::new(self, owned, cost);
        let invoke = self.invoke_request(owned, job, call, attempt_limit)?;
        let mut dispatch = tool_dispatch(owned, job, call.service, limit);
        let finished = self.invoke_repeatable(&mut dispatch, &invoke).await?;
        reservation.spent = tool_spent(finished.ran_ms);
        Ok(tool_output(context, finished, reservation.spent))
    }

    /// Returns the time limit of one attempt at a service: its timeout in the environment, capped by
    /// the limit of the whole call.
    pub(super) fn attempt_limit(
        &self,
        owned: &OwnedProgram<L>,
        service: &str,
        limit: Duration,
    ) -> Duration {
        let served = self.0.environments.get(&owned.live.environment);
        let rules = served
            .as_ref()
            .and_then(|s| s.document.services.get(service));
        rules.map_or(limit, |rules| {
            limit.min(Duration::from_millis(rules.timeout_ms))
        })
    }

    /// Returns the cost that a tool call reserves: one call and its time limit.
    ///
    /// The time is capped at the remaining budget, with a minimum of 1 ms.
    pub(super) fn tool_cost(&self, owned: &OwnedProgram<L>, limit: Duration) -> Usage {
        let remaining = owned.live.with_ledger(|ledger| ledger.remaining());
        Usage {
            tokens: 0,
            calls: 1,
            time_ms: (limit.as_millis() as u64).min(remaining.time_ms.max(1)),
        }
    }

    /// Builds the request to a service's sidecar, without an at-most-once binding.
    pub(super) fn invoke_request(
        &self,
        owned: &OwnedProgram<L>,
        job: &CallJob,
        call: ToolCall<'_>,
        limit: Duration,
    ) -> Result<Invoke, Refusal> {
        Ok(Invoke {
            request: ServiceRequest {
                operation: call.operation.to_string(),
                call: job.call.call,
                body: call.body.to_string(),
            },
            priority: self.priority(owned)?,
            partition: partition_of(owned.live.id, self.0.config.partitions),
            epoch: owned.epoch,
            once: None,
            limit_ms: limit.as_millis() as u64,
        })
    }
}

/// Builds the dispatch state of a tool call.
pub(super) fn tool_dispatch<'a, L>(
    owned: &'a OwnedProgram<L>,
    job: &CallJob,
    service: &'a str,
    limit: Duration,
) -> DispatchedCall<'a> {
    DispatchedCall {
        call: job.call.call,
        program: owned.live.id,
        client_account: &owned.live.client_account,
        deadline: Instant::now() + limit,
        target: Target::Service(service),
        prompt_tokens: 0,
        answer_tokens: 0,
        repeatable: true,
        seen_at: None,
        fingerprinted: job.fingerprinted,
        failed: SmallVec::new(),
    }
}

/// Returns the usage of a service call that ran for `ran_ms`.
pub(super) fn tool_spent(ran_ms: u64) -> Usage {
    Usage {
        tokens: 0,
        calls: 1,
        time_ms: ran_ms,
    }
}

/// Converts a service's reply into a tool message.
pub(super) fn tool_message(reply: &ServiceReply) -> Message {
    Message::new(Role::Tool, reply.body.clone())
}

fn tool_output(context: &BranchContext, finished: FinishedInvocation, spent: Usage) -> CallOutput {
    let messages = vec![tool_message(&finished.reply)];
    CallOutput {
        branch_tokens: context.tokens + token_bound(&messages),
        messages,
        spent,
        endpoint: finished.endpoint,
        usage: EngineUsage::default(),
        status: Some(finished.reply.status),
    }
}
