//! The snapshot that an owner writes: when it begins, and what goes into the next batch.

use super::clock::LogClock;
use super::reader::BatchEntries;
use super::{PartitionConfig, PartitionIdentity};
use crate::ids::Offset;
use crate::protocol::record::{Entry, Snapshot};
use crate::state::partition::PartitionState;
use crate::state::snapshot::{Imager, carry, old_bodies, still_needed};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// Batches read at a time.
const READ_BATCHES: usize = 64;

/// A snapshot under way.
struct SnapshotRun {
    /// Set when the batch with the beginning has been applied.
    image_writer: Option<Imager>,
    /// Whether the beginning has been put in a batch.
    is_begin_queued: bool,
    /// Offsets of batches with bodies to write again.
    batches_to_read: VecDeque<Offset>,
    /// Whether such a batch is being read.
    is_reading: bool,
    /// Entries to write again.
    relocated: Vec<Entry>,
    /// Whether the end has been put in a batch.
    is_end_queued: bool,
}

/// Decides on snapshots and makes their entries.
pub(super) struct SnapshotWriter {
    run: Option<SnapshotRun>,
    /// Time of the log at the newest root, or at the first record met.
    root_time_ms: Option<u64>,
    /// The beginning that was met last, and its time.
    last_begin: (Offset, u64),
    root: Offset,
    bytes_since: u64,
}

impl SnapshotWriter {
    /// Starts without knowing any.
    pub(super) fn new() -> Self {
        Self {
            run: None,
            root_time_ms: None,
            last_begin: (0, 0),
            root: 0,
            bytes_since: 0,
        }
    }

    /// Learns the time of a record in the stream.
    pub(super) fn observe_time(&mut self, at_ms: u64) {
        self.root_time_ms.get_or_insert(at_ms);
    }

    /// Learns that a record was applied, and the log's time now if it is known.
    pub(super) fn observe_applied(
        &mut self,
        state: &PartitionState,
        offset: Offset,
        now_ms: Option<u64>,
        len: u64,
    ) {
        self.bytes_since += len;
        if state.open_snapshot() == Some(offset) {
            self.last_begin = (offset, now_ms.unwrap_or(0));
        }
        if state.root() != self.root {
            self.root = state.root();
            self.run = None;
            self.bytes_since = 0;
            if self.last_begin.0 == self.root {
                self.root_time_ms = Some(self.last_begin.1);
            }
        }
    }

    /// Gives up the snapshot under way, since its epoch has ended.
    pub(super) fn abort(&mut self) {
        self.run = None;
    }

    /// Plans a snapshot if it is time.
    pub(super) fn start_if_due(
        &mut self,
        now: Instant,
        clock: &LogClock,
        config: &PartitionConfig,
        state: &PartitionState,
    ) {
        let (Some(now_ms), Some(root_ms)) = (clock.now_ms(now), self.root_time_ms) else {
            return;
        };
        let age_ms = now_ms.saturating_sub(root_ms);
        let interval = config.retention / config.snapshots_per_retention.max(1);
        let due = u128::from(age_ms) >= interval.as_millis()
            || self.bytes_since >= config.snapshot_after_bytes;
        if self.run.is_some() || !due {
            return;
        }
        let cutoff = clock.cutoff_offset(now, config.retention / 2);
        self.run = Some(SnapshotRun {
            image_writer: None,
            is_begin_queued: false,
            batches_to_read: old_bodies(state, cutoff),
            is_reading: false,
            relocated: Vec::new(),
            is_end_queued: false,
        });
    }

    /// Returns the offsets of the next batches whose bodies are to be read; may be none.
    pub(super) fn next_read(&mut self) -> BTreeSet<Offset> {
        let Some(run) = &mut self.run else {
            return BTreeSet::new();
        };
        if run.is_reading || !run.relocated.is_empty() {
            return BTreeSet::new();
        }
        let count = run.batches_to_read.len().min(READ_BATCHES);
        run.is_reading = count > 0;
        run.batches_to_read.drain(..count).collect()
    }

    /// Takes batches that were read; those that are missing are trimmed.
    pub(super) fn add_relocated(&mut self, state: &PartitionState, bodies: BatchEntries) {
        let Some(run) = &mut self.run else {
            return;
        };
        run.is_reading = false;
        for (offset, entries) in bodies {
            let needed = entries
                .into_iter()
                .filter(|entry| still_needed(state, offset, entry));
            run.relocated.extend(needed.map(carry));
        }
    }

    /// Learns that batches could not be read, since the log does not answer.
    pub(super) fn on_read_failed(&mut self, wanted: BTreeSet<Offset>) {
        if let Some(run) = &mut self.run {
            run.is_reading = false;
            run.batches_to_read.extend(wanted);
        }
    }

    /// Returns what stands at the front of the next batch. All batches before are applied.
    pub(super) fn next_entries(
        &mut self,
        identity: &PartitionIdentity,
        config: &PartitionConfig,
        forget_before_ms: u64,
        state: &PartitionState,
    ) -> Vec<Entry> {
        let Some(run) = self.run.as_mut().filter(|run| !run.is_end_queued) else {
            return Vec::new();
        };
        if !run.is_begin_queued {
            run.is_begin_queued = true;
            return vec![Entry::Snapshot(Snapshot::Begin {
                owner: identity.node.clone(),
                incarnation: identity.incarnation,
                forget_before_ms,
            })];
        }
        let imager = run.image_writer.get_or_insert_with(|| Imager::new(state));
        let mut entries = imager.take(state, config.snapshot_batch_bytes);
        entries.append(&mut run.relocated);
        let is_done = imager.is_done() && run.batches_to_read.is_empty() && !run.is_reading;
        if let Some(root) = state.open_snapshot().filter(|_| is_done) {
            entries.push(Entry::Snapshot(Snapshot::End { root }));
            run.is_end_queued = true;
        }
        entries
    }
}
