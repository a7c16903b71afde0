//! Fold of a partition's stream: its owner and the index of its programs.

mod entries;

use crate::ids::{ClientAccountId, EnvironmentId, Epoch, Incarnation, NodeId, Offset, ProgramId};
use crate::protocol::image::Program;
use crate::protocol::record::{Batch, Claim, Entry, RESET_EPOCH, Record, Snapshot};
use crate::state::program::{EntryError, program_key_fingerprint};
use std::collections::{BTreeMap, BTreeSet};

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Applied {
    /// The claim made its writer the owner.
    Claimed,
    /// The batch was accepted, except for the ignored entries listed here by index.
    Accepted(Vec<(usize, EntryError)>),
    /// The record was rejected and had no effect.
    Rejected(RejectReason),
}

/// Reason why a record was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The claim expected an epoch other than the current one.
    ClaimLost,
    /// The batch belongs to an epoch other than the current one.
    Epoch,
    /// The batch is out of sequence in its epoch.
    Sequence,
    /// The owner has released the partition.
    Released,
    /// The start of the stream is trimmed, no snapshot is known, and no reset has been read yet.
    Unrooted,
}

/// The owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A snapshot whose begin entry has been applied and whose end entry has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenSnapshot {
    root: Offset,
}

/// State of one partition.
///
/// Invariants: the state depends only on the records applied, in order, from the start of the
/// stream or from a complete snapshot. `by_key` refers only to programs in `programs`.
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
    /// See [`PartitionState::is_rooted`].
    rooted: bool,
    epoch: Epoch,
    owner: Option<Owner>,
    released: bool,
    sequence: u64,
    last_accepted_offset: Offset,
    root: Offset,
    open_snapshot: Option<OpenSnapshot>,
    /// Whether the fold began at the root of a snapshot whose end has not been applied yet, so that
    /// programs are missing.
    partial: bool,
    forgotten_before_ms: u64,
    programs: BTreeMap<ProgramId, Program>,
    by_key: BTreeMap<u128, ProgramId>,
    unresolved: BTreeSet<ProgramId>,
    ignored_entries: u64,
}

impl Default for PartitionState {
    fn default() -> Self {
        Self::new()
    }
}

impl PartitionState {
    /// Creates the state before the first record of a stream.
    pub fn new() -> Self {
        Self {
            rooted: true,
            epoch: 0,
            owner: None,
            released: false,
            sequence: 0,
            last_accepted_offset: 0,
            root: 0,
            open_snapshot: None,
            partial: false,
            forgotten_before_ms: 0,
            programs: BTreeMap::new(),
            by_key: BTreeMap::new(),
            unresolved: BTreeSet::new(),
            ignored_entries: 0,
        }
    }

    /// Creates the state for a stream whose start is trimmed and of which no snapshot is known.
    ///
    /// Only a claim with [`RESET_EPOCH`] has an effect on it.
    pub fn unrooted() -> Self {
        Self {
            rooted: false,
            ..Self::new()
        }
    }

    /// Creates the state before the batch that begins a complete snapshot.
    pub fn at_root(root: Offset, batch: &Batch) -> Self {
        Self {
            epoch: batch.epoch,
            sequence: batch.sequence.wrapping_sub(1),
            root,
            partial: true,
            ..Self::new()
        }
    }

    /// Applies the record at an offset. Offsets must increase.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Applied {
        match record {
            Record::Claim(claim) => self.apply_claim(offset, claim),
            Record::Batch(batch) => self.apply_batch(offset, batch),
        }
    }

    /// Returns the current epoch; 0 before the first claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the current owner; `None` before the first claim.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Returns whether the owner has given up the partition.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Returns whether the state was built from the start of the stream, a snapshot or a reset.
    pub fn is_rooted(&self) -> bool {
        self.rooted
    }

    /// Returns the sequence of the last accepted batch of the epoch; 0 if there is none.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the offset of the last accepted batch; 0 if there is none.
    pub fn last_accepted_offset(&self) -> Offset {
        self.last_accepted_offset
    }

    /// Returns the offset at which a reader may start: that of the batch that begins the newest
    /// complete snapshot, or 0.
    pub fn root(&self) -> Offset {
        self.root
    }

    /// Returns whether programs are missing, because the fold began at the root of a snapshot whose
    /// end has not been applied yet.
    pub fn is_partial(&self) -> bool {
        self.partial
    }

    /// Returns the offset of the batch that begins the open snapshot, if there is one.
    pub fn open_snapshot(&self) -> Option<Offset> {
        self.open_snapshot.map(|snapshot| snapshot.root)
    }

    /// Returns the time, in Unix milliseconds, before which ended programs may have been removed.
    pub fn forgotten_before_ms(&self) -> u64 {
        self.forgotten_before_ms
    }

    /// Returns the number of entries in accepted batches that had no effect.
    pub fn ignored_entries(&self) -> u64 {
        self.ignored_entries
    }

    /// Finds a program. The caller must check the client account.
    pub fn program(&self, program: ProgramId) -> Option<&Program> {
        self.programs.get(&program)
    }

    /// Finds the program that a client account began with an idempotency key.
    pub fn program_by_key(
        &self,
        environment: &EnvironmentId,
        client_account: &ClientAccountId,
        key: &str,
    ) -> Option<&Program> {
        let fingerprint = program_key_fingerprint(environment, client_account, Some(key));
        self.programs.get(self.by_key.get(&fingerprint)?)
    }

    /// Returns all programs, sorted by id and therefore by time of issue.
    pub fn programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.values()
    }

    /// Returns the programs with an action that an operator must resolve.
    pub fn unresolved(&self) -> impl Iterator<Item = &Program> {
        let programs = &self.programs;
        self.unresolved.iter().filter_map(|id| programs.get(id))
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
        self.open_snapshot = None;
        Applied::Claimed
    }

    fn apply_batch(&mut self, offset: Offset, batch: &Batch) -> Applied {
        if let Some(reason) = self.reject_reason(batch) {
            return Applied::Rejected(reason);
        }
        self.sequence = batch.sequence;
        self.last_accepted_offset = offset;
        let mut ignored = Vec::new();
        for (index, entry) in batch.entries.iter().enumerate() {
            let Err(error) = self.apply_entry(offset, index, entry) else {
                continue;
            };
            // The program's image, which follows in the snapshot, includes the effect of the entry.
            if self.partial && error == EntryError::NoProgram {
                continue;
            }
            ignored.push((index, error));
        }
        self.ignored_entries += ignored.len() as u64;
        Applied::Accepted(ignored)
    }

    /// Returns the reason to reject a batch; `None` if it is accepted.
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

    /// Charges all reservations of the previous owner as spent.
    fn charge_reservations(&mut self) {
        for program in self.programs.values_mut() {
            program.charge_reserved();
        }
    }
}

/// Returns the root named by a record.
///
/// Writers name a root only after they have read the end of its snapshot from the log. Even a
/// rejected record therefore proves that the snapshot is complete.
pub(crate) fn root_of(record: &Record) -> Offset {
    match record {
        Record::Claim(claim) => claim.root,
        Record::Batch(batch) => batch.root,
    }
}

/// Returns whether a batch begins a snapshot.
pub(crate) fn begins_snapshot(batch: &Batch) -> bool {
    matches!(
        batch.entries.first(),
        Some(Entry::Snapshot(Snapshot::Begin { .. }))
    )
}
