//! The part that all specifications share: a log, appends on their way, and two nodes.

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

/// All machines see this time: the order of steps stands for time.
static NOW: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Number of a record in [`Records`], so that states are small.
pub(crate) type RecordId = u16;

/// Which checks of the fold are switched off, by changing records before the real fold sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FoldFaults {
    /// Batches count in whatever epoch is in force.
    pub(crate) no_epoch_check: bool,
    /// A claim charges no reservations.
    pub(crate) no_takeover_charge: bool,
}

/// Records met in a search, and folds of the logs met in it.
#[derive(Default)]
pub(crate) struct Records {
    faults: FoldFaults,
    records: RefCell<Vec<Rc<Record>>>,
    ids: RefCell<HashMap<Record, RecordId>>,
    folds: RefCell<HashMap<Vec<RecordId>, Fold>>,
}

/// A fold and what its last record did.
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

    /// Folds a log with the real fold.
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
        let record = self.altered(&mut state, self.record(*last));
        let applied = state.apply(log.len() as Offset, &record);
        let fold = Fold {
            state: Rc::new(state),
            applied: Rc::new(applied),
        };
        self.folds.borrow_mut().insert(log.to_vec(), fold.clone());
        fold
    }

    /// Changes a record so that the check that is switched off lets it pass.
    fn altered(&self, state: &mut PartitionState, record: Rc<Record>) -> Rc<Record> {
        match &*record {
            Record::Batch(batch) if self.faults.no_epoch_check && batch.epoch != state.epoch() => {
                Rc::new(Record::Batch(Batch {
                    epoch: state.epoch(),
                    sequence: state.sequence() + 1,
                    ..batch.clone()
                }))
            }
            Record::Claim(_) if self.faults.no_takeover_charge => {
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

/// How often things may go wrong in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budgets {
    pub(crate) records: usize,
    pub(crate) claims: u8,
    pub(crate) lost_answers: u8,
    pub(crate) delayed_appends: u8,
    pub(crate) crashes: u8,
}

/// A node that may own the partition.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) incarnation: Incarnation,
    /// Records read.
    pub(crate) read: usize,
    pub(crate) commit: Option<GroupCommit>,
    /// The append without an answer.
    pub(crate) append: Option<RecordId>,
}

impl Node {
    fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            read: 0,
            commit: None,
            append: None,
        }
    }

    /// The epoch in which the node believes to own the partition.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.commit.as_ref().map(GroupCommit::epoch)
    }
}

/// A step's name, where it leads, and what a node has read by it.
pub(crate) type StreamStep = (String, Stream, Option<(usize, Heard)>);

/// The log and the nodes.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Stream {
    pub(crate) log: Vec<RecordId>,
    /// Appends without an answer that may land later.
    pub(crate) delayed: Vec<RecordId>,
    pub(crate) nodes: [Node; 2],
    pub(crate) left: Budgets,
}

/// What a read brought to a node.
#[derive(Default)]
pub(crate) struct Heard {
    pub(crate) committed: Vec<Committed>,
    /// Pushes of an epoch that ended.
    pub(crate) superseded: Vec<Ticket>,
    /// Whether the node has lost the partition.
    pub(crate) lost: bool,
}

impl Stream {
    pub(crate) fn new(log: Vec<RecordId>, left: Budgets) -> Self {
        Self {
            log,
            delayed: Vec::new(),
            nodes: [Node::new(1), Node::new(1)],
            left,
        }
    }

    /// A log that begins with the first node's claim, which that node has read.
    pub(crate) fn owned(records: &Records, log: Vec<RecordId>, left: Budgets) -> Self {
        let stream = Self::new(log, left);
        stream.met(records).unwrap_or(stream)
    }

    /// Lets the first node commit entries without anything between.
    pub(crate) fn commit_at_once(&mut self, records: &Records, entries: Vec<Entry>) {
        self.push(0, entries);
        for step in [Self::appended, Self::landed, Self::met] {
            if let Some(next) = step(self, records) {
                *self = next;
            }
        }
    }

    fn appended(&self, records: &Records) -> Option<Stream> {
        self.append(records, 0)
    }

    fn landed(&self, _: &Records) -> Option<Stream> {
        self.land(0, true)
    }

    fn met(&self, records: &Records) -> Option<Stream> {
        self.read(records, 0).map(|(next, _)| next)
    }

    /// What a node has folded.
    pub(crate) fn seen(&self, records: &Records, node: usize) -> Rc<PartitionState> {
        records.fold(&self.log[..self.nodes[node].read]).state
    }

    /// Puts entries in line.
    pub(crate) fn push(&mut self, node: usize, entries: Vec<Entry>) -> Option<Ticket> {
        self.nodes[node].commit.as_mut()?.push(entries).ok()
    }

    /// Steps of the log and of ownership; a read also says what it brought.
    pub(crate) fn steps(&self, records: &Records) -> Vec<StreamStep> {
        let mut steps = Vec::new();
        for node in 0..self.nodes.len() {
            let mut add = |name: &str, next: Option<Stream>| {
                steps.extend(next.map(|next| (format!("{name} {node}"), next, None)));
            };
            add("claim", self.claim(records, node));
            add("append", self.append(records, node));
            add("land", self.land(node, true));
            add("land, answer lost", self.land(node, false));
            add("delay", self.delay(node));
            if let Some((next, heard)) = self.read(records, node) {
                steps.push((format!("read {node}"), next, Some((node, heard))));
            }
        }
        for index in 0..self.delayed.len() {
            if let Some(next) = self.land_delayed(index) {
                steps.push((format!("land delayed {index}"), next, None));
            }
        }
        steps
    }

