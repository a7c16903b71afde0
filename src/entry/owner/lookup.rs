//! Finding the answer of a call that ran before, in memory or in the log.

use crate::coordination::partition::CommitError;
use crate::coordination::partition::{LogHealth, PartitionHandle};
use crate::entry::Entry;
use crate::entry::owner::answer::refuse_history;
use crate::entry::owner::program::{AnswerEnd, Answers, Owned};
use crate::ids::{CallId, Offset};
use crate::protocol::engine::EngineUsage;
use crate::protocol::image::{Action, ActionPhase};
use crate::protocol::link::{Answer, Durability};
use crate::protocol::log::Log;
use crate::protocol::record::{ActionResult, Entry as Record, Outcome, Turn};
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::state::program::{TurnRef, key_fingerprint};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Duration;

/// When to come back for the outcome of an action that is being settled, in milliseconds.
const SETTLING_RETRY_MS: u64 = 500;

impl<L: Log> Entry<L> {
    /// Finds a call by its id or its key.
    pub(super) async fn find_call(
        &self,
        owned: &Owned<L>,
        call: CallId,
        key: Option<&str>,
    ) -> Result<Option<(CallId, Answers)>, Refusal> {
        if let Some(known) = owned.live.known(call, key) {
            return Ok(Some(known));
        }
        let (turn, action) = owned.handle.with_state(|state| {
            let Some(program) = state.program(owned.live.id) else {
                return (None, None);
            };
            let by_key = key.and_then(|key| program.turn_by_key(key));
            let turn = by_key.or_else(|| program.turn_by_call(call));
            let mark = key_fingerprint(key);
            let same = |a: &&Action| a.call == call || (mark != 0 && a.key == mark);
            // The newest one: an action that has not run may have been tried again.
            let action = program.actions.iter().rev().find(same).cloned();
            (turn, action)
        });
        if let Some(place) = turn {
            let found = self.answer_of_turn(owned, place, call, key).await?;
            if found.is_some() {
                return Ok(found);
            }
        }
        match action {
            Some(action) => self.answer_of_action(owned, &action, call).await,
            None => Ok(None),
        }
    }

    /// Makes the answer of a turn in the log, unless its mark matched by chance.
    async fn answer_of_turn(
        &self,
        owned: &Owned<L>,
        place: TurnRef,
        call: CallId,
        key: Option<&str>,
    ) -> Result<Option<(CallId, Answers)>, Refusal> {
        let entries = self.entries_at(owned, place.offset).await?;
        let same = |turn: &&Turn| {
            let by_key = key.is_some() && turn.key.as_deref() == key;
            turn.program == owned.live.id && (turn.call == call || by_key)
        };
        let turn = entries.iter().filter_map(as_turn).find(same);
        let Some(turn) = turn else {
            return Ok(None);
        };
        let outcome = entries.iter().find_map(|entry| match entry {
            Record::Outcome(outcome) if outcome.call == turn.call => Some(&outcome.result),
            _ => None,
        });
        let status = match outcome {
            Some(ActionResult::Done(reply)) => Some(reply.status),
            _ => None,
        };
        let answer = Answer {
            call: turn.call,
            content: last_content(turn),
            status,
            usage: EngineUsage::default(),
            spent: owned.live.with_ledger(|ledger| ledger.spent()),
            durability: Durability::Committed {
                offset: place.offset,
            },
        };
        Ok(Some((turn.call, Answers::ended(Ok(answer)))))
    }

