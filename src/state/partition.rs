//! The fold of a partition's stream: who owns it, and what its programs have done.

mod entries;

use crate::ids::{ClientAccountId, EnvironmentId, Epoch, Incarnation, NodeId, Offset, ProgramId};
use crate::protocol::image::Program;
use crate::protocol::record::{Batch, Claim, Entry, RESET_EPOCH, Record, Snapshot};
use crate::state::program::{EntryError, program_key_fingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Applied {
    /// The claim made its writer the owner.
    Claimed,
    /// The batch took effect, apart from the entries named here by their position.
    Accepted(Vec<(usize, EntryError)>),
    /// The record had no effect.
    Rejected(RejectReason),
}

/// Why a record had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The claim expected another epoch.
    ClaimLost,
    /// The batch is of another epoch.
    Epoch,
    /// The batch is not the next one of its epoch.
    Sequence,
    /// The owner has released the partition.
    Released,
    /// The stream's beginning is trimmed and no reset has been met yet.
    Unrooted,
}

/// The owner in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The node.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// A snapshot under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenSnapshot {
    root: Offset,
}

/// State of one partition.
///
/// Invariants: it depends on nothing but the records applied, in order, from the stream's start
/// or from a complete snapshot; `by_key` names only programs in `programs`.
///
/// ```
/// use galenapick::{Applied, Claim, PartitionState, Record};
///
/// let claim = |owner: &str| {
///     Record::Claim(Claim { owner: owner.into(), incarnation: 1, expects: 0, root: 0 })
/// };
/// let mut state = PartitionState::new();
/// assert_eq!(state.apply(1, &claim("a")), Applied::Claimed);
/// assert!(matches!(state.apply(2, &claim("b")), Applied::Rejected(_)));
/// assert_eq!(state.epoch(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartitionState {
    rooted: bool,
    epoch: Epoch,
    owner: Option<Owner>,
    released: bool,
    sequence: u64,
    accepted: Offset,
    root: Offset,
    open: Option<OpenSnapshot>,
    /// Whether the fold began at the root of the snapshot under way, so that programs are missing.
    partial: bool,
    forgotten_before_ms: u64,
    programs: BTreeMap<ProgramId, Program>,
    by_key: BTreeMap<u128, ProgramId>,
    unknown: BTreeSet<ProgramId>,
    ignored_entries: u64,
}

impl Default for PartitionState {
    fn default() -> Self {
        Self::new()
    }
}

impl PartitionState {
    /// The state before the first record of a stream.
    pub fn new() -> Self {
        Self {
            rooted: true,
            epoch: 0,
            owner: None,
            released: false,
            sequence: 0,
            accepted: 0,
            root: 0,
            open: None,
            partial: false,
            forgotten_before_ms: 0,
            programs: BTreeMap::new(),
            by_key: BTreeMap::new(),
            unknown: BTreeSet::new(),
            ignored_entries: 0,
        }
    }

    /// The state before a stream's first kept record, when no snapshot is known.
    ///
    /// Nothing but a claim with [`RESET_EPOCH`] has an effect on it.
    pub fn unrooted() -> Self {
        Self {
            rooted: false,
            ..Self::new()
        }
    }

    /// The state before the batch that begins a complete snapshot.
    pub fn at_root(root: Offset, batch: &Batch) -> Self {
        Self {
            epoch: batch.epoch,
            sequence: batch.sequence.wrapping_sub(1),
            root,
            partial: true,
            ..Self::new()
        }
    }

