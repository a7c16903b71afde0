//! Repeatable calls, and the model calls among them.
//!
//! A model call sends the branch's history and the new messages to an engine.

use crate::coordination::choice::Target;
use crate::coordination::partition::LogHealth;
use crate::entry::Entry;
use crate::entry::dispatch::{DispatchedCall, FinishedGeneration};
use crate::entry::owner::branch::{BranchContext, CallJob, token_bound};
use crate::entry::owner::budget::GenerationReservation;
use crate::entry::owner::program::OwnedProgram;
use crate::entry::owner::refusals::refuse_log_down;
use crate::entry::owner::tool::ToolCall;
use crate::entry::unix_ms;
use crate::ids::{ModelId, partition_of};
use crate::protocol::engine::{EngineUsage, GenerateRequest};
use crate::protocol::link::{Generate, Priority, Work};
use crate::protocol::log::Log;
use crate::protocol::message::{Message, Role, Usage};
use crate::protocol::refusal::{Refusal, RefusalCode};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Parameters of a model call.
struct ModelCall<'a> {
    model: &'a ModelId,
    messages: &'a [Message],
    max_tokens: u32,
}

/// Output of a repeatable call, from which its turn is built.
pub(super) struct CallOutput {
    /// Messages that the turn adds to the branch.
    pub(super) messages: Vec<Message>,
    /// Usage charged to the program's budget.
    pub(super) spent: Usage,
    /// Upper bound of the branch's tokens including the new messages.
    pub(super) branch_tokens: u64,
    /// Endpoint that ran the call.
    pub(super) endpoint: String,
    /// Token counts reported by the engine, zero for a tool call.
    pub(super) usage: EngineUsage,
    /// HTTP status of the service, `None` for a model call.
    pub(super) status: Option<u16>,
}

impl<L: Log> Entry<L> {
    /// Runs a repeatable call at an endpoint. The caller writes its turn.
    pub(super) async fn run_repeatable(
        &self,
        owned: &OwnedProgram<L>,
        context: &BranchContext,
        job: &CallJob,
        limit: Duration,
    ) -> Result<CallOutput, Refusal> {
        self.check_backlog(owned)?;
        self.admit(&job.fingerprinted).await?;
        match &job.call.work {
            Work::Model {
                model,
                messages,
                max_tokens,
            } => {
                let call = ModelCall {
                    model,
                    messages,
                    max_tokens: *max_tokens,
                };
                self.run_model(owned, context, job, call, limit).await
            }
            Work::Tool {
                service,
                operation,
                body,
                ..
            } => {
                let call = ToolCall {
                    service,
                    operation,
                    body,
                };
                self.run_tool(owned, context, job, call, limit).await
            }
        }
    }

    /// Refuses calls while the log is down and its backlog is more than half full.
    ///
    /// The turn of such a call might not fit into the backlog.
    fn check_backlog(&self, owned: &OwnedProgram<L>) -> Result<(), Refusal> {
        if let LogHealth::Up = owned.handle.log_health() {
            return Ok(());
        }
        let (_, bytes) = owned.handle.backlog();
        if bytes > self.0.config.partition.commit.backlog_bytes / 2 {
            return Err(refuse_log_down());
        }
        Ok(())
    }

