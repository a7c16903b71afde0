//! Model calls: the branch's history and new messages go to an engine, the turn to the log.

use crate::coordination::choice::Target;
use crate::coordination::partition::LogHealth;
use crate::entry::Entry;
use crate::entry::dispatch::{Finished, Sending};
use crate::entry::owner::answer::log_down;
use crate::entry::owner::branch::{CallJob, Tail, token_bound};
use crate::entry::owner::budget::Reservation;
use crate::entry::owner::program::Owned;
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

/// A model call as it came.
struct ModelCall<'a> {
    model: &'a ModelId,
    messages: &'a [Message],
    max_tokens: u32,
}

/// What a repeatable call has brought, ready for its turn.
pub(super) struct Product {
    /// New messages of the branch.
    pub(super) messages: Vec<Message>,
    /// What it spent.
    pub(super) spent: Usage,
    /// Upper bound of the tokens that the branch has then.
    pub(super) branch_tokens: u64,
    /// The endpoint that ran it.
    pub(super) endpoint: String,
    /// Token counts.
    pub(super) usage: EngineUsage,
    /// The service's status.
    pub(super) status: Option<u16>,
}

impl<L: Log> Entry<L> {
    /// Runs a call that may run twice.
    pub(super) async fn produce(
        &self,
        owned: &Owned<L>,
        tail: &Tail,
        job: &CallJob,
        limit: Duration,
    ) -> Result<Product, Refusal> {
        self.check_backlog(owned)?;
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
                self.run_model(owned, tail, job, call, limit).await
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
                self.run_tool(owned, tail, job, call, limit).await
            }
        }
    }

    /// Refuses a call whose turn may find no room while the log is down.
    fn check_backlog(&self, owned: &Owned<L>) -> Result<(), Refusal> {
        if let LogHealth::Up = owned.handle.log_health() {
            return Ok(());
        }
        let (_, bytes) = owned.handle.backlog();
        if bytes > self.0.config.partition.commit.backlog_bytes / 2 {
            return Err(log_down());
        }
        Ok(())
    }

    async fn run_model(
        &self,
        owned: &Owned<L>,
        tail: &Tail,
        job: &CallJob,
        call: ModelCall<'_>,
        limit: Duration,
    ) -> Result<Product, Refusal> {
        let version = self.model_version(owned, call.model)?;
        let bound = tail.tokens + token_bound(call.messages);
        let cost = Usage {
            tokens: bound + u64::from(call.max_tokens),
            calls: 1,
            time_ms: limit.as_millis() as u64,
        };
        let cost = owned
            .live
            .with_ledger(|ledger| cap_time(cost, ledger.remaining()));
        self.reserve(owned, cost).await?;
        let mut reservation = Reservation::new(self, owned, cost);
        let generate = self.generate_request(owned, tail, job, &call)?;
        let prompt_tokens = u32::try_from(bound / TOKEN_BYTES).unwrap_or(u32::MAX);
        let mut sending = Sending {
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
            failed: SmallVec::new(),
        };
        let finished = self.generate(&mut sending, generate, &job.text).await?;
        reservation.spent = spent_of(&finished);
        Ok(product(tail, job, call.messages, finished))
    }

    /// Returns the least version of a model that the program's environment asks for.
    fn model_version(&self, owned: &Owned<L>, model: &ModelId) -> Result<u32, Refusal> {
        let served = self.0.environments.get(&owned.live.environment);
        let version = served.and_then(|served| served.document.model_version(model));
        version.ok_or_else(|| {
            let message = "The environment has no such model.";
            Refusal::not_run(RefusalCode::Invalid, message)
        })
    }

    fn generate_request(
        &self,
        owned: &Owned<L>,
        tail: &Tail,
        job: &CallJob,
        call: &ModelCall<'_>,
    ) -> Result<Generate, Refusal> {
        let mut messages = tail.messages.clone();
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

    /// Says where a program's calls stand among others.
    pub(super) fn priority(&self, owned: &Owned<L>) -> Result<Priority, Refusal> {
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

/// Bytes of text that make about one token.
const TOKEN_BYTES: u64 = 4;

/// Limits the time that a call reserves to what the budget has left.
fn cap_time(cost: Usage, left: Usage) -> Usage {
    Usage {
        time_ms: cost.time_ms.min(left.time_ms.max(1)),
        ..cost
    }
}

fn spent_of(finished: &Finished) -> Usage {
    let usage = finished.generated.usage;
    Usage {
        tokens: u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens),
        calls: 1,
        time_ms: finished.generated.ran_ms,
    }
}

fn product(tail: &Tail, job: &CallJob, asked: &[Message], finished: Finished) -> Product {
    let spent = spent_of(&finished);
    let content = job.text.with_parts(|parts| {
        parts
            .iter()
            .map(|part| part.text.as_str())
            .collect::<String>()
    });
    let answer = Message::new(Role::Assistant, content);
    let mut messages = asked.to_vec();
    messages.push(answer);
    // The engine's own count, with room for what frames the answer.
    let counted = spent.tokens + token_bound(&[]) + FRAME_TOKENS;
    let bound = tail.tokens + token_bound(&messages);
    Product {
        messages,
        spent,
        branch_tokens: counted.min(bound),
        endpoint: finished.endpoint,
        usage: finished.generated.usage,
        status: None,
    }
}

/// Tokens that an engine may add to frame an answer when it becomes part of a prompt.
const FRAME_TOKENS: u64 = 8;