    /// Applies the record at an offset. Offsets must grow.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        match record {
            Record::Claim(claim) => self.apply_claim(offset, claim),
            Record::Batch(batch) => self.apply_batch(offset, batch),
        }
    }

    /// The epoch in force; 0 before the first claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The owner in force.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Whether the owner has given the partition up.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Whether the state is the stream's, and not just empty for want of a beginning.
    pub fn is_rooted(&self) -> bool {
        self.rooted
    }

    /// Sequence of the last accepted batch of the epoch.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Offset of the last accepted batch.
    pub fn last_accepted_offset(&self) -> Offset {
        self.accepted
    }

    /// Where a reader may start: the batch that begins the newest complete snapshot, or 0.
    pub fn root(&self) -> Offset {
        self.root
    }

    /// Whether programs are missing until the snapshot under way is complete.
    pub fn is_partial(&self) -> bool {
        self.partial
    }

    /// Offset of the batch that begins the snapshot under way.
    pub fn open_snapshot(&self) -> Option<Offset> {
        self.open.map(|open| open.root)
    }

    /// Programs that ended before this time, in Unix milliseconds, may have been forgotten.
    pub fn forgotten_before_ms(&self) -> u64 {
        self.forgotten_before_ms
    }

    /// Entries of accepted batches that had no effect.
    pub fn ignored_entries(&self) -> u64 {
        self.ignored_entries
    }

    /// Finds a program. The caller checks whose it is.
    pub fn program(&self, program: ProgramId) -> Option<&Program> {
        self.programs.get(&program)
    }

    /// Finds the program that a client account began under a key.
    pub fn program_by_key(
        &self,
        environment: &EnvironmentId,
        client_account: &ClientAccountId,
        key: &str,
    ) -> Option<&Program> {
        let mark = program_key_fingerprint(environment, client_account, Some(key));
        self.programs.get(self.by_key.get(&mark)?)
    }

    /// All programs, in the order of their ids and so of their issue.
    pub fn programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.values()
    }

    /// Programs with an action that a person has to resolve.
    pub fn unresolved(&self) -> impl Iterator<Item = &Program> {
        let programs = &self.programs;
        self.unknown.iter().filter_map(|id| programs.get(id))
    }

    fn apply_claim(&mut self, offset: Offset, claim: &Claim) -> Applied {
        let reset = claim.expects == RESET_EPOCH;
        if !self.rooted && !reset {
            return Applied::Rejected(RejectReason::Unrooted);
        }
        if claim.expects != self.epoch && !reset {
            return Applied::Rejected(RejectReason::ClaimLost);
        }
        if reset {
            *self = Self::new();
        }
        if !self.released {
            self.charge_reservations();
        }
        self.epoch = offset;
        self.owner = Some(Owner {
            node: claim.owner.clone(),
            incarnation: claim.incarnation,
        });
        self.released = false;
        self.sequence = 0;
        self.open = None;
        Applied::Claimed
    }

    fn apply_batch(&mut self, offset: Offset, batch: &Batch) -> Applied {
        if let Some(reason) = self.reject_reason(batch) {
            return Applied::Rejected(reason);
        }
        self.sequence = batch.sequence;
        self.accepted = offset;
        let mut ignored = Vec::new();
        for (index, entry) in batch.entries.iter().enumerate() {
            let Err(why) = self.apply_entry(offset, index, entry) else {
                continue;
            };
            // The image of a program that is missing so far will show the entry's effect.
            if self.partial && why == EntryError::NoProgram {
                continue;
            }
            ignored.push((index, why));
        }
        self.ignored_entries += ignored.len() as u64;
        Applied::Accepted(ignored)
    }

    /// Tells why a batch has no effect.
    fn reject_reason(&self, batch: &Batch) -> Option<RejectReason> {
        if !self.rooted {
            return Some(RejectReason::Unrooted);
        }
        if batch.epoch != self.epoch {
            return Some(RejectReason::Epoch);
        }
        if self.released {
            return Some(RejectReason::Released);
        }
        if batch.sequence != self.sequence + 1 {
            return Some(RejectReason::Sequence);
        }
        None
    }

    /// Counts what the owner before had reserved as spent.
    fn charge_reservations(&mut self) {
        for program in self.programs.values_mut() {
            program.charge_reserved();
        }
    }
}

/// Finds the newest snapshot that a record vouches for.
///
/// Writers name a root only after they have read the end of its snapshot as committed, so that
/// also a void record proves it.
pub(crate) fn root_of(record: &Record) -> Offset {
    match record {
        Record::Claim(claim) => claim.root,
        Record::Batch(batch) => batch.root,
    }
}

/// Tells whether a batch begins a snapshot.
pub(crate) fn begins_snapshot(batch: &Batch) -> bool {
    matches!(
        batch.entries.first(),
        Some(Entry::Snapshot(Snapshot::Begin { .. }))
    )
}
