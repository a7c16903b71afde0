//! Settling actions whose outcome is not known: asking the one sidecar that may have run them.

use crate::coordination::partition::{PartitionEvent, PartitionHandle};
use crate::entry::owner::action::{Settled, not_run, spent_on};
use crate::entry::owner::answer::refuse_no_owner;
use crate::entry::owner::program::Owned;
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

/// Pause between two questions about one action.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for one answer about an action.
const SETTLE_ANSWER: Duration = Duration::from_secs(2);

/// Pause between two looks whether a branch's action is settled.
const SETTLED_PAUSE: Duration = Duration::from_millis(20);

/// How long a sidecar that does not answer is asked before the outcome is left to a person.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

impl<L: Log> Entry<L> {
    /// Follows the ownership of all partitions.
    pub(in crate::entry) fn watch_partitions(&self) {
        for (handle, partition) in self.0.partitions.iter().zip(0..) {
            let changes = handle.subscribe();
            let entry = self.clone();
            let handle = handle.clone();
            self.0.spawner.spawn(async move {
                while let Ok(change) = changes.recv().await {
                    match change {
                        PartitionEvent::OwnershipGained(epoch) => {
                            entry.take_over(&handle, partition, epoch).await;
                        }
                        PartitionEvent::OwnershipLost(epoch) => entry.drop_epoch(epoch),
                        PartitionEvent::Applied { .. } => {}
                    }
                }
            });
        }
    }

    /// Ends what this node did for a partition in an epoch that is over.
    fn drop_epoch(&self, epoch: Epoch) {
        log::info!(target: "owner", "owner: epoch {epoch} is over");
        let refusal = refuse_no_owner();
        for live in self.0.programs.all() {
            if live.epoch == epoch {
                live.abandon(&refusal);
                self.0.programs.remove(live.id);
            }
        }
    }

    /// Begins an epoch: takes over what was pending, opens the partition for calls, and settles
    /// the actions that the owner before has left open.
    async fn take_over(&self, handle: &PartitionHandle<L>, partition: Partition, epoch: Epoch) {
        log::info!(target: "owner", "owner: epoch {epoch} of partition {partition} begins");
        self.take_over_kept(handle, partition).await;
        self.0.programs.open(partition, epoch);
        for (caller, program, action) in open_actions(handle, epoch) {
            let entry = self.clone();
            self.0.spawner.spawn(async move {
                entry.settle_open(&caller, program, action).await;
            });
        }
    }

    async fn settle_open(&self, caller: &Caller, program: ProgramId, action: Action) {
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
        let turn = self.settled_turn(&owned, &action, &settled.result).await;
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

    /// Makes the turn of an action that ran under the owner before. Calls of its branch wait until
    /// it is settled, so that the log has the branch's end.
    async fn settled_turn(
        &self,
        owned: &Owned<L>,
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

    /// Reads the caller's key for an action from its intent.
    async fn intent_key(&self, owned: &Owned<L>, action: &Action) -> Option<String> {
        let entries = owned.handle.entries_at(action.offset).await.ok()?;
        let mut intents = entries.into_iter().filter_map(into_intent);
        intents.find(|intent| intent.call == action.call)?.key
    }

    /// Waits until no action of a branch is open; those of the owner before are being settled.
    pub(super) async fn await_settled(
        &self,
        owned: &Owned<L>,
        branch: BranchId,
        limit: Duration,
    ) -> Result<(), Refusal> {
        let give_up = Instant::now() + limit;
        while has_open_action(owned, branch) {
            if owned.handle.epoch() != Some(owned.epoch) {
                return Err(refuse_no_owner());
            }
            if Instant::now() >= give_up {
                return Err(refuse_unsettled());
            }
            Timer::after(SETTLED_PAUSE).await;
        }
        Ok(())
    }

    /// Finds out what became of an action.
    pub(super) async fn settle_action(
        &self,
        owned: &Owned<L>,
        call: CallId,
        endpoint: &EndpointId,
        once: AtMostOnce,
        cost: Usage,
    ) -> Settled {
        let unknown = |why: &str| Settled {
            result: ActionResult::Unknown(why.to_string()),
            spent: cost,
        };
        let mut give_up = Instant::now() + SETTLE_LIMIT;
        while Instant::now() < give_up {
            match self.ask_settle(owned, call, endpoint, once).await {
                Some(reply) => match reply.state {
                    ActionState::Over(result) => {
                        return Settled {
                            spent: spent_on(&result, reply.ran_ms, cost),
                            result,
                        };
                    }
                    ActionState::Voided => return not_run("voided before it was dispatched"),
                    ActionState::Unknown => return unknown("the sidecar cannot tell"),
                    ActionState::Running => give_up = Instant::now() + SETTLE_LIMIT,
                },
                None if self.is_replaced(endpoint, once) => {
                    return unknown("the sidecar that may have run it is no more");
                }
                None => {}
            }
            Timer::after(SETTLE_PAUSE).await;
        }
        unknown("the sidecar that may have run it does not answer")
    }

    async fn ask_settle(
        &self,
        owned: &Owned<L>,
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
        let late = async {
            Timer::after(SETTLE_ANSWER).await;
            None
        };
        let ask = async { self.0.links.ask(endpoint, request).await.ok() };
        match ask.or(late).await? {
            Reply::Action(reply) => Some(reply),
            _ => None,
        }
    }

    /// Tells whether another run of a sidecar has taken the place of the one that matters.
    fn is_replaced(&self, endpoint: &EndpointId, once: AtMostOnce) -> bool {
        let members = lock(&self.0.members);
        let known = members.node(endpoint).map(|node| node.incarnation);
        known.is_some_and(|known| known != 0 && known != once.incarnation)
    }
}

fn has_open_action<L: Log>(owned: &Owned<L>, branch: BranchId) -> bool {
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

/// Refuses a call since the one before it in its branch is not settled in time.
fn refuse_unsettled() -> Refusal {
    let message = "The action before is still being settled.";
    Refusal::not_run(RefusalCode::Deadline, message)
}

/// Returns the open actions of earlier epochs; those of this one are seen through where they run.
fn open_actions<L: Log>(
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
