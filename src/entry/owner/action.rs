//! Non-repeatable tool calls (actions).
//!
//! An action commits an intent, is dispatched once, commits its outcome, and is answered only then.

use crate::coordination::choice::CallOutcome;
use crate::coordination::crashes::Lifetime;
use crate::coordination::partition::CommitError;
use crate::entry::Entry;
use crate::entry::owner::branch::{BranchContext, CallJob, token_bound};
use crate::entry::owner::budget::Reservation;
use crate::entry::owner::lookup::is_log_down;
use crate::entry::owner::program::{AnswerResult, OwnedProgram};
use crate::entry::owner::refusals::{
    LOG_RETRY_MS, refuse_commit, refuse_log_down, refuse_no_owner,
};
use crate::entry::owner::tool::{ToolCall, tool_dispatch, tool_message, tool_spent};
use crate::entry::owner::turn::next_turn;
use crate::ids::{EndpointId, Incarnation, Offset};
use crate::protocol::engine::EngineUsage;
use crate::protocol::link::{ActionState, Answer, AtMostOnce, Durability, Invoke, Work};
use crate::protocol::log::Log;
use crate::protocol::message::Usage;
use crate::protocol::record::{ActionResult, Intent, Outcome};
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

/// An action bound to the one sidecar incarnation that may run it.
struct PreparedAction {
    service: String,
    endpoint: EndpointId,
    incarnation: Incarnation,
    invoke: Invoke,
    cost: Usage,
}

/// Result and usage of a finished action.
pub(super) struct SettledAction {
    /// Done, not run, or unknown.
    pub(super) result: ActionResult,
    /// Usage charged to the program's budget.
    pub(super) spent: Usage,
}

impl<L: Log> Entry<L> {
    /// Runs a non-repeatable call. Refuses at once while the log is down.
    pub(super) async fn run_action(
        &self,
        owned: &OwnedProgram<L>,
        context: &mut BranchContext,
        job: &CallJob,
        limit: Duration,
    ) -> AnswerResult {
        if is_log_down(&owned.handle) {
            return Err(refuse_log_down());
        }
        self.admit(&job.fingerprinted).await?;
        let mut prepared = self.prepare_action(owned, job, limit).await?;
        let mut reservation = Reservation::new(self, owned, prepared.cost);
        let intent = build_intent(owned, job, &prepared);
        let Some(offset) = self.commit_intent(owned, intent, prepared.cost).await? else {
            self.void_intent(owned, job);
            return Err(refuse_log_down());
        };
        let once = AtMostOnce {
            incarnation: prepared.incarnation,
            intent: offset,
        };
        prepared.invoke.once = Some(once);
        let settled = self.dispatch_once(owned, job, &prepared, once).await;
        reservation.spent = settled.spent;
        drop(reservation);
        self.write_outcome(owned, context, job, &prepared.endpoint, settled)
            .await
    }

    /// Chooses an endpoint, fixes the sidecar's incarnation, and reserves the cost.
    async fn prepare_action(
        &self,
        owned: &OwnedProgram<L>,
        job: &CallJob,
        limit: Duration,
    ) -> Result<PreparedAction, Refusal> {
        let Work::Tool {
            service,
            operation,
            body,
            ..
        } = &job.call.work
        else {
            return Err(Refusal::not_run(RefusalCode::Invalid, "Not a tool call."));
        };
        let call = ToolCall {
            service,
            operation,
            body,
        };
        let attempt_limit = self.attempt_limit(owned, service, limit);
        let invoke = self.invoke_request(owned, job, call, attempt_limit)?;
        let dispatch = tool_dispatch(owned, job, service, limit);
        let choice = self.choose(&dispatch)?;
        let mut guard = self.record_dispatch(&dispatch, &choice, 0);
        let link = self.0.links.link(&choice.endpoint).await;
        guard.outcome = CallOutcome::Answered;
        let link = link.map_err(|error| {
            guard.outcome = CallOutcome::Failed;
            crate::entry::dispatch::refuse_unreachable(&error)
        })?;
        let cost = self.tool_cost(owned, attempt_limit);
        self.reserve(owned, cost).await?;
        Ok(PreparedAction {
            service: service.clone(),
            endpoint: choice.endpoint,
            incarnation: link.remote().incarnation,
            invoke,
            cost,
        })
    }

