//! Tool calls that may run twice.

use crate::coordination::choice::{CallOutcome, Target};
use crate::entry::Entry;
use crate::entry::dispatch::{Sending, unreachable_endpoint};
use crate::entry::owner::branch::{CallJob, Tail, token_bound};
use crate::entry::owner::budget::Reservation;
use crate::entry::owner::model::Product;
use crate::entry::owner::program::Owned;
use crate::ids::partition_of;
use crate::protocol::engine::EngineUsage;
use crate::protocol::link::{ActionState, Invoke};
use crate::protocol::log::Log;
use crate::protocol::message::{Message, Role, Usage};
use crate::protocol::record::ActionResult;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::{ServiceReply, ServiceRequest};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// A tool call as it came.
#[derive(Clone, Copy)]
pub(super) struct ToolCall<'a> {
    /// The service in the environment document.
    pub(super) service: &'a str,
    /// The operation.
    pub(super) operation: &'a str,
    /// The JSON argument.
    pub(super) body: &'a str,
}

impl<L: Log> Entry<L> {
    /// Calls a service, at another endpoint where one fails.
    pub(super) async fn run_tool(
        &self,
        owned: &Owned<L>,
        tail: &Tail,
        job: &CallJob,
        call: ToolCall<'_>,
        limit: Duration,
    ) -> Result<Product, Refusal> {
        let cost = self.tool_cost(owned, limit);
        self.reserve(owned, cost).await?;
        let mut reservation = Reservation::new(self, owned, cost);
        let invoke = self.invoke_request(owned, job, call, limit)?;
        let mut sending = tool_sending(owned, job, call.service, limit);
        let mut attempts = 0;
        loop {
            let choice = self.choose(&sending)?;
            let mut sent = self.begin_sent(&sending, &choice, attempts);
            let invoked = self.invoke_at(&choice.endpoint, invoke.clone()).await;
            sent.end = CallOutcome::Answered;
            let refusal = match invoked {
                Ok(action) => match action.state {
                    ActionState::Over(ActionResult::Done(reply)) => {
                        reservation.spent = tool_spent(action.ran_ms);
                        return Ok(product(tail, choice.endpoint, reply, reservation.spent));
                    }
                    ActionState::Over(ActionResult::NotRun(why) | ActionResult::Unknown(why)) => {
                        Refusal::not_run(RefusalCode::EndpointFailed, why)
                    }
                    _ => Refusal::not_run(RefusalCode::EndpointFailed, "The call was lost."),
                },
                Err(error) => {
                    sent.end = CallOutcome::Failed;
                    unreachable_endpoint(&error)
                }
            };
            drop(sent);
            attempts += 1;
            self.back_off(&mut sending, &choice.endpoint, attempts, refusal)
                .await?;
        }
    }

    /// Returns what a tool call reserves.
    pub(super) fn tool_cost(&self, owned: &Owned<L>, limit: Duration) -> Usage {
        let left = owned.live.with_ledger(|ledger| ledger.remaining());
        Usage {
            tokens: 0,
            calls: 1,
            time_ms: (limit.as_millis() as u64).min(left.time_ms.max(1)),
        }
    }

    /// Writes the request to a service's sidecar.
    pub(super) fn invoke_request(
        &self,
        owned: &Owned<L>,
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

/// Describes a tool call to the chooser.
pub(super) fn tool_sending<'a, L>(
    owned: &'a Owned<L>,
    job: &CallJob,
    service: &'a str,
    limit: Duration,
) -> Sending<'a> {
    Sending {
        call: job.call.call,
        program: owned.live.id,
        client_account: &owned.live.client_account,
        deadline: Instant::now() + limit,
        target: Target::Service(service),
        prompt_tokens: 0,
        answer_tokens: 0,
        repeatable: true,
        seen_at: None,
        failed: SmallVec::new(),
    }
}

/// Returns what a service call spent.
pub(super) fn tool_spent(ran_ms: u64) -> Usage {
    Usage {
        tokens: 0,
        calls: 1,
        time_ms: ran_ms,
    }
}

/// Makes the message that a service's answer becomes.
pub(super) fn tool_message(reply: &ServiceReply) -> Message {
    Message::new(Role::Tool, reply.body.clone())
}

fn product(tail: &Tail, endpoint: String, reply: ServiceReply, spent: Usage) -> Product {
    let messages = vec![tool_message(&reply)];
    Product {
        branch_tokens: tail.tokens + token_bound(&messages),
        messages,
        spent,
        endpoint,
        usage: EngineUsage::default(),
        status: Some(reply.status),
    }
}
