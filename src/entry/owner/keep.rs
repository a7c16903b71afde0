//! Entries that the log does not take: held in a second memory, and taken over from there.

use crate::coordination::partition::PartitionHandle;
use crate::coordination::rendezvous::rendezvous;
use crate::entry::owner::answer::{LOG_RETRY_MS, refuse_commit, refuse_history, refuse_no_owner};
use crate::entry::owner::branch::Job;
use crate::entry::owner::program::Owned;
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

/// Sidecars that are asked to hold an entry before it is given up.
const KEEPERS_MAX: usize = 8;

/// Sidecars that a new owner asks for what they hold; more than keepers, since nodes come and go.
const ASKED_MAX: usize = 24;

/// Longest wait for one sidecar that is to hold an entry, or is asked for what it holds.
const KEEP_LIMIT: Duration = Duration::from_millis(1_500);

/// How often a sidecar is asked for what it holds.
const KEPT_ATTEMPTS: usize = 3;

impl<L: Log> Entry<L> {
    /// Puts entries into the memory of another VM; returns which one, or `None` if none takes them.
    ///
    /// One in another failure domain is preferred, and then the one that ran the call.
    pub(super) async fn keep(
        &self,
        program: ProgramId,
        entries: Vec<Record>,
        ran_at: Option<&EndpointId>,
    ) -> Option<NodeId> {
        let partition = partition_of(program, self.0.config.partitions);
        for keeper in self.keepers(partition, ran_at) {
            let request = Request::ReplicateEntries {
                partition,
                entries: entries.clone(),
            };
            if let Some(Reply::Done) = self.ask_briefly(&keeper, request).await {
                return Some(keeper);
            }
        }
        None
    }

    /// Tells a sidecar that the log has what it holds.
    pub(super) fn forget_kept(&self, keeper: NodeId, program: ProgramId, calls: Vec<CallId>) {
        let entry = self.clone();
        let partition = partition_of(program, self.0.config.partitions);
        self.0.spawner.spawn(async move {
            let request = Request::DropReplicas {
                partition,
                program,
                calls,
            };
            // What stays is found to be in the log by whoever takes it over.
            let _ = entry.ask_briefly(&keeper, request).await;
        });
    }

    /// Returns sidecars that may hold a partition's entries, the best one first.
    ///
    /// They are a few that every node ranks alike, so that the next owner knows where to ask.
    fn keepers(&self, partition: Partition, ran_at: Option<&EndpointId>) -> Vec<NodeId> {
        let mut keepers = self.ranked_sidecars(partition, KEEPERS_MAX);
        let members = lock(&self.0.members);
        let own = &self.0.config.failure_domain;
        let near = |name: &NodeId| members.node(name).is_some_and(|n| n.failure_domain == *own);
        keepers.sort_by_key(|name| (near(name), ran_at != Some(name)));
        keepers
    }

    fn ranked_sidecars(&self, partition: Partition, count: usize) -> Vec<NodeId> {
        let sidecars = lock(&self.0.members).candidates(Instant::now(), NodeRole::Sidecar);
        let key = format!("keepers/{partition}");
        let ranked = rendezvous(&key, sidecars.iter().map(String::as_str));
        let ranked = ranked.into_iter().take(count);
        ranked.map(str::to_string).collect()
    }

    /// Puts into the log what earlier owners could not, as far as sidecars hold it.
    pub(super) async fn take_over_kept(&self, handle: &PartitionHandle<L>, partition: Partition) {
        let (tx, replies) = async_channel::unbounded();
        for sidecar in self.ranked_sidecars(partition, ASKED_MAX) {
            let entry = self.clone();
            let tx = tx.clone();
            self.0.spawner.spawn(async move {
                if let Some(entries) = entry.ask_kept(&sidecar, partition).await {
                    let _ = tx.try_send((sidecar, entries));
                }
            });
        }
        drop(tx);
        let mut kept = Vec::new();
        while let Ok((sidecar, entries)) = replies.recv().await {
            kept.extend(entries.into_iter().map(|entry| (sidecar.clone(), entry)));
        }
        // Several sidecars may hold turns of one branch, which must be written in their order.
        kept.sort_by_key(|(_, entry)| turn_number(entry));
        for (sidecar, entry) in kept {
            self.take_over_entry(handle, &sidecar, entry).await;
        }
    }

    /// Asks a sidecar for what it holds, again if its link has gone silent.
    async fn ask_kept(&self, sidecar: &NodeId, partition: Partition) -> Option<Vec<Record>> {
        for _ in 0..KEPT_ATTEMPTS {
            let asked = self.ask_briefly(sidecar, Request::FetchReplicas { partition });
            if let Some(Reply::Replicas(entries)) = asked.await {
                return Some(entries);
            }
        }
        log::warn!(target: "owner", "owner: {sidecar} does not say what it holds");
        None
    }