    /// Commits an intent. Returns `None` if the log does not commit it before the timeout.
    async fn commit_intent(
        &self,
        owned: &OwnedProgram<L>,
        intent: Intent,
        cost: Usage,
    ) -> Result<Option<Offset>, Refusal> {
        let committed = self.commit(&owned.handle, vec![intent.into()]).await;
        committed.map_err(|error| match error {
            // The intent may be committed, but it was not dispatched and never will be.
            CommitError::EpochEnded(_) | CommitError::Uncertain(_) => refuse_no_owner(),
            error => {
                log::debug!(
                    target: "owner",
                    "owner: intent with reserved cost {cost:?} was not written; refusing the call"
                );
                refuse_commit(&error)
            }
        })
    }

    /// Queues a `NotRun` outcome for an intent that may still be committed.
    fn void_intent(&self, owned: &OwnedProgram<L>, job: &CallJob) {
        let outcome = Outcome {
            program: owned.live.id,
            call: job.call.call,
            result: ActionResult::NotRun("not dispatched, since the log was down".to_string()),
            spent: Usage::default(),
            resolved_by: None,
        };
        // The outcome is queued behind the intent. If the outcome is lost with this node, the next
        // owner's settlement has the same result.
        if owned.handle.push(vec![outcome.into()]).is_err() {
            log::warn!(
                target: "owner",
                "owner: could not queue a NotRun outcome; leaving the action to the next owner"
            );
        }
    }

    /// Dispatches an action once. If the reply is lost, asks the sidecar for the result.
    async fn dispatch_once(
        &self,
        owned: &OwnedProgram<L>,
        job: &CallJob,
        prepared: &PreparedAction,
        once: AtMostOnce,
    ) -> SettledAction {
        let invoke = prepared.invoke.clone();
        let limit = Duration::from_millis(invoke.limit_ms) + self.0.config.link.silence_timeout;
        let timeout = async {
            Timer::after(limit).await;
            Err(crate::transport::link::LinkError::Broken)
        };
        let sent_at = Instant::now();
        let invoked = self.invoke_at(&prepared.endpoint, invoke).or(timeout).await;
        match invoked {
            Ok(action) => match action.state {
                ActionState::Finished(result) => {
                    let crashed = action.crashed.map(|lifetime| (lifetime, sent_at));
                    self.judge_action(job, &prepared.endpoint, &result, crashed);
                    return SettledAction {
                        spent: action_usage(&result, action.ran_ms, prepared.cost),
                        result,
                    };
                }
                ActionState::Voided => return not_run("voided at the sidecar"),
                ActionState::Running | ActionState::Unknown => {}
            },
            Err(error) => {
                log::info!(
                    target: "owner",
                    "owner: no reply to a dispatched action, querying its sidecar: {error}"
                );
            }
        }
        let endpoint = &prepared.endpoint;
        self.settle_action(owned, job.call.call, endpoint, once, prepared.cost)
            .await
    }

    /// Records what the result of an action says of its input. `crashed` is the lifetime of the endpoint
    /// that ended under it, with the time at which the action was sent.
    fn judge_action(
        &self,
        job: &CallJob,
        endpoint: &EndpointId,
        result: &ActionResult,
        crashed: Option<(Lifetime, Instant)>,
    ) {
        let call = &job.fingerprinted;
        match (result, crashed) {
            (ActionResult::Done(_), _) => self.record_answer(call),
            (_, Some((lifetime, sent_at))) => {
                self.record_crash(call, endpoint, lifetime, sent_at);
            }
            _ => {}
        }
    }

