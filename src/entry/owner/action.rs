//! Calls that may not be repeated: intent, one dispatch, outcome, and only then the answer.

use crate::coordination::choice::CallOutcome;
use crate::coordination::partition::CommitError;
use crate::entry::Entry;
use crate::entry::owner::answer::{LOG_RETRY_MS, log_down, refuse_commit, refuse_no_owner};
use crate::entry::owner::branch::{CallJob, Tail, token_bound};
use crate::entry::owner::budget::Reservation;
use crate::entry::owner::lookup::is_log_down;
use crate::entry::owner::program::{AnswerEnd, Owned};
use crate::entry::owner::tool::{ToolCall, tool_message, tool_sending, tool_spent};
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
use std::time::Duration;

/// An action with the sidecar's run that alone may run it.
struct Prepared {
    service: String,
    endpoint: EndpointId,
    incarnation: Incarnation,
    invoke: Invoke,
    cost: Usage,
}

/// What an action came to, and what it spent.
pub(super) struct Settled {
    /// The result.
    pub(super) result: ActionResult,
    /// What was spent.
    pub(super) spent: Usage,
}

impl<L: Log> Entry<L> {
    /// Runs a call that may not be repeated.
    pub(super) async fn run_action(
        &self,
        owned: &Owned<L>,
        tail: &mut Tail,
        job: &CallJob,
        limit: Duration,
    ) -> AnswerEnd {
        if is_log_down(&owned.handle) {
            return Err(log_down());
        }
        let mut prepared = self.prepare(owned, job, limit).await?;
        let mut reservation = Reservation::new(self, owned, prepared.cost);
        let intent = make_intent(owned, job, &prepared);
        let Some(offset) = self.commit_intent(owned, intent, prepared.cost).await? else {
            self.void_intent(owned, job);
            return Err(log_down());
        };
        let once = AtMostOnce {
            incarnation: prepared.incarnation,
            intent: offset,
        };
        prepared.invoke.once = Some(once);
        let settled = self.dispatch_once(owned, job, &prepared, once).await;
        reservation.spent = settled.spent;
        drop(reservation);
        self.write_outcome(owned, tail, job, &prepared.endpoint, settled)
            .await
    }

    /// Reserves the cost and finds the one run of a sidecar that may run the action.
    async fn prepare(
        &self,
        owned: &Owned<L>,
        job: &CallJob,
        limit: Duration,
    ) -> Result<Prepared, Refusal> {
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
        let invoke = self.invoke_request(owned, job, call, limit)?;
        let sending = tool_sending(owned, job, service, limit);
        let choice = self.choose(&sending)?;
        let mut sent = self.begin_sent(&sending, &choice, 0);
        let link = self.0.links.link(&choice.endpoint).await;
        sent.end = CallOutcome::Answered;
        let link = link.map_err(|error| {
            sent.end = CallOutcome::Failed;
            crate::entry::dispatch::unreachable_endpoint(&error)
        })?;
        let cost = self.tool_cost(owned, limit);
        self.reserve(owned, cost).await?;
        Ok(Prepared {
            service: service.clone(),
            endpoint: choice.endpoint,
            incarnation: link.remote().incarnation,
            invoke,
            cost,
        })
    }

    /// Commits an intent; `None` if the log did not take it in time.
    async fn commit_intent(
        &self,
        owned: &Owned<L>,
        intent: Intent,
        cost: Usage,
    ) -> Result<Option<Offset>, Refusal> {
        let committed = self.commit(&owned.handle, vec![intent.into()]).await;
        committed.map_err(|error| match error {
            // The log may have the intent, but nobody has dispatched it and nobody will.
            CommitError::Superseded(_) | CommitError::Uncertain(_) => refuse_no_owner(),
            error => {
                log::debug!(target: "owner", "owner: intent of {cost:?} not written");
                refuse_commit(&error)
            }
        })
    }

    /// Sees to it that an intent that may yet be committed is closed as not run.
    fn void_intent(&self, owned: &Owned<L>, job: &CallJob) {
        let outcome = Outcome {
            program: owned.live.id,
            call: job.call.call,
            result: ActionResult::NotRun("not dispatched, since the log was down".to_string()),
            spent: Usage::default(),
            resolved_by: None,
        };
        // In line behind the intent. If it is lost with this node, the next owner's settlement
        // comes to the same.
        if owned.handle.push(vec![outcome.into()]).is_err() {
            log::warn!(target: "owner", "owner: void of an intent left to the next owner");
        }
    }

