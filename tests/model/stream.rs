//! The part that all specifications share: a log, appends in flight, and two nodes.

use galenapick::ids::{Epoch, Incarnation, Offset};
use galenapick::{
    Applied, Batch, ClaimView, Claimant, CommitEffect, CommitLimits, Committed, Entry, GroupCommit,
    PartitionState, Record, Ticket,
};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

/// The time that all state machines see. Only the order of steps models time.
static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Index of a record in [`Records`], which keeps states small.
pub(crate) type RecordId = u16;

/// Checks of the fold that are disabled by changing records before the real fold applies them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FoldFaults {
    /// The fold accepts batches of any epoch.
    pub(crate) skip_epoch_check: bool,
    /// A claim does not charge reservations.
    pub(crate) skip_takeover_charge: bool,
}

/// All records of a search, and the cached folds of its logs.
#[derive(Default)]
pub(crate) struct Records {
    faults: FoldFaults,
    records: RefCell<Vec<Rc<Record>>>,
    ids: RefCell<HashMap<Record, RecordId>>,
    folds: RefCell<HashMap<Vec<RecordId>, Fold>>,
}

/// A folded state and the effect of its last record.
#[derive(Clone)]
pub(crate) struct Fold {
    pub(crate) state: Rc<PartitionState>,
    pub(crate) applied: Rc<Applied>,
}

impl Records {
    pub(crate) fn new(faults: FoldFaults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    pub(crate) fn id(&self, record: Record) -> RecordId {
        let mut ids = self.ids.borrow_mut();
        if let Some(id) = ids.get(&record) {
            return *id;
        }
        let mut records = self.records.borrow_mut();
        let id = records.len() as RecordId;
        records.push(Rc::new(record.clone()));
        ids.insert(record, id);
        id
    }

    pub(crate) fn record(&self, id: RecordId) -> Rc<Record> {
        self.records.borrow()[usize::from(id)].clone()
    }

    /// Returns the result of the real fold over a log.
    pub(crate) fn fold(&self, log: &[RecordId]) -> Fold {
        if let Some(fold) = self.folds.borrow().get(log) {
            return fold.clone();
        }
        let Some((last, before)) = log.split_last() else {
            return Fold {
                state: Rc::new(PartitionState::new()),
                applied: Rc::new(Applied::Accepted(Vec::new())),
            };
        };
        let mut state = (*self.fold(before).state).clone();
        let record = self.bypass_check(&mut state, self.record(*last));
        let applied = state.apply(log.len() as Offset, &record);
        let fold = Fold {
            state: Rc::new(state),
            applied: Rc::new(applied),
        };
        self.folds.borrow_mut().insert(log.to_vec(), fold.clone());
        fold
    }

    /// Changes a record or the state so that the disabled check has no effect.
    fn bypass_check(&self, state: &mut PartitionState, record: Rc<Record>) -> Rc<Record> {
        match &*record {
            Record::Batch(batch)
                if self.faults.skip_epoch_check && batch.epoch != state.epoch() =>
            {
                Rc::new(Record::Batch(Batch {
                    epoch: state.epoch(),
                    sequence: state.sequence() + 1,
                    ..batch.clone()
                }))
            }
            Record::Claim(_) if self.faults.skip_takeover_charge => {
                let release = Batch {
                    epoch: state.epoch(),
                    sequence: state.sequence() + 1,
                    root: 0,
                    entries: vec![Entry::Released],
                };
                state.apply(0, &Record::Batch(release));
                record
            }
            _ => record,
        }
    }
}

/// Limits on the length of the log and on the number of claims and faults in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SearchBounds {
    pub(crate) records: usize,
    pub(crate) claims: u8,
    pub(crate) lost_answers: u8,
    pub(crate) delayed_appends: u8,
    pub(crate) crashes: u8,
}

/// A node that can own the partition.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) incarnation: Incarnation,
    /// Number of records read.
    pub(crate) records_read: usize,
    pub(crate) commit: Option<GroupCommit>,
    /// The append in flight, which has no answer yet.
    pub(crate) append: Option<RecordId>,
}

impl Node {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records_read: 0,
            commit: None,
            append: None,
        }
    }

    /// Returns the epoch in which the node believes that it owns the partition.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.commit.as_ref().map(GroupCommit::epoch)
    }
}

/// A step's name, the stream after it, and the node that has read the log with its outcome.
pub(crate) type StreamStep = (String, Stream, Option<(usize, ReadOutcome)>);

/// The log and the two nodes.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Stream {
    pub(crate) log: Vec<RecordId>,
    /// Unanswered appends that may still reach the log.
    pub(crate) delayed: Vec<RecordId>,
    pub(crate) nodes: [Node; 2],
    pub(crate) remaining: SearchBounds,
}

