//! Writing turns: committed to the log, or replicated to another VM until the commit.

use crate::coordination::partition::{Commit, CommitError};
use crate::entry::Entry;
use crate::entry::owner::branch::{BranchContext, CallJob};
use crate::entry::owner::lookup::last_content;
use crate::entry::owner::model::CallOutput;
use crate::entry::owner::program::{AnswerResult, OwnedProgram};
use crate::entry::owner::refusals::{LOG_RETRY_MS, refuse_commit, refuse_no_owner};
use crate::ids::{CallId, EndpointId, NodeId, Offset};
use crate::protocol::link::{Answer, Durability};
use crate::protocol::log::Log;
use crate::protocol::message::{Message, Usage};
use crate::protocol::record::Turn;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::budget::Ledger;
use crate::state::receipt::ReceiptKey;
use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl<L: Log> Entry<L> {
    /// Writes a call's turn and returns its answer once the turn is committed or replicated.
    pub(super) async fn write_turn(
        &self,
        owned: &OwnedProgram<L>,
        context: &mut BranchContext,
        job: &CallJob,
        output: CallOutput,
    ) -> AnswerResult {
        let turn = Arc::new(next_turn(
            owned,
            context,
            job,
            output.messages,
            output.spent,
            output.branch_tokens,
            output.endpoint,
        ));
        let commit = owned.handle.push(vec![Turn::clone(&turn).into()]);
        let commit = commit.map_err(|error| {
            owned
                .live
                .with_ledger(|ledger| ledger.restore_unrecorded(turn.spent));
            refuse_commit(&error)
        })?;
        owned.live.add_pending(turn.clone());
        context.add(&turn, output.branch_tokens);
        let durability = self.wait_for_turn(owned, &turn, commit).await?;
        let content = last_content(&turn);
        Ok(Answer {
            call: turn.call,
            content,
            status: output.status,
            usage: output.usage,
            spent: owned.live.with_ledger(|ledger| ledger.spent()),
            durability,
        })
    }

    /// Waits for a turn's commit. After the commit timeout, replicates it and returns `Pending`.
    async fn wait_for_turn(
        &self,
        owned: &OwnedProgram<L>,
        turn: &Arc<Turn>,
        commit: Commit,
    ) -> Result<Durability, Refusal> {
        let (result_sender, result) = async_channel::bounded(1);
        let entry = self.clone();
        let (live, call) = (owned.live.clone(), turn.call);
        // A separate task completes the commit even if the caller stops waiting.
        self.0.spawner.spawn(async move {
            let committed = commit.await;
            match &committed {
                Ok(_) | Err(CommitError::Ignored(_)) => live.remove_pending(call),
                Err(CommitError::EpochEnded(entries) | CommitError::Uncertain(entries)) => {
                    entry.forward_to_owner(entries.clone());
                }
                Err(_) => {}
            }
            let _ = result_sender.send(committed).await;
        });
        let timeout = async {
            Timer::after(self.commit_timeout(&owned.handle)).await;
            None
        };
        match async { result.recv().await.ok() }.or(timeout).await {
            Some(committed) => durability_of(committed),
            None => self.wait_for_replica(owned, turn, result).await,
        }
    }

    /// Waits until a turn is replicated to another VM, or is committed after all.
    ///
    /// Refuses with an unknown outcome if neither happens within the call timeout.
    async fn wait_for_replica(
        &self,
        owned: &OwnedProgram<L>,
        turn: &Arc<Turn>,
        result: Receiver<Result<Offset, CommitError>>,
    ) -> Result<Durability, Refusal> {
        let deadline = Instant::now() + self.0.config.call_timeout;
        while Instant::now() < deadline {
            let entries = vec![Turn::clone(turn).into()];
            let replicated = self
                .replicate_entries(owned.live.id, entries, Some(&turn.endpoint))
                .await;
            if let Some(replica_node) = replicated {
                self.drop_replicas_when_committed(owned, turn.call, replica_node, result);
                return Ok(Durability::Pending {
                    receipt: ReceiptKey::new(&self.0.config.secret).sign(turn),
                });
            }
            if let Ok(committed) = result.try_recv() {
                return durability_of(committed);
            }
            Timer::after(REPLICATE_RETRY_INTERVAL).await;
        }
        let message = "Neither the log nor a second memory takes the turn yet.";
        let refusal = Refusal::unknown(RefusalCode::LogDown, message);
        Err(refusal.retry_after_ms(LOG_RETRY_MS))
    }

    fn drop_replicas_when_committed(
        &self,
        owned: &OwnedProgram<L>,
        call: CallId,
        replica_node: NodeId,
        result: Receiver<Result<Offset, CommitError>>,
    ) {
        let entry = self.clone();
        let program = owned.live.id;
        self.0.spawner.spawn(async move {
            if let Ok(Ok(_)) = result.recv().await {
                entry.drop_replicas(replica_node, program, vec![call]);
            }
        });
    }
}

fn durability_of(committed: Result<Offset, CommitError>) -> Result<Durability, Refusal> {
    match committed {
        Ok(offset) => Ok(Durability::Committed { offset }),
        Err(CommitError::Ignored(reason)) => Err(refuse_commit(&CommitError::Ignored(reason))),
        Err(CommitError::Uncertain(_)) => Err(refuse_uncertain()),
        Err(_) => Err(refuse_no_owner()),
    }
}

/// Pause before replication is tried again.
const REPLICATE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Refusal for a turn that may or may not be committed.
fn refuse_uncertain() -> Refusal {
    let message = "The partition changed its owner; read the call again.";
    Refusal::unknown(RefusalCode::NoOwner, message).retry_after_ms(LOG_RETRY_MS)
}

/// Builds the turn that follows the last one of a call's branch.
///
/// `branch_tokens` is an upper bound of the branch's tokens including this turn. The turn also charges
/// what failed runs have used and no record has.
pub(super) fn next_turn<L: Log>(
    owned: &OwnedProgram<L>,
    context: &BranchContext,
    job: &CallJob,
    messages: Vec<Message>,
    spent: Usage,
    branch_tokens: u64,
    endpoint: EndpointId,
) -> Turn {
    let used = owned.live.with_ledger(Ledger::take_unrecorded);
    Turn {
        program: owned.live.id,
        client_account: owned.live.client_account.clone(),
        branch: job.call.branch,
        number: context.number + 1,
        previous: context.hash,
        call: job.call.call,
        key: job.call.key.clone(),
        messages,
        spent: spent + used,
        reserved: owned.live.reserve_ahead(branch_tokens),
        endpoint,
    }
}
