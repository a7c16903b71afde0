//! Lookup of the answers of earlier calls, in memory and in the log.

use crate::coordination::partition::CommitError;
use crate::coordination::partition::{LogHealth, PartitionHandle};
use crate::entry::Entry;
use crate::entry::owner::program::{AnswerResult, AnswerStream, OwnedProgram};
use crate::entry::owner::refusals::refuse_history;
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

/// Retry delay sent to the caller while an action is being settled, in milliseconds.
const SETTLING_RETRY_MS: u64 = 500;

impl<L: Log> Entry<L> {
    /// Finds an earlier call by its id or key. Returns its actual id and its answer.
    pub(super) async fn find_call(
        &self,
        owned: &OwnedProgram<L>,
        call: CallId,
        key: Option<&str>,
    ) -> Result<Option<(CallId, AnswerStream)>, Refusal> {
        if let Some(known) = owned.live.find_call(call, key) {
            return Ok(Some(known));
        }
        let (turn, action) = owned.handle.with_state(|state| {
            let Some(program) = state.program(owned.live.id) else {
                return (None, None);
            };
            let by_key = key.and_then(|key| program.turn_by_key(key));
            let turn = by_key.or_else(|| program.turn_by_call(call));
            // A fingerprint of 0 stands for no key.
            let fingerprint = key_fingerprint(key);
            let is_match =
                |a: &&Action| a.call == call || (fingerprint != 0 && a.key == fingerprint);
            // The newest match counts: an action that did not run may have been tried again.
            let action = program.actions.iter().rev().find(is_match).cloned();
            (turn, action)
        });
        if let Some(location) = turn {
            let found = self.answer_of_turn(owned, location, call, key).await?;
            if found.is_some() {
                return Ok(found);
            }
        }
        match action {
            Some(action) => self.answer_of_action(owned, &action, call).await,
            None => Ok(None),
        }
    }

    /// Builds the answer of a committed turn. Returns `None` if only the key's fingerprint matched.
    async fn answer_of_turn(
        &self,
        owned: &OwnedProgram<L>,
        location: TurnRef,
        call: CallId,
        key: Option<&str>,
    ) -> Result<Option<(CallId, AnswerStream)>, Refusal> {
        let entries = self.entries_at(owned, location.offset).await?;
        let is_match = |turn: &&Turn| {
            let by_key = key.is_some() && turn.key.as_deref() == key;
            turn.program == owned.live.id && (turn.call == call || by_key)
        };
        let turn = entries.iter().filter_map(find_turn).find(is_match);
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
                offset: location.offset,
            },
        };
        Ok(Some((turn.call, AnswerStream::finished(Ok(answer)))))
    }

    /// Builds the answer of an action without a turn. Returns `None` if a retry may run it.
    async fn answer_of_action(
        &self,
        owned: &OwnedProgram<L>,
        action: &Action,
        call: CallId,
    ) -> Result<Option<(CallId, AnswerStream)>, Refusal> {
        let refusal = match action.state {
            // This call id is used up. A retry with the same key has a new id.
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
                let result = self.answer_of_outcome(owned, action, offset).await?;
                return Ok(Some((action.call, AnswerStream::finished(result))));
            }
        };
        Ok(Some((action.call, AnswerStream::finished(Err(refusal)))))
    }

    /// Builds the answer of an action that ran, from the reply in its outcome.
    ///
    /// An operator may have entered that reply.
    async fn answer_of_outcome(
        &self,
        owned: &OwnedProgram<L>,
        action: &Action,
        offset: Offset,
    ) -> Result<AnswerResult, Refusal> {
        let entries = self.entries_at(owned, offset).await?;
        let mut outcomes = entries.iter().filter_map(find_outcome);
        let outcome = outcomes.find(|outcome| outcome.call == action.call);
        let result = match outcome {
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
        Ok(result)
    }

    async fn entries_at(
        &self,
        owned: &OwnedProgram<L>,
        offset: Offset,
    ) -> Result<Vec<Record>, Refusal> {
        let read = owned.handle.entries_at(offset).await;
        read.map_err(|error| refuse_history(&error))
    }

    /// Commits entries. Returns `None` after the commit timeout; the entries stay queued.
    pub(super) async fn commit(
        &self,
        handle: &PartitionHandle<L>,
        entries: Vec<Record>,
    ) -> Result<Option<Offset>, CommitError> {
        let commit = handle.push(entries)?;
        let commit_timeout = self.commit_timeout(handle);
        let timeout = async {
            Timer::after(commit_timeout).await;
            Ok(None)
        };
        async { commit.await.map(Some) }.or(timeout).await
    }

    /// Returns the commit timeout: a tenth of the configured one while the log is down.
    pub(super) fn commit_timeout(&self, handle: &PartitionHandle<L>) -> Duration {
        match is_log_down(handle) {
            true => self.0.config.commit_timeout / 10,
            false => self.0.config.commit_timeout,
        }
    }
}

fn find_turn(entry: &Record) -> Option<&Turn> {
    match entry {
        Record::Turn(turn) => Some(turn),
        Record::Snapshot(crate::protocol::record::Snapshot::Relocated(inner)) => find_turn(inner),
        _ => None,
    }
}

fn find_outcome(entry: &Record) -> Option<&Outcome> {
    match entry {
        Record::Outcome(outcome) => Some(outcome),
        Record::Snapshot(crate::protocol::record::Snapshot::Relocated(inner)) => {
            find_outcome(inner)
        }
        _ => None,
    }
}

/// Returns the content of a turn's last message, or an empty text.
pub(super) fn last_content(turn: &Turn) -> String {
    let last = turn.messages.last();
    last.map(|message| message.content.clone())
        .unwrap_or_default()
}

/// Returns whether the log is down.
///
/// A single lost reply does not count, because a read of the log resolves it.
pub(super) fn is_log_down<L: Log>(handle: &PartitionHandle<L>) -> bool {
    match handle.log_health() {
        LogHealth::Up => false,
        LogHealth::Down { since } => since.elapsed() >= LOG_OUTAGE_THRESHOLD,
    }
}

/// Time without an answer after which the log counts as down.
const LOG_OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);