/// The result of a node's read.
#[derive(Default)]
pub(crate) struct ReadOutcome {
    pub(crate) committed: Vec<Committed>,
    /// Tickets of entries left uncommitted when their epoch ended.
    pub(crate) superseded: Vec<Ticket>,
    /// Whether the node has lost the partition.
    pub(crate) lost_ownership: bool,
}

impl Stream {
    pub(crate) fn new(log: Vec<RecordId>, remaining: SearchBounds) -> Self {
        Self {
            log,
            delayed: Vec::new(),
            nodes: [Node::new(1), Node::new(1)],
            remaining,
        }
    }

    /// Returns a stream whose log begins with the first node's claim, which that node has read.
    pub(crate) fn owned(records: &Records, log: Vec<RecordId>, remaining: SearchBounds) -> Self {
        let stream = Self::new(log, remaining);
        stream.read_on_first_node(records).unwrap_or(stream)
    }

    /// Commits entries on the first node without interleaving other steps.
    pub(crate) fn commit_immediately(&mut self, records: &Records, entries: Vec<Entry>) {
        self.push(0, entries);
        for step in [
            Self::append_on_first_node,
            Self::land_on_first_node,
            Self::read_on_first_node,
        ] {
            if let Some(next) = step(self, records) {
                *self = next;
            }
        }
    }

    fn append_on_first_node(&self, records: &Records) -> Option<Stream> {
        self.append(records, 0)
    }

    fn land_on_first_node(&self, _: &Records) -> Option<Stream> {
        self.land(0, true)
    }

    fn read_on_first_node(&self, records: &Records) -> Option<Stream> {
        self.read(records, 0).map(|(next, _)| next)
    }

    /// Returns the partition state as folded by a node so far.
    pub(crate) fn folded_state(&self, records: &Records, node: usize) -> Rc<PartitionState> {
        records
            .fold(&self.log[..self.nodes[node].records_read])
            .state
    }

    /// Queues entries for commit on a node that owns the partition.
    pub(crate) fn push(&mut self, node: usize, entries: Vec<Entry>) -> Option<Ticket> {
        self.nodes[node].commit.as_mut()?.push(entries).ok()
    }

    /// Returns the steps of the log and of ownership. A read step includes its outcome.
    pub(crate) fn steps(&self, records: &Records) -> Vec<StreamStep> {
        let mut steps = Vec::new();
        for node in 0..self.nodes.len() {
            let mut add = |step_name: &str, next: Option<Stream>| {
                steps.extend(next.map(|next| (format!("{step_name} {node}"), next, None)));
            };
            add("claim", self.claim(records, node));
            add("append", self.append(records, node));
            add("land", self.land(node, true));
            add("land, answer lost", self.land(node, false));
            add("delay", self.delay(node));
            if let Some((next, read_outcome)) = self.read(records, node) {
                steps.push((format!("read {node}"), next, Some((node, read_outcome))));
            }
        }
        for index in 0..self.delayed.len() {
            if let Some(next) = self.land_delayed(index) {
                steps.push((format!("land delayed {index}"), next, None));
            }
        }
        steps
    }

    /// Restarts a node, which loses its memory. Its append in flight becomes a delayed one.
    pub(crate) fn crash(&self, node: usize) -> Option<Stream> {
        let mut next = self.clone();
        next.remaining.crashes = self.remaining.crashes.checked_sub(1)?;
        let crashed = &mut next.nodes[node];
        let append = crashed.append;
        *crashed = Node::new(crashed.incarnation + 1);
        next.delayed.extend(append);
        next.delayed.sort_unstable();
        Some(next)
    }

    fn claim(&self, records: &Records, node: usize) -> Option<Stream> {
        let node_state = &self.nodes[node];
        if node_state.commit.is_some()
            || node_state.append.is_some()
            || node_state.records_read != self.log.len()
        {
            return None;
        }
        let state = self.folded_state(records, node);
        let view = ClaimView {
            state: &state,
            should_own: true,
            is_owner_alive: false,
        };
        let claim =
            claimant(node_state, node).poll(*NOW, view, &mut fastrand::Rng::with_seed(0))?;
        let mut next = self.clone();
        next.remaining.claims = self.remaining.claims.checked_sub(1)?;
        next.nodes[node].append = Some(records.id(Record::Claim(claim)));
        Some(next)
    }

    fn append(&self, records: &Records, node: usize) -> Option<Stream> {
        if self.nodes[node].append.is_some() {
            return None;
        }
        let mut next = self.clone();
        let commit = next.nodes[node].commit.as_mut()?;
        let CommitEffect::Append(bytes) = commit.poll(*NOW, 0, Vec::new) else {
            return None;
        };
        let record: Record = ciborium::from_reader(&bytes[..]).unwrap();
        next.nodes[node].append = Some(records.id(record));
        Some(next)
    }

