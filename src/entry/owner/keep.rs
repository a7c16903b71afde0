//! Pending entries: queued for the log, replicated to sidecars, and recovered by the next owner.

use crate::coordination::partition::PartitionHandle;
use crate::coordination::rendezvous::rendezvous;
use crate::entry::owner::branch::BranchJob;
use crate::entry::owner::program::OwnedProgram;
use crate::entry::owner::refusals::{LOG_RETRY_MS, refuse_commit, refuse_history, refuse_no_owner};
use crate::entry::{Entry, lock};
use crate::ids::{CallId, EndpointId, NodeId, Partition, ProgramId, partition_of};
use crate::protocol::link::{Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::record::{Entry as Record, Turn};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::vms::NodeRole;
use crate::state::history::HistoryError;
use futures_lite::FutureExt;
use smol::Timer;
use std::time::{Duration, Instant};

/// Maximum number of sidecars that are tried for one replica.
const REPLICA_NODES_MAX: usize = 8;

/// Number of sidecars that a new owner queries for replicas.
///
/// It is larger than [`REPLICA_NODES_MAX`], because ranks change as nodes join and leave.
const RECOVERY_NODES_MAX: usize = 24;

/// Maximum wait for one sidecar to store, return or remove replicas.
const SIDECAR_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of attempts to fetch the replicas of one sidecar.
const FETCH_ATTEMPTS_MAX: usize = 3;

impl<L: Log> Entry<L> {
    /// Replicates entries to the memory of a sidecar on another VM.
    ///
    /// Prefers a sidecar in another failure domain, and among those the one that ran the call.
    /// Returns the sidecar, or `None` if none accepted the entries.
    pub(super) async fn replicate_entries(
        &self,
        program: ProgramId,
        entries: Vec<Record>,
        ran_at: Option<&EndpointId>,
    ) -> Option<NodeId> {
        let partition = partition_of(program, self.0.config.partitions);
        for replica_node in self.replica_nodes(partition, ran_at) {
            let request = Request::ReplicateEntries {
                partition,
                entries: entries.clone(),
            };
            if let Some(Reply::Done) = self.ask_with_timeout(&replica_node, request).await {
                return Some(replica_node);
            }
        }
        None
    }

    /// Removes a program's replicated turns from a sidecar after their commit, in the background.
    pub(super) fn drop_replicas(
        &self,
        replica_node: NodeId,
        program: ProgramId,
        calls: Vec<CallId>,
    ) {
        let entry = self.clone();
        let partition = partition_of(program, self.0.config.partitions);
        self.0.spawner.spawn(async move {
            let request = Request::DropReplicas {
                partition,
                program,
                calls,
            };
            // On failure the replica stays, and a later recovery finds the entry in the log.
            let _ = entry.ask_with_timeout(&replica_node, request).await;
        });
    }

    /// Returns the sidecars that may hold a partition's replicas, the preferred one first.
    ///
    /// All nodes compute the same small set, so the next owner knows where to look.
    fn replica_nodes(&self, partition: Partition, ran_at: Option<&EndpointId>) -> Vec<NodeId> {
        let mut replica_nodes = self.ranked_sidecars(partition, REPLICA_NODES_MAX);
        let membership = lock(&self.0.membership);
        let own_domain = &self.0.config.failure_domain;
        let in_own_domain = |name: &NodeId| {
            membership
                .node(name)
                .is_some_and(|n| n.failure_domain == *own_domain)
        };
        replica_nodes.sort_by_key(|name| (in_own_domain(name), ran_at != Some(name)));
        replica_nodes
    }

    fn ranked_sidecars(&self, partition: Partition, count: usize) -> Vec<NodeId> {
        let sidecars = lock(&self.0.membership).candidates(Instant::now(), NodeRole::Sidecar);
        let key = format!("keepers/{partition}");
        let ranked = rendezvous(&key, sidecars.iter().map(String::as_str));
        let ranked = ranked.into_iter().take(count);
        ranked.map(str::to_string).collect()
    }

    /// Writes the entries that earlier owners could not commit, from the replicas on sidecars.
    pub(super) async fn recover_pending(&self, handle: &PartitionHandle<L>, partition: Partition) {
        let (reply_sender, replies) = async_channel::unbounded();
        for sidecar in self.ranked_sidecars(partition, RECOVERY_NODES_MAX) {
            let entry = self.clone();
            let reply_sender = reply_sender.clone();
            self.0.spawner.spawn(async move {
                if let Some(entries) = entry.fetch_replicas(&sidecar, partition).await {
                    let _ = reply_sender.try_send((sidecar, entries));
                }
            });
        }
        drop(reply_sender);
        let mut recovered = Vec::new();
        while let Ok((sidecar, entries)) = replies.recv().await {
            recovered.extend(entries.into_iter().map(|entry| (sidecar.clone(), entry)));
        }
        // Turns of one branch may come from several sidecars and must be written in turn order.
        recovered.sort_by_key(|(_, entry)| recovery_order(entry));
        for (sidecar, entry) in recovered {
            self.recover_entry(handle, &sidecar, entry).await;
        }
    }

    /// Fetches a sidecar's replicas. Retries, because a link may have failed silently.
    async fn fetch_replicas(&self, sidecar: &NodeId, partition: Partition) -> Option<Vec<Record>> {
        for _ in 0..FETCH_ATTEMPTS_MAX {
            let reply = self.ask_with_timeout(sidecar, Request::FetchReplicas { partition });
            if let Some(Reply::Replicas(entries)) = reply.await {
                return Some(entries);
            }
        }
        log::warn!(
            target: "owner",
            "owner: {sidecar} did not return its replicas of partition {partition}; skipping it"
        );
        None
    }

    async fn recover_entry(
        &self,
        handle: &PartitionHandle<L>,
        replica_node: &NodeId,
        entry: Record,
    ) {
        let (program, calls) = program_and_calls(&entry);
        match self.commit_pending(handle, entry).await {
            Ok(_) => self.drop_replicas(replica_node.clone(), program, calls),
            Err(refusal) => {
                log::warn!(target: "owner", "owner: pending entry was not recovered: {refusal}")
            }
        }
    }

    /// Commits an entry that was acknowledged as pending, unless the log already has it.
    ///
    /// If another turn with the same number is committed, the entry is recorded as superseded.
    /// Returns whether anything was written.
    pub(in crate::entry) async fn commit_pending(
        &self,
        handle: &PartitionHandle<L>,
        entry: Record,
    ) -> Result<bool, Refusal> {
        let entry = match entry {
            Record::Created(created) => {
                if handle.with_state(|state| state.program(created.program).is_some()) {
                    return Ok(false);
                }
                Record::Created(created)
            }
            Record::Turn(turn) => match turn_position(handle, turn) {
                TurnPosition::Logged => return Ok(false),
                TurnPosition::Next(entry) => *entry,
                TurnPosition::AfterGap => return Err(refuse_missing_turn()),
            },
            _ => return Err(refuse_not_a_turn()),
        };
        let committed = handle.commit(vec![entry]).await;
        committed
            .map(|_| true)
            .map_err(|error| refuse_commit(&error))
    }

    /// Commits a turn that was pending on another node. It runs in the branch's task, between its
    /// calls.
    ///
    /// Returns whether anything was written.
    pub(super) async fn commit_pending_turn(
        &self,
        owned: &OwnedProgram<L>,
        record: Record,
    ) -> Result<bool, Refusal> {
        let (_, calls) = program_and_calls(&record);
        let pending = owned.live.pending_turns();
        if pending.iter().any(|turn| calls.contains(&turn.call)) {
            // This owner has queued the turn itself.
            return Ok(false);
        }
        self.commit_pending(&owned.handle, record).await
    }

    /// Sends entries that this node could not commit to the partition's new owner.
    pub(super) fn forward_to_owner(&self, entries: Vec<Record>) {
        for record in entries {
            let (program, _) = program_and_calls(&record);
            if program == 0 {
                continue;
            }
            let request = Request::CommitPending {
                program,
                entry: Box::new(record),
            };
            let entry = self.clone();
            self.0.spawner.spawn(async move {
                if let Reply::Refused(refusal) = entry.route(program, request).reply().await {
                    log::warn!(
                        target: "owner",
                        "owner: uncommitted entry was refused by its owner: {refusal}"
                    );
                }
            });
        }
    }

    /// Serves [`Request::CommitPending`], ordered with the calls of the entry's branch.
    pub(in crate::entry) async fn commit_pending_in_order(
        &self,
        program: ProgramId,
        record: Record,
    ) -> Result<Reply, Refusal> {
        let handle = self.partition(program).clone();
        let epoch = self.owned_epoch(program)?;
        let Record::Turn(turn) = &record else {
            self.commit_pending(&handle, record).await?;
            return Ok(Reply::Done);
        };
        let live = self.0.programs.get(program, epoch);
        let live = live.or_else(|| self.load_program(&handle, program, epoch));
        let live = live.ok_or_else(|| refuse_history(&HistoryError::NotFound))?;
        let branch = turn.branch;
        let owned = OwnedProgram {
            handle,
            epoch,
            live,
        };
        let (done, result) = async_channel::bounded(1);
        self.enqueue_job(owned, branch, BranchJob::CommitPending { record, done })?;
        let committed = result.recv().await.map_err(|_| refuse_no_owner())?;
        committed.map(|()| Reply::Done)
    }

    async fn ask_with_timeout(&self, node: &NodeId, request: Request) -> Option<Reply> {
        let timeout = async {
            Timer::after(SIDECAR_TIMEOUT).await;
            None
        };
        async { self.0.links.ask(node, request).await.ok() }
            .or(timeout)
            .await
    }
}

/// Sort key of recovered entries: a turn's number, and 0 for a program's creation.
fn recovery_order(entry: &Record) -> u32 {
    match entry {
        Record::Turn(turn) => turn.number,
        _ => 0,
    }
}

/// How a pending turn relates to the log.
enum TurnPosition {
    /// The log already has the turn.
    Logged,
    /// The turn can be written as this entry.
    Next(Box<Record>),
    /// An earlier turn of the branch is missing.
    AfterGap,
}

fn turn_position<L: Log>(handle: &PartitionHandle<L>, turn: Turn) -> TurnPosition {
    handle.with_state(|state| {
        let Some(program) = state.program(turn.program) else {
            return TurnPosition::AfterGap;
        };
        let is_superseded = program.superseded.iter().any(|s| s.call == turn.call);
        if program.turn_by_call(turn.call).is_some() || is_superseded {
            return TurnPosition::Logged;
        }
        let head = program.head(turn.branch);
        if turn.number == head.number + 1 && turn.previous == head.hash {
            return TurnPosition::Next(Box::new(Record::Turn(turn)));
        }
        // A turn that follows a superseded turn is superseded as well.
        let follows_superseded = program
            .superseded
            .iter()
            .any(|s| s.branch == turn.branch && s.number + 1 == turn.number);
        if turn.number > head.number + 1 && !follows_superseded {
            return TurnPosition::AfterGap;
        }
        TurnPosition::Next(Box::new(Record::Superseded(turn)))
    })
}

fn program_and_calls(entry: &Record) -> (ProgramId, Vec<CallId>) {
    match entry {
        Record::Created(created) => (created.program, Vec::new()),
        Record::Turn(turn) => (turn.program, vec![turn.call]),
        _ => (0, Vec::new()),
    }
}

fn refuse_missing_turn() -> Refusal {
    let message = "A turn before this one is missing; bring that one first.";
    Refusal::not_run(RefusalCode::Conflict, message).retry_after_ms(LOG_RETRY_MS)
}

fn refuse_not_a_turn() -> Refusal {
    Refusal::not_run(RefusalCode::Invalid, "Only turns can be brought back.")
}