    /// Dispatches an action once and finds out what became of it.
    async fn dispatch_once(
        &self,
        owned: &Owned<L>,
        job: &CallJob,
        prepared: &Prepared,
        once: AtMostOnce,
    ) -> Settled {
        let invoke = prepared.invoke.clone();
        let limit = Duration::from_millis(invoke.limit_ms) + self.0.config.link.deadline;
        let late = async {
            Timer::after(limit).await;
            Err(crate::transport::link::LinkError::Broken)
        };
        let invoked = self.invoke_at(&prepared.endpoint, invoke).or(late).await;
        match invoked {
            Ok(action) => match action.state {
                ActionState::Over(result) => {
                    return Settled {
                        spent: spent_on(&result, action.ran_ms, prepared.cost),
                        result,
                    };
                }
                ActionState::Voided => return not_run("voided at the sidecar"),
                ActionState::Running | ActionState::Unknown => {}
            },
            Err(error) => {
                log::info!(target: "owner", "owner: dispatch lost, settling it: {error}");
            }
        }
        let endpoint = &prepared.endpoint;
        self.settle_action(owned, job.call.call, endpoint, once, prepared.cost)
            .await
    }

    /// Writes an action's outcome, with a turn if it ran, and makes its answer.
    async fn write_outcome(
        &self,
        owned: &Owned<L>,
        tail: &mut Tail,
        job: &CallJob,
        endpoint: &EndpointId,
        settled: Settled,
    ) -> AnswerEnd {
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
                tail,
                job,
                messages,
                spent,
                tail.tokens,
                endpoint.clone(),
            );
            tail.add(&turn, tail.tokens + token_bound(&turn.messages));
            entries.push(turn.into());
        }
        let committed = self.commit_outcome(owned, entries).await?;
        answer(owned, job, settled.result, committed)
    }

    /// Commits an outcome before anybody hears it, however long the log takes.
    async fn commit_outcome(
        &self,
        owned: &Owned<L>,
        entries: Vec<crate::protocol::record::Entry>,
    ) -> Result<Offset, Refusal> {
        let commit = loop {
            match owned.handle.push(entries.clone()) {
                Ok(commit) => break commit,
                Err(CommitError::Full) => Timer::after(FULL_PAUSE).await,
                Err(_) => return Err(settled_elsewhere()),
            };
        };
        commit.await.map_err(|_| settled_elsewhere())
    }
}

/// Pause before a full backlog is tried again with an outcome.
const FULL_PAUSE: Duration = Duration::from_millis(100);

fn make_intent<L>(owned: &Owned<L>, job: &CallJob, prepared: &Prepared) -> Intent {
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

/// Returns what an action spent; one that may have run counts whole.
pub(super) fn spent_on(result: &ActionResult, ran_ms: u64, cost: Usage) -> Usage {
    match result {
        ActionResult::Done(_) => tool_spent(ran_ms.min(cost.time_ms)),
        ActionResult::NotRun(_) => Usage::default(),
        ActionResult::Unknown(_) => cost,
    }
}

pub(super) fn not_run(why: &str) -> Settled {
    Settled {
        result: ActionResult::NotRun(why.to_string()),
        spent: Usage::default(),
    }
}

/// Makes the answer of an action whose outcome is in the log.
fn answer<L: Log>(
    owned: &Owned<L>,
    job: &CallJob,
    result: ActionResult,
    offset: Offset,
) -> AnswerEnd {
    match result {
        ActionResult::Done(reply) => Ok(Answer {
            call: job.call.call,
            content: reply.body,
            status: Some(reply.status),
            usage: EngineUsage::default(),
            spent: owned.live.with_ledger(|ledger| ledger.spent()),
            durability: Durability::Committed { offset },
        }),
        ActionResult::NotRun(why) => {
            let refusal = Refusal::not_run(RefusalCode::EndpointFailed, why);
            Err(refusal.retry_after_ms(LOG_RETRY_MS))
        }
        ActionResult::Unknown(why) => Err(Refusal::unknown(RefusalCode::UnknownOutcome, why)),
    }
}

/// The next owner finds the outcome out; a retry with the same key or id gets it.
fn settled_elsewhere() -> Refusal {
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(
            RefusalCode::UnknownOutcome,
            "The partition changed its owner; the next one settles the action.",
        )
    }
    .retry_after_ms(LOG_RETRY_MS)
}