    /// Makes the answer of an action without a turn; `None` if it has not run and may be tried.
    async fn answer_of_action(
        &self,
        owned: &Owned<L>,
        action: &Action,
        call: CallId,
    ) -> Result<Option<(CallId, Answers)>, Refusal> {
        let refusal = match action.state {
            // Its id has been used; a retry with its key comes under a new one.
            ActionPhase::NotRun(_) if action.call == call => {
                let message = "The action was voided before it ran.";
                Refusal::not_run(RefusalCode::EndpointFailed, message)
                    .retry_after_ms(SETTLING_RETRY_MS)
            }
            ActionPhase::NotRun(_) => return Ok(None),
            ActionPhase::Open => {
                let message = "The outcome of the action is being settled.";
                Refusal::unknown(RefusalCode::UnknownOutcome, message)
                    .retry_after_ms(SETTLING_RETRY_MS)
            }
            ActionPhase::Unknown(_) => {
                let message = "The outcome of the action is not known; a person resolves it.";
                Refusal::unknown(RefusalCode::UnknownOutcome, message)
            }
            ActionPhase::Done(offset) => {
                let end = self.answer_of_outcome(owned, action, offset).await?;
                return Ok(Some((action.call, Answers::ended(end))));
            }
        };
        Ok(Some((action.call, Answers::ended(Err(refusal)))))
    }

    /// Makes the answer of an action that ran from the reply in its outcome, which may be the one
    /// that a person has entered.
    async fn answer_of_outcome(
        &self,
        owned: &Owned<L>,
        action: &Action,
        offset: Offset,
    ) -> Result<AnswerEnd, Refusal> {
        let entries = self.entries_at(owned, offset).await?;
        let mut outcomes = entries.iter().filter_map(as_outcome);
        let outcome = outcomes.find(|outcome| outcome.call == action.call);
        let end = match outcome {
            Some(Outcome {
                result: ActionResult::Done(reply),
                ..
            }) => Ok(Answer {
                call: action.call,
                content: reply.body.clone(),
                status: Some(reply.status),
                usage: EngineUsage::default(),
                spent: owned.live.with_ledger(|ledger| ledger.spent()),
                durability: Durability::Committed { offset },
            }),
            _ => Err(Refusal {
                ran: Ran::Yes,
                ..Refusal::not_run(
                    RefusalCode::AnswerLost,
                    "The action ran; its answer was not kept.",
                )
            }),
        };
        Ok(end)
    }

    async fn entries_at(&self, owned: &Owned<L>, offset: Offset) -> Result<Vec<Record>, Refusal> {
        let read = owned.handle.entries_at(offset).await;
        read.map_err(|error| refuse_history(&error))
    }

    /// Commits entries; `None` if the log does not take them for a while. They stay in line.
    pub(super) async fn commit(
        &self,
        handle: &PartitionHandle<L>,
        entries: Vec<Record>,
    ) -> Result<Option<Offset>, CommitError> {
        let commit = handle.push(entries)?;
        let patience = self.patience(handle);
        let late = async {
            Timer::after(patience).await;
            Ok(None)
        };
        async { commit.await.map(Some) }.or(late).await
    }

    /// Returns how long a commit is waited for.
    pub(super) fn patience(&self, handle: &PartitionHandle<L>) -> Duration {
        match is_log_down(handle) {
            true => self.0.config.commit_patience / 10,
            false => self.0.config.commit_patience,
        }
    }
}

fn as_turn(entry: &Record) -> Option<&Turn> {
    match entry {
        Record::Turn(turn) => Some(turn),
        Record::Snapshot(crate::protocol::record::Snapshot::Relocated(inner)) => as_turn(inner),
        _ => None,
    }
}

fn as_outcome(entry: &Record) -> Option<&Outcome> {
    match entry {
        Record::Outcome(outcome) => Some(outcome),
        Record::Snapshot(crate::protocol::record::Snapshot::Relocated(inner)) => as_outcome(inner),
        _ => None,
    }
}

/// Returns the text of a turn's answer.
pub(super) fn last_content(turn: &Turn) -> String {
    let last = turn.messages.last();
    last.map(|message| message.content.clone())
        .unwrap_or_default()
}

/// Tells whether the log is down; one lost answer is settled by reading and is no outage.
pub(super) fn is_log_down<L: Log>(handle: &PartitionHandle<L>) -> bool {
    match handle.log_health() {
        LogHealth::Up => false,
        LogHealth::Down { since } => since.elapsed() >= OUTAGE_AFTER,
    }
}

/// The log counts as down when it has not answered for so long.
const OUTAGE_AFTER: Duration = Duration::from_millis(1_500);
