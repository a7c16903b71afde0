//! Programs of the partitions that this node owns: creation, calls, history and end.

mod action;
mod branch;
pub(in crate::entry) mod budget;
mod end;
mod keep;
mod lookup;
mod model;
mod program;
mod programs;
mod refusals;
mod settle;
mod tool;
mod turn;

pub(crate) use program::{AnswerResult, AnswerStream};
pub(crate) use programs::Programs;
pub(crate) use refusals::refuse_no_owner;

use crate::coordination::partition::PartitionHandle;
use crate::entry::Entry;
use crate::ids::{CallId, Epoch, ProgramId, partition_of};
use crate::protocol::link::{Call, Caller, Create, Durability, HistoryTurn, Reply};
use crate::protocol::log::Log;
use crate::protocol::record::{Created, Turn};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::history::HistoryError;
use program::{LiveProgram, OwnedProgram};
use refusals::{refuse_commit, refuse_history, refuse_log_down};
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Polling interval while another request creates the same program.
const CREATE_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl<L: Log> Entry<L> {
    /// Creates a program, or returns the one that exists under the same id or key.
    ///
    /// If the log does not answer in time, the creation is replicated and answered as pending.
    pub(super) async fn create(&self, create: Create) -> Result<Reply, Refusal> {
        let handle = self.partition(create.program);
        let epoch = self.owned_epoch(create.program)?;
        if let Some(known) = self.find_existing(handle, &create) {
            return Ok(created_reply(
                known,
                handle.with_state(|state| state.last_accepted_offset()),
            ));
        }
        if self.is_leaving() {
            return Err(refuse_no_owner());
        }
        let live = LiveProgram::create(&create, epoch);
        let entry = Created {
            program: create.program,
            client_account: create.caller.client_account,
            environment: create.caller.environment,
            key: create.key,
            budget: create.budget,
            deadline_ms: create.deadline_ms,
            reserved: live.reserve_ahead(0),
        };
        let live = match self.0.programs.insert_new(entry.key.as_deref(), live) {
            Ok(live) => live,
            Err(first) => return self.wait_for_creation(handle, first).await,
        };
        let committed = self.commit(handle, vec![entry.clone().into()]).await;
        match committed {
            Ok(Some(offset)) => Ok(created_reply(live.id, offset)),
            Ok(None)
                if self
                    .replicate_entries(live.id, vec![entry.into()], None)
                    .await
                    .is_some() =>
            {
                Ok(pending_reply(live.id))
            }
            Ok(None) => Err(refuse_log_down()),
            Err(error) => {
                self.0.programs.remove(live.id);
                Err(refuse_commit(&error))
            }
        }
    }

    /// Finds a program of the caller that was created earlier under the same id or key.
    fn find_existing(&self, handle: &PartitionHandle<L>, create: &Create) -> Option<ProgramId> {
        let caller = &create.caller;
        handle.with_state(|state| {
            let same_id = state.program(create.program);
            let same_id = same_id.filter(|program| program.belongs_to(&caller.client_account));
            let by_key = create.key.as_deref().and_then(|key| {
                state.program_by_key(&caller.environment, &caller.client_account, key)
            });
            same_id.or(by_key).map(|program| program.program)
        })
    }

    /// Waits until another request with the same key has created the program.
    ///
    /// Answers as pending after the commit timeout.
    async fn wait_for_creation(
        &self,
        handle: &PartitionHandle<L>,
        first: ProgramId,
    ) -> Result<Reply, Refusal> {
        let deadline = Instant::now() + self.0.config.commit_timeout;
        while Instant::now() < deadline {
            if handle.with_state(|state| state.program(first).is_some()) {
                return Ok(created_reply(
                    first,
                    handle.with_state(|state| state.last_accepted_offset()),
                ));
            }
            if !self.0.programs.contains(first) {
                return Err(refuse_no_owner());
            }
            Timer::after(CREATE_POLL_INTERVAL).await;
        }
        Ok(pending_reply(first))
    }

    /// Runs a call, or returns the answer of an earlier call with the same id or key.
    pub(super) async fn call(&self, call: Call) -> Result<(CallId, AnswerStream), Refusal> {
        let owned = self.owned_program(&call.caller, call.program)?;
        if let Some(known) = self
            .find_call(&owned, call.call, call.key.as_deref())
            .await?
        {
            return Ok(known);
        }
        if let Some(reason) = owned.live.end_reason() {
            let message = format!("The program has ended: {reason}.");
            return Err(Refusal::not_run(RefusalCode::Ended, message));
        }
        self.enqueue_call(owned, call)
    }

    /// Returns the answer stream of an existing call, or refuses with `NotFound`.
    pub(super) async fn attach(
        &self,
        caller: &Caller,
        program: ProgramId,
        call: CallId,
    ) -> Result<AnswerStream, Refusal> {
        let owned = self.owned_program(caller, program)?;
        let found = self.find_call(&owned, call, None).await?;
        let found = found.map(|(_, answer)| answer);
        found.ok_or_else(|| Refusal::not_run(RefusalCode::NotFound, "There is no such call."))
    }

    /// Returns the turns of all branches, ordered by branch and number.
    ///
    /// Turns that are not committed yet follow from memory. If a turn appears in both places, the
    /// committed one is returned.
    pub(super) async fn history(
        &self,
        caller: &Caller,
        program: ProgramId,
    ) -> Result<Reply, Refusal> {
        let owned = self.owned_program(caller, program)?;
        let branches = owned.handle.with_state(|state| {
            let known = state.program(program);
            let branches = known.map(|p| p.branches.iter().map(|b| b.branch).collect());
            branches.unwrap_or_default()
        });
        let branches: Vec<_> = branches;
        let mut turns = Vec::new();
        for branch in branches {
            let read = owned
                .handle
                .history(&caller.client_account, program, branch)
                .await;
            let read = read.map_err(|e| refuse_history(&e))?;
            turns.extend(read.iter().map(|turn| history_turn(turn, true)));
        }
        let pending = owned.live.pending_turns();
        turns.extend(pending.iter().map(|turn| history_turn(turn, false)));
        turns.sort_by_key(|turn| (turn.branch, turn.number, !turn.committed));
        turns.dedup_by_key(|turn| (turn.branch, turn.number));
        Ok(Reply::History(turns))
    }

    /// Returns a program that this node owns and that belongs to the caller.
    ///
    /// A program of another environment or client account is refused as not found.
    fn owned_program(
        &self,
        caller: &Caller,
        program: ProgramId,
    ) -> Result<OwnedProgram<L>, Refusal> {
        let handle = self.partition(program).clone();
        let epoch = self.owned_epoch(program)?;
        let live = self.0.programs.get(program, epoch);
        let live = live.or_else(|| self.load_program(&handle, program, epoch));
        let live = live.filter(|live| {
            live.client_account == caller.client_account && live.environment == caller.environment
        });
        match live {
            Some(live) => Ok(OwnedProgram {
                handle,
                epoch,
                live,
            }),
            None => Err(refuse_history(&HistoryError::NotFound)),
        }
    }

    /// Returns the epoch in which this node owns a program's partition.
    ///
    /// Refuses until the recovery of the partition's pending entries is complete.
    fn owned_epoch(&self, program: ProgramId) -> Result<Epoch, Refusal> {
        let partition = partition_of(program, self.0.config.partitions);
        let epoch = self.partition(program).epoch();
        epoch
            .filter(|epoch| self.0.programs.is_partition_open(partition, *epoch))
            .ok_or_else(refuse_no_owner)
    }

    fn load_program(
        &self,
        handle: &PartitionHandle<L>,
        program: ProgramId,
        epoch: Epoch,
    ) -> Option<Arc<LiveProgram>> {
        let loaded = handle.with_state(|state| {
            let known = state.program(program)?;
            Some(LiveProgram::load(known, epoch))
        })?;
        Some(self.0.programs.get_or_insert(loaded))
    }
}

fn created_reply(program: ProgramId, offset: u64) -> Reply {
    Reply::Created {
        program,
        durability: Durability::Committed { offset },
    }
}

fn pending_reply(program: ProgramId) -> Reply {
    Reply::Created {
        program,
        durability: Durability::Pending {
            receipt: String::new(),
        },
    }
}

fn history_turn(turn: &Turn, committed: bool) -> HistoryTurn {
    HistoryTurn {
        branch: turn.branch,
        number: turn.number,
        call: turn.call,
        messages: turn.messages.clone(),
        committed,
    }
}
