//! The snapshot that an owner writes: when it begins, and what goes into the next batch.

use super::clock::LogClock;
use super::reader::Bodies;
use super::{PartitionConfig, PartitionIdentity};
use crate::ids::Offset;
use crate::protocol::record::{Entry, Snapshot};
use crate::state::partition::PartitionState;
use crate::state::snapshot::{ImageWriter, body_offsets_before, is_body_referenced, relocate};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// Batches read at a time.
const READ_BATCHES: usize = 64;

/// A snapshot under way.
struct Run {
    /// Set when the batch with the beginning has been applied.
    imager: Option<ImageWriter>,
    /// Whether the beginning has been put in a batch.
    begun: bool,
    /// Offsets of batches with bodies to write again.
    old: VecDeque<Offset>,
    /// Whether such a batch is being read.
    reading: bool,
    /// Entries to write again.
    carried: Vec<Entry>,
    /// Whether the end has been put in a batch.
    ended: bool,
}

/// Decides on snapshots and makes their entries.
pub(super) struct Snapshots {
    run: Option<Run>,
    /// Time of the log at the newest root, or at the first record met.
    root_ms: Option<u64>,
    /// The beginning that was met last, and its time.
    begin: (Offset, u64),
    root: Offset,
    bytes_since: u64,
}

impl Snapshots {
    /// Starts without knowing any.
    pub(super) fn new() -> Self {
        Self {
            run: None,
            root_ms: None,
            begin: (0, 0),
            root: 0,
            bytes_since: 0,
        }
    }

    /// Learns the time of a record in the stream.
    pub(super) fn meet(&mut self, at_ms: u64) {
        self.root_ms.get_or_insert(at_ms);
    }

    /// Learns that a record was applied, and the log's time now if it is known.
    pub(super) fn observe(
        &mut self,
        state: &PartitionState,
        offset: Offset,
        now_ms: Option<u64>,
        len: u64,
    ) {
        self.bytes_since += len;
        if state.open_snapshot() == Some(offset) {
            self.begin = (offset, now_ms.unwrap_or(0));
        }
        if state.root() != self.root {
            self.root = state.root();
            self.run = None;
            self.bytes_since = 0;
            if self.begin.0 == self.root {
                self.root_ms = Some(self.begin.1);
            }
        }
    }

    /// Gives up the snapshot under way, since its epoch has ended.
    pub(super) fn stop(&mut self) {
        self.run = None;
    }

    /// Plans a snapshot if it is time.
    pub(super) fn plan(
        &mut self,
        now: Instant,
        clock: &LogClock,
        config: &PartitionConfig,
        state: &PartitionState,
    ) {
        let (Some(now_ms), Some(root_ms)) = (clock.now_ms(now), self.root_ms) else {
            return;
        };
        let age_ms = now_ms.saturating_sub(root_ms);
        let interval = config.retention / config.snapshots_per_retention.max(1);
        let due = u128::from(age_ms) >= interval.as_millis()
            || self.bytes_since >= config.snapshot_after_bytes;
        if self.run.is_some() || !due {
            return;
        }
        let cutoff = clock.older_than(now, config.retention / 2);
        self.run = Some(Run {
            imager: None,
            begun: false,
            old: body_offsets_before(state, cutoff),
            reading: false,
            carried: Vec::new(),
            ended: false,
        });
    }

    /// Returns the offsets of the next batches whose bodies are to be read; may be none.
    pub(super) fn next_read(&mut self) -> BTreeSet<Offset> {
        let Some(run) = &mut self.run else {
            return BTreeSet::new();
        };
        if run.reading || !run.carried.is_empty() {
            return BTreeSet::new();
        }
        let count = run.old.len().min(READ_BATCHES);
        run.reading = count > 0;
        run.old.drain(..count).collect()
    }

    /// Takes batches that were read; those that are missing are trimmed.
    pub(super) fn carry(&mut self, state: &PartitionState, bodies: Bodies) {
        let Some(run) = &mut self.run else {
            return;
        };
        run.reading = false;
        for (offset, entries) in bodies {
            let needed = entries
                .into_iter()
                .filter(|entry| is_body_referenced(state, offset, entry));
            run.carried.extend(needed.map(relocate));
        }
    }

    /// Learns that batches could not be read, since the log does not answer.
    pub(super) fn read_failed(&mut self, wanted: BTreeSet<Offset>) {
        if let Some(run) = &mut self.run {
            run.reading = false;
            run.old.extend(wanted);
        }
    }

    /// Returns what stands at the front of the next batch. All batches before are applied.
    pub(super) fn front(
        &mut self,
        identity: &PartitionIdentity,
        config: &PartitionConfig,
        forget_before_ms: u64,
        state: &PartitionState,
    ) -> Vec<Entry> {
        let Some(run) = self.run.as_mut().filter(|run| !run.ended) else {
            return Vec::new();
        };
        if !run.begun {
            run.begun = true;
            return vec![Entry::Snapshot(Snapshot::Begin {
                owner: identity.node.clone(),
                incarnation: identity.incarnation,
                forget_before_ms,
            })];
        }
        let imager = run.imager.get_or_insert_with(|| ImageWriter::new(state));
        let mut entries = imager.next_images(state, config.snapshot_share_bytes);
        entries.append(&mut run.carried);
        let is_done = imager.is_done() && run.old.is_empty() && !run.reading;
        if let Some(root) = state.open_snapshot().filter(|_| is_done) {
            entries.push(Entry::Snapshot(Snapshot::End { root }));
            run.ended = true;
        }
        entries
    }
}