    fn land(&self, node: usize, is_answered: bool) -> Option<Stream> {
        let mut next = self.clone();
        let record = next.nodes[node].append.take()?;
        if self.log.len() >= self.remaining.records {
            return None;
        }
        next.log.push(record);
        let offset = next.log.len() as Offset;
        if !is_answered {
            next.remaining.lost_answers = self.remaining.lost_answers.checked_sub(1)?;
        }
        let answer = if is_answered {
            Ok(offset)
        } else {
            Err(log_unavailable())
        };
        if let Some(commit) = &mut next.nodes[node].commit {
            commit.on_append_result(*NOW, answer);
        }
        Some(next)
    }

    /// The node's append times out and reaches the log later or never.
    fn delay(&self, node: usize) -> Option<Stream> {
        let mut next = self.clone();
        let record = next.nodes[node].append.take()?;
        next.remaining.delayed_appends = self.remaining.delayed_appends.checked_sub(1)?;
        next.delayed.push(record);
        next.delayed.sort_unstable();
        if let Some(commit) = &mut next.nodes[node].commit {
            commit.on_append_result(*NOW, Err(log_unavailable()));
        }
        Some(next)
    }

    fn land_delayed(&self, index: usize) -> Option<Stream> {
        if self.log.len() >= self.remaining.records {
            return None;
        }
        let mut next = self.clone();
        let record = next.delayed.remove(index);
        next.log.push(record);
        Some(next)
    }

    /// Lets a node read the log to its end.
    fn read(&self, records: &Records, node: usize) -> Option<(Stream, ReadOutcome)> {
        let node_state = &self.nodes[node];
        let needs_read = node_state
            .commit
            .as_ref()
            .is_some_and(GroupCommit::needs_read);
        if node_state.records_read == self.log.len() && !needs_read {
            return None;
        }
        let mut next = self.clone();
        let mut read_outcome = ReadOutcome::default();
        for index in node_state.records_read..self.log.len() {
            next.apply_record(records, node, index + 1, &mut read_outcome);
        }
        next.finish_read(records, node);
        Some((next, read_outcome))
    }

    fn apply_record(
        &mut self,
        records: &Records,
        node: usize,
        record_count: usize,
        read_outcome: &mut ReadOutcome,
    ) {
        let fold = records.fold(&self.log[..record_count]);
        let record = records.record(self.log[record_count - 1]);
        let node_state = &mut self.nodes[node];
        node_state.records_read = record_count;
        if let (Applied::Accepted(ignored), Record::Batch(batch)) = (&*fold.applied, &*record)
            && let Some(commit) = &mut node_state.commit
        {
            let offset = record_count as Offset;
            let committed = commit.on_batch_accepted(batch.epoch, batch.sequence, offset, ignored);
            read_outcome.committed.extend(committed);
        }
        let owns = claimant(node_state, node).owns(&fold.state);
        let is_same_epoch = node_state.epoch() == Some(fold.state.epoch());
        if node_state.commit.is_some()
            && !(owns && is_same_epoch)
            && !records.faults.skip_epoch_check
        {
            let ended = node_state
                .commit
                .take()
                .into_iter()
                .flat_map(GroupCommit::into_uncommitted);
            read_outcome
                .superseded
                .extend(ended.map(|(ticket, _)| ticket));
            read_outcome.lost_ownership = true;
        }
    }

    fn finish_read(&mut self, records: &Records, node: usize) {
        let state = self.folded_state(records, node);
        let next = self.log.len() as Offset + 1;
        let node_state = &mut self.nodes[node];
        if let Some(commit) = &mut node_state.commit {
            commit.on_read_to_end(*NOW, next);
        } else if claimant(node_state, node).owns(&state) {
            node_state.commit = Some(GroupCommit::new(state.epoch(), commit_limits(), *NOW));
        }
    }
}

fn claimant(node_state: &Node, node: usize) -> Claimant {
    Claimant::new(node_name(node), node_state.incarnation)
}

pub(crate) fn node_name(node: usize) -> String {
    format!("entry-{node}")
}

fn log_unavailable() -> galenapick::protocol::log::LogError {
    galenapick::protocol::log::LogError::Unavailable("lost".to_owned())
}

fn commit_limits() -> CommitLimits {
    CommitLimits {
        append_interval: Duration::ZERO,
        resend_after: Duration::ZERO,
        ..CommitLimits::default()
    }
}

/// Returns the bounds of a search. `MODEL_WIDE=1` selects wider bounds than a normal test run.
pub(crate) fn search_bounds() -> SearchBounds {
    let wide = std::env::var_os("MODEL_WIDE").is_some();
    SearchBounds {
        records: if wide { 7 } else { 5 },
        claims: if wide { 2 } else { 1 },
        lost_answers: 1,
        delayed_appends: 1,
        crashes: 1,
    }
}
