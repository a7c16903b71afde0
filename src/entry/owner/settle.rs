//! Takeover of partitions, and settlement of actions with an unknown outcome.
//!
//! The only source for such an outcome is the sidecar that may have run the action.

use crate::coordination::partition::{PartitionEvent, PartitionHandle};
use crate::entry::owner::action::{SettledAction, action_usage, not_run};
use crate::entry::owner::program::OwnedProgram;
use crate::entry::owner::refusals::refuse_no_owner;
use crate::entry::owner::tool::tool_message;
use crate::entry::{Entry, lock};
use crate::ids::{BranchId, CallId, EndpointId, Epoch, Partition, ProgramId, partition_of};
use crate::protocol::image::{self, Action};
use crate::protocol::link::{ActionReply, ActionState, AtMostOnce, Caller, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::message::Usage;
use crate::protocol::record::{ActionResult, Entry as LogEntry, Intent, Outcome, Snapshot, Turn};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::partition::PartitionState;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

/// Pause between two queries about one action.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait for the reply to one query about an action.
const SETTLE_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Polling interval while a branch waits for its open actions to be settled.
const SETTLED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without a result after which an action becomes unknown and an operator must resolve it.
///
/// It restarts whenever the sidecar reports the action as running.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

impl<L: Log> Entry<L> {
    /// Starts tasks that react to gaining and losing ownership of partitions.
    pub(in crate::entry) fn watch_partitions(&self) {
        for (handle, partition) in self.0.partitions.iter().zip(0..) {
            let events = handle.subscribe();
            let entry = self.clone();
            let handle = handle.clone();
            self.0.spawner.spawn(async move {
                while let Ok(event) = events.recv().await {
                    match event {
                        PartitionEvent::OwnershipGained(epoch) => {
                            entry.take_over(&handle, partition, epoch).await;
                        }
                        PartitionEvent::OwnershipLost(epoch) => entry.end_epoch(epoch),
                        PartitionEvent::Applied { .. } => {}
                    }
                }
            });
        }
    }

    /// Aborts the calls of an epoch that has ended and removes its programs from memory.
    fn end_epoch(&self, epoch: Epoch) {
        log::info!(target: "owner", "owner: epoch {epoch} ended, dropping its programs");
        let refusal = refuse_no_owner();
        for live in self.0.programs.all() {
            if live.epoch == epoch {
                live.abandon(&refusal);
                self.0.programs.remove(live.id);
            }
        }
    }

    /// Starts an epoch: recovers pending entries, opens the partition for calls, and settles the
    /// actions that the previous owner left open.
    async fn take_over(&self, handle: &PartitionHandle<L>, partition: Partition, epoch: Epoch) {
        log::info!(
            target: "owner",
            "owner: epoch {epoch} of partition {partition} started, recovering pending entries"
        );
        self.recover_pending(handle, partition).await;
        self.0.programs.open_partition(partition, epoch);
        for (caller, program, action) in actions_of_earlier_epochs(handle, epoch) {
            let entry = self.clone();
            self.0.spawner.spawn(async move {
                entry.settle_open_action(&caller, program, action).await;
            });
        }
    }

    async fn settle_open_action(&self, caller: &Caller, program: ProgramId, action: Action) {
        let Ok(owned) = self.owned_program(caller, program) else {
            return;
        };
        let once = AtMostOnce {
            incarnation: action.incarnation,
            intent: action.intent,
        };
        let settled = self
            .settle_action(&owned, action.call, &action.endpoint, once, action.reserved)
            .await;
        owned
            .live
            .with_ledger(|ledger| ledger.settle(action.reserved, settled.spent));
        let turn = self
            .build_settled_turn(&owned, &action, &settled.result)
            .await;
        let outcome = Outcome {
            program,
            call: action.call,
            result: settled.result,
            spent: settled.spent,
            resolved_by: None,
        };
        let mut entries = vec![outcome.into()];
        entries.extend(turn.map(Into::into));
        if let Err(error) = owned.handle.commit(entries).await {
            log::info!(target: "owner", "owner: settlement left to the next owner: {error}");
        }
    }

    /// Builds the turn of an action that ran under the previous owner. Returns `None` if it did not
    /// run.
    ///
    /// The branch's calls wait until the action is settled, so the log holds the last turn.
    async fn build_settled_turn(
        &self,
        owned: &OwnedProgram<L>,
        action: &Action,
        result: &ActionResult,
    ) -> Option<Turn> {
        let ActionResult::Done(reply) = result else {
            return None;
        };
        let key = self.intent_key(owned, action).await;
        let find_head = |state: &PartitionState| {
            let program = state.program(owned.live.id)?;
            Some(program.head(action.branch))
        };
        let head = owned.handle.with_state(find_head)?;
        Some(Turn {
            program: owned.live.id,
            client_account: owned.live.client_account.clone(),
            branch: action.branch,
            number: head.number + 1,
            previous: head.hash,
            call: action.call,
            key,
            messages: vec![tool_message(reply)],
            spent: Usage::default(),
            reserved: owned.live.reserve_ahead(0),
            endpoint: action.endpoint.clone(),
        })
    }

    /// Reads the caller's idempotency key of an action from its intent in the log.
    async fn intent_key(&self, owned: &OwnedProgram<L>, action: &Action) -> Option<String> {
        let entries = owned.handle.entries_at(action.offset).await.ok()?;
        let mut intents = entries.into_iter().filter_map(into_intent);
        intents.find(|intent| intent.call == action.call)?.key
    }

    /// Waits until a branch has no open action. Those of the previous owner are settled meanwhile.
    pub(super) async fn wait_for_open_actions(
        &self,
        owned: &OwnedProgram<L>,
        branch: BranchId,
        limit: Duration,
    ) -> Result<(), Refusal> {
        let deadline = Instant::now() + limit;
        while has_open_action(owned, branch) {
            if owned.handle.epoch() != Some(owned.epoch) {
                return Err(refuse_no_owner());
            }
            if Instant::now() >= deadline {
                return Err(refuse_unsettled());
            }
            Timer::after(SETTLED_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Queries the sidecar of an action until its result is known.
    ///
    /// The result is unknown if the sidecar cannot tell, was restarted, or gives no result in time.
    pub(super) async fn settle_action(
        &self,
        owned: &OwnedProgram<L>,
        call: CallId,
        endpoint: &EndpointId,
        once: AtMostOnce,
        cost: Usage,
    ) -> SettledAction {
        let unknown = |reason: &str| SettledAction {
            result: ActionResult::Unknown(reason.to_string()),
            spent: cost,
        };
        let mut deadline = Instant::now() + SETTLE_TIMEOUT;
        while Instant::now() < deadline {
            match self.query_sidecar(owned, call, endpoint, once).await {
                Some(reply) => match reply.state {
                    ActionState::Finished(result) => {
                        return SettledAction {
                            spent: action_usage(&result, reply.ran_ms, cost),
                            result,
                        };
                    }
                    ActionState::Voided => return not_run("voided before it was dispatched"),
                    ActionState::Unknown => return unknown("the sidecar cannot tell"),
                    ActionState::Running => deadline = Instant::now() + SETTLE_TIMEOUT,
                },
                None if self.is_sidecar_replaced(endpoint, once) => {
                    return unknown("the sidecar that may have run it is no more");
                }
                None => {}
            }
            Timer::after(SETTLE_RETRY_INTERVAL).await;
        }
        unknown("the sidecar that may have run it does not answer")
    }

    async fn query_sidecar(
        &self,
        owned: &OwnedProgram<L>,
        call: CallId,
        endpoint: &EndpointId,
        once: AtMostOnce,
    ) -> Option<ActionReply> {
        let request = Request::Settle {
            partition: partition_of(owned.live.id, self.0.config.partitions),
            epoch: owned.epoch,
            call,
            once,
        };
        let timeout = async {
            Timer::after(SETTLE_REPLY_TIMEOUT).await;
            None
        };
        let ask = async { self.0.links.ask(endpoint, request).await.ok() };
        match ask.or(timeout).await? {
            Reply::Action(reply) => Some(reply),
            _ => None,
        }
    }

    /// Returns whether the sidecar has restarted since the action was bound to its incarnation.
    fn is_sidecar_replaced(&self, endpoint: &EndpointId, once: AtMostOnce) -> bool {
        let membership = lock(&self.0.membership);
        let current = membership.node(endpoint).map(|node| node.incarnation);
        current.is_some_and(|current| current != 0 && current != once.incarnation)
    }
}

fn has_open_action<L: Log>(owned: &OwnedProgram<L>, branch: BranchId) -> bool {
    owned.handle.with_state(|state| {
        let program = state.program(owned.live.id);
        let mut open = program.into_iter().flat_map(image::Program::open_actions);
        open.any(|action| action.branch == branch)
    })
}

fn into_intent(entry: LogEntry) -> Option<Intent> {
    match entry {
        LogEntry::Intent(intent) => Some(intent),
        LogEntry::Snapshot(Snapshot::Relocated(inner)) => into_intent(*inner),
        _ => None,
    }
}

/// Refusal for a call whose predecessor in the branch was not settled in time.
fn refuse_unsettled() -> Refusal {
    let message = "The action before is still being settled.";
    Refusal::not_run(RefusalCode::Deadline, message)
}

/// Returns the open actions of earlier epochs. Those of this epoch end with their own calls.
///
/// An epoch is the offset of its claim, so intents of earlier epochs have lower offsets.
fn actions_of_earlier_epochs<L: Log>(
    handle: &PartitionHandle<L>,
    epoch: Epoch,
) -> Vec<(Caller, ProgramId, Action)> {
    handle.with_state(|state| {
        let mut open = Vec::new();
        for program in state.programs() {
            let caller = Caller {
                environment: program.environment.clone(),
                client_account: program.client_account.clone(),
            };
            for action in program.open_actions().filter(|a| a.intent < epoch) {
                open.push((caller.clone(), program.program, action.clone()));
            }
        }
        open
    })
}