    async fn run_model(
        &self,
        owned: &OwnedProgram<L>,
        context: &BranchContext,
        job: &CallJob,
        call: ModelCall<'_>,
        limit: Duration,
    ) -> Result<CallOutput, Refusal> {
        let version = self.model_version(owned, call.model)?;
        let bound = context.tokens + token_bound(call.messages);
        let cost = Usage {
            tokens: bound + u64::from(call.max_tokens),
            calls: 1,
            time_ms: limit.as_millis() as u64,
        };
        let cost = owned
            .live
            .with_ledger(|ledger| cap_time(cost, ledger.remaining()));
        let mut reservation = GenerationReservation::grant(self, owned, job, cost).await?;
        let generate = self.generate_request(owned, context, job, &call)?;
        let prompt_tokens = u32::try_from(bound / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let mut dispatch = DispatchedCall {
            call: job.call.call,
            program: owned.live.id,
            client_account: &owned.live.client_account,
            deadline: Instant::now() + limit,
            target: Target::Model {
                model: call.model,
                version,
            },
            prompt_tokens,
            answer_tokens: call.max_tokens,
            repeatable: true,
            seen_at: job.call.seen_at.clone(),
            fingerprinted: job.fingerprinted,
            failed: SmallVec::new(),
        };
        let finished = self
            .generate(&mut dispatch, generate, &mut reservation)
            .await?;
        reservation.finish(generation_usage(&finished));
        Ok(model_output(context, job, call.messages, finished))
    }

    /// Returns the minimum version of a model that the program's environment requires.
    fn model_version(&self, owned: &OwnedProgram<L>, model: &ModelId) -> Result<u32, Refusal> {
        let served = self.0.environments.get(&owned.live.environment);
        let version = served.and_then(|served| served.document.model_version(model));
        version.ok_or_else(|| {
            let message = "The environment has no such model.";
            Refusal::not_run(RefusalCode::Invalid, message)
        })
    }

    fn generate_request(
        &self,
        owned: &OwnedProgram<L>,
        context: &BranchContext,
        job: &CallJob,
        call: &ModelCall<'_>,
    ) -> Result<Generate, Refusal> {
        let mut messages = context.messages.clone();
        messages.extend_from_slice(call.messages);
        Ok(Generate {
            request: GenerateRequest {
                call: job.call.call,
                program: owned.live.id,
                model: call.model.clone(),
                messages,
                max_tokens: call.max_tokens,
            },
            priority: self.priority(owned)?,
            partition: partition_of(owned.live.id, self.0.config.partitions),
            epoch: owned.epoch,
            expected_cached_tokens: 0,
            seen_tokens: 0,
        })
    }

    /// Returns the scheduling priority of a program's calls.
    pub(super) fn priority(&self, owned: &OwnedProgram<L>) -> Result<Priority, Refusal> {
        let live = &owned.live;
        let served = self.0.environments.get(&live.environment);
        let served = served.ok_or_else(|| {
            let message = "The environment is retired.";
            Refusal::not_run(RefusalCode::Ended, message)
        })?;
        Ok(Priority {
            environment: live.environment.clone(),
            production: served.production,
            client_account: live.client_account.clone(),
            share: served.share(&live.client_account),
            attained_tokens: live.with_ledger(|ledger| ledger.spent().tokens),
            slack_ms: live.deadline_ms.saturating_sub(unix_ms()),
        })
    }
}

/// Approximate number of text bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Caps the reserved time at the remaining budget, with a minimum of 1 ms.
fn cap_time(cost: Usage, remaining: Usage) -> Usage {
    Usage {
        time_ms: cost.time_ms.min(remaining.time_ms.max(1)),
        ..cost
    }
}

fn generation_usage(finished: &FinishedGeneration) -> Usage {
    let usage = finished.generated.usage;
    Usage {
        tokens: u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens),
        calls: 1,
        time_ms: finished.generated.ran_ms,
    }
}

fn model_output(
    context: &BranchContext,
    job: &CallJob,
    request_messages: &[Message],
    finished: FinishedGeneration,
) -> CallOutput {
    let spent = generation_usage(&finished);
    let content = job.answer.with_parts(|parts| {
        parts
            .iter()
            .map(|part| part.text.as_str())
            .collect::<String>()
    });
    let answer = Message::new(Role::Assistant, content);
    let mut messages = request_messages.to_vec();
    messages.push(answer);
    // The engine's token count plus an allowance for the framing of the answer.
    let counted = spent.tokens + token_bound(&[]) + ANSWER_FRAME_TOKENS;
    let bound = context.tokens + token_bound(&messages);
    CallOutput {
        messages,
        spent,
        branch_tokens: counted.min(bound),
        endpoint: finished.endpoint,
        usage: finished.generated.usage,
        status: None,
    }
}

/// Allowance for tokens that an engine adds to an answer when it becomes part of a prompt.
const ANSWER_FRAME_TOKENS: u64 = 8;