    /// Commits an action's outcome, with a turn if it ran, and returns its answer.
    async fn write_outcome(
        &self,
        owned: &OwnedProgram<L>,
        context: &mut BranchContext,
        job: &CallJob,
        endpoint: &EndpointId,
        settled: SettledAction,
    ) -> AnswerResult {
        let outcome = Outcome {
            program: owned.live.id,
            call: job.call.call,
            result: settled.result.clone(),
            spent: settled.spent,
            resolved_by: None,
        };
        let mut entries = vec![outcome.into()];
        if let ActionResult::Done(reply) = &settled.result {
            let messages = vec![tool_message(reply)];
            let spent = Usage::default();
            let turn = next_turn(
                owned,
                context,
                job,
                messages,
                spent,
                context.tokens,
                endpoint.clone(),
            );
            context.add(&turn, context.tokens + token_bound(&turn.messages));
            entries.push(turn.into());
        }
        let committed = self.commit_outcome(owned, entries).await?;
        action_answer(owned, job, settled.result, committed)
    }

    /// Commits an outcome, waiting as long as the log takes. No caller sees it before the commit.
    async fn commit_outcome(
        &self,
        owned: &OwnedProgram<L>,
        entries: Vec<crate::protocol::record::Entry>,
    ) -> Result<Offset, Refusal> {
        let commit = loop {
            match owned.handle.push(entries.clone()) {
                Ok(commit) => break commit,
                Err(CommitError::Full) => Timer::after(BACKLOG_RETRY_INTERVAL).await,
                Err(_) => return Err(refuse_settled_by_next_owner()),
            };
        };
        commit.await.map_err(|_| refuse_settled_by_next_owner())
    }
}

/// Pause before an outcome is queued again after a full backlog.
const BACKLOG_RETRY_INTERVAL: Duration = Duration::from_millis(100);

fn build_intent<L>(owned: &OwnedProgram<L>, job: &CallJob, prepared: &PreparedAction) -> Intent {
    Intent {
        program: owned.live.id,
        branch: job.call.branch,
        call: job.call.call,
        key: job.call.key.clone(),
        service: prepared.service.clone(),
        request: prepared.invoke.request.clone(),
        endpoint: prepared.endpoint.clone(),
        incarnation: prepared.incarnation,
        reserved: prepared.cost,
    }
}

/// Returns the usage of an action. An unknown result is charged the full reservation.
pub(super) fn action_usage(result: &ActionResult, ran_ms: u64, cost: Usage) -> Usage {
    match result {
        ActionResult::Done(_) => tool_spent(ran_ms.min(cost.time_ms)),
        ActionResult::NotRun(_) => Usage::default(),
        ActionResult::Unknown(_) => cost,
    }
}

pub(super) fn not_run(reason: &str) -> SettledAction {
    SettledAction {
        result: ActionResult::NotRun(reason.to_string()),
        spent: Usage::default(),
    }
}

/// Builds the answer of an action whose outcome is committed.
fn action_answer<L: Log>(
    owned: &OwnedProgram<L>,
    job: &CallJob,
    result: ActionResult,
    offset: Offset,
) -> AnswerResult {
    match result {
        ActionResult::Done(reply) => Ok(Answer {
            call: job.call.call,
            content: reply.body,
            status: Some(reply.status),
            usage: EngineUsage::default(),
            spent: owned.live.with_ledger(|ledger| ledger.spent()),
            durability: Durability::Committed { offset },
        }),
        ActionResult::NotRun(reason) => {
            let refusal = Refusal::not_run(RefusalCode::EndpointFailed, reason);
            Err(refusal.retry_after_ms(LOG_RETRY_MS))
        }
        ActionResult::Unknown(reason) => Err(Refusal::unknown(RefusalCode::UnknownOutcome, reason)),
    }
}

/// Refusal for an action that the next owner settles.
///
/// A retry with the same key or id returns the outcome.
fn refuse_settled_by_next_owner() -> Refusal {
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(
            RefusalCode::UnknownOutcome,
            "The partition changed its owner; the next one settles the action.",
        )
    }
    .retry_after_ms(LOG_RETRY_MS)
}