    /// A node ends and starts again, knowing nothing.
    pub(crate) fn crash(&self, node: usize) -> Option<Stream> {
        let mut next = self.clone();
        next.left.crashes = self.left.crashes.checked_sub(1)?;
        let old = &mut next.nodes[node];
        let append = old.append;
        *old = Node::new(old.incarnation + 1);
        next.delayed.extend(append);
        next.delayed.sort_unstable();
        Some(next)
    }

    fn claim(&self, records: &Records, node: usize) -> Option<Stream> {
        let me = &self.nodes[node];
        if me.commit.is_some() || me.append.is_some() || me.read != self.log.len() {
            return None;
        }
        let state = self.seen(records, node);
        let view = ClaimView {
            state: &state,
            should_own: true,
            is_owner_alive: false,
        };
        let claim = claimant(me, node).poll(*NOW, view, &mut fastrand::Rng::with_seed(0))?;
        let mut next = self.clone();
        next.left.claims = self.left.claims.checked_sub(1)?;
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

    fn land(&self, node: usize, answered: bool) -> Option<Stream> {
        let mut next = self.clone();
        let record = next.nodes[node].append.take()?;
        if self.log.len() >= self.left.records {
            return None;
        }
        next.log.push(record);
        let offset = next.log.len() as Offset;
        if !answered {
            next.left.lost_answers = self.left.lost_answers.checked_sub(1)?;
        }
        let answer = if answered { Ok(offset) } else { Err(lost()) };
        if let Some(commit) = &mut next.nodes[node].commit {
            commit.on_append_result(*NOW, answer);
        }
        Some(next)
    }

    /// The node gives an append up, and it lands later or never.
    fn delay(&self, node: usize) -> Option<Stream> {
        let mut next = self.clone();
        let record = next.nodes[node].append.take()?;
        next.left.delayed_appends = self.left.delayed_appends.checked_sub(1)?;
        next.delayed.push(record);
        next.delayed.sort_unstable();
        if let Some(commit) = &mut next.nodes[node].commit {
            commit.on_append_result(*NOW, Err(lost()));
        }
        Some(next)
    }

    fn land_delayed(&self, index: usize) -> Option<Stream> {
        if self.log.len() >= self.left.records {
            return None;
        }
        let mut next = self.clone();
        let record = next.delayed.remove(index);
        next.log.push(record);
        Some(next)
    }

    /// A node reads the log to its end.
    fn read(&self, records: &Records, node: usize) -> Option<(Stream, Heard)> {
        let me = &self.nodes[node];
        let settles = me.commit.as_ref().is_some_and(GroupCommit::needs_read);
        if me.read == self.log.len() && !settles {
            return None;
        }
        let mut next = self.clone();
        let mut heard = Heard::default();
        for read in me.read..self.log.len() {
            next.meet(records, node, read + 1, &mut heard);
        }
        next.at_end(records, node);
        Some((next, heard))
    }

    fn meet(&mut self, records: &Records, node: usize, read: usize, heard: &mut Heard) {
        let fold = records.fold(&self.log[..read]);
        let record = records.record(self.log[read - 1]);
        let me = &mut self.nodes[node];
        me.read = read;
        if let (Applied::Accepted(ignored), Record::Batch(batch)) = (&*fold.applied, &*record)
            && let Some(commit) = &mut me.commit
        {
            let offset = read as Offset;
            let done = commit.on_batch_accepted(batch.epoch, batch.sequence, offset, ignored);
            heard.committed.extend(done);
        }
        let owns = claimant(me, node).owns(&fold.state);
        let same = me.epoch() == Some(fold.state.epoch());
        if me.commit.is_some() && !(owns && same) && !records.faults.no_epoch_check {
            let ended = me
                .commit
                .take()
                .into_iter()
                .flat_map(GroupCommit::into_uncommitted);
            heard.superseded.extend(ended.map(|(ticket, _)| ticket));
            heard.lost = true;
        }
    }

    fn at_end(&mut self, records: &Records, node: usize) {
        let state = self.seen(records, node);
        let next = self.log.len() as Offset + 1;
        let me = &mut self.nodes[node];
        if let Some(commit) = &mut me.commit {
            commit.on_read_to_end(*NOW, next);
        } else if claimant(me, node).owns(&state) {
            me.commit = Some(GroupCommit::new(state.epoch(), limits(), *NOW));
        }
    }
}

fn claimant(me: &Node, node: usize) -> Claimant {
    Claimant::new(name(node), me.incarnation)
}

pub(crate) fn name(node: usize) -> String {
    format!("entry-{node}")
}

fn lost() -> galenapick::protocol::log::LogError {
    galenapick::protocol::log::LogError::Unavailable("lost".to_owned())
}

fn limits() -> CommitLimits {
    CommitLimits {
        append_interval: Duration::ZERO,
        resend_after: Duration::ZERO,
        ..CommitLimits::default()
    }
}

/// Bounds of a search: those of every test run, or wider ones with `MODEL_WIDE=1`.
pub(crate) fn budgets() -> Budgets {
    let wide = std::env::var_os("MODEL_WIDE").is_some();
    Budgets {
        records: if wide { 7 } else { 5 },
        claims: if wide { 2 } else { 1 },
        lost_answers: 1,
        delayed_appends: 1,
        crashes: 1,
    }
}