    async fn take_over_entry(&self, handle: &PartitionHandle<L>, keeper: &NodeId, entry: Record) {
        let (program, calls) = names(&entry);
        match self.adopt(handle, entry).await {
            Ok(_) => self.forget_kept(keeper.clone(), program, calls),
            Err(refusal) => log::warn!(target: "owner", "owner: entry not taken over: {refusal}"),
        }
    }

    /// Puts an entry that was acknowledged as pending into the log, unless it is there.
    ///
    /// The first committed turn of a number stands; another one is kept beside it. Returns whether
    /// it had to be written.
    pub(in crate::entry) async fn adopt(
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
            Record::Turn(turn) => match place(handle, turn) {
                Place::Known => return Ok(false),
                Place::Next(entry) => *entry,
                Place::Early => return Err(early()),
            },
            _ => return Err(invalid()),
        };
        let committed = handle.commit(vec![entry]).await;
        committed
            .map(|_| true)
            .map_err(|error| refuse_commit(&error))
    }

    /// Puts a turn that was pending into the log, in its place among the branch's calls. Returns
    /// whether it had to be written.
    pub(super) async fn adopt_turn(
        &self,
        owned: &Owned<L>,
        record: Record,
    ) -> Result<bool, Refusal> {
        let (_, calls) = names(&record);
        let pending = owned.live.pending_turns();
        if pending.iter().any(|turn| calls.contains(&turn.call)) {
            // It is in this owner's own line.
            return Ok(false);
        }
        self.adopt(&owned.handle, record).await
    }

    /// Brings entries that this node could not write to the partition's next owner.
    pub(super) fn hand_over(&self, entries: Vec<Record>) {
        for record in entries {
            let (program, _) = names(&record);
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
                    log::warn!(target: "owner", "owner: entry not handed over: {refusal}");
                }
            });
        }
    }

    /// Serves [`Request::CommitPending`]: in line with the calls of the entry's branch.
    pub(in crate::entry) async fn adopt_in_line(
        &self,
        program: ProgramId,
        record: Record,
    ) -> Result<Reply, Refusal> {
        let handle = self.partition(program).clone();
        let epoch = self.owned_epoch(program)?;
        let Record::Turn(turn) = &record else {
            self.adopt(&handle, record).await?;
            return Ok(Reply::Done);
        };
        let live = self.0.programs.get(program, epoch);
        let live = live.or_else(|| self.load(&handle, program, epoch));
        let live = live.ok_or_else(|| refuse_history(&HistoryError::NotFound))?;
        let branch = turn.branch;
        let owned = Owned {
            handle,
            epoch,
            live,
        };
        let (done, result) = async_channel::bounded(1);
        self.enqueue_job(owned, branch, Job::Adopt { record, done })?;
        let adopted = result.recv().await.map_err(|_| refuse_no_owner())?;
        adopted.map(|()| Reply::Done)
    }

    async fn ask_briefly(&self, node: &NodeId, request: Request) -> Option<Reply> {
        let late = async {
            Timer::after(KEEP_LIMIT).await;
            None
        };
        async { self.0.links.ask(node, request).await.ok() }
            .or(late)
            .await
    }
}

/// Orders entries so that a program comes before its turns, and turns by their numbers.
fn turn_number(entry: &Record) -> u32 {
    match entry {
        Record::Turn(turn) => turn.number,
        _ => 0,
    }
}

/// Where a turn that was pending belongs.
enum Place {
    /// The log has it.
    Known,
    /// It is written like this.
    Next(Box<Record>),
    /// A turn before it is missing.
    Early,
}

fn place<L: Log>(handle: &PartitionHandle<L>, turn: Turn) -> Place {
    handle.with_state(|state| {
        let Some(program) = state.program(turn.program) else {
            return Place::Early;
        };
        let kept = program.superseded.iter().any(|s| s.call == turn.call);
        if program.turn_by_call(turn.call).is_some() || kept {
            return Place::Known;
        }
        let head = program.head(turn.branch);
        if turn.number == head.number + 1 && turn.previous == head.hash {
            return Place::Next(Box::new(Record::Turn(turn)));
        }
        // A turn that continues one which lost its place has lost its own with it.
        let after_lost = program
            .superseded
            .iter()
            .any(|s| s.branch == turn.branch && s.number + 1 == turn.number);
        if turn.number > head.number + 1 && !after_lost {
            return Place::Early;
        }
        Place::Next(Box::new(Record::Superseded(turn)))
    })
}

fn names(entry: &Record) -> (ProgramId, Vec<CallId>) {
    match entry {
        Record::Created(created) => (created.program, Vec::new()),
        Record::Turn(turn) => (turn.program, vec![turn.call]),
        _ => (0, Vec::new()),
    }
}

fn early() -> Refusal {
    let message = "A turn before this one is missing; bring that one first.";
    Refusal::not_run(RefusalCode::Conflict, message).retry_after_ms(LOG_RETRY_MS)
}

fn invalid() -> Refusal {
    Refusal::not_run(RefusalCode::Invalid, "Only turns can be brought back.")
}
