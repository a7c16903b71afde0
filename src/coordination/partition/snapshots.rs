//! Snapshots written by the owner: when one starts, and which entries go into the next batch.

use super::clock::LogClock;
use super::reader::BatchEntries;
use super::{PartitionConfig, PartitionIdentity};
use crate::ids::Offset;
use crate::protocol::record::{Entry, Snapshot};
use crate::state::partition::PartitionState;
use crate::state::snapshot::{ImageWriter, body_offsets_before, is_body_referenced, relocate};
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

/// Maximum number of batches read at a time.
const READ_BATCHES: usize = 64;

/// A snapshot that this node is writing.
struct SnapshotRun {
    /// Writer of the images. It is created once the batch with the begin entry has been applied.
    image_writer: Option<ImageWriter>,
    /// Whether the begin entry has been put in a batch.
    is_begin_queued: bool,
    /// Offsets of the batches whose turn bodies must be relocated.
    batches_to_read: VecDeque<Offset>,
    /// Whether a read of such batches is in flight.
    is_reading: bool,
    /// Relocated entries that are not in a batch yet.
    relocated: Vec<Entry>,
    /// Whether the end entry has been put in a batch.
    is_end_queued: bool,
}

/// Decides when to start a snapshot and produces its entries.
pub(super) struct SnapshotWriter {
    run: Option<SnapshotRun>,
    /// Log time of the newest root, or of the first record read if no root is known, in
    /// milliseconds.
    root_time_ms: Option<u64>,
    /// Offset and log time, in milliseconds, of the last begin entry applied.
    last_begin: (Offset, u64),
    /// Offset of the newest root; 0 if none is known.
    root: Offset,
    /// Bytes of the records applied since the newest root became known.
    bytes_since_root: u64,
}

impl SnapshotWriter {
    /// Creates a writer that knows of no snapshot.
    pub(super) fn new() -> Self {
        Self {
            run: None,
            root_time_ms: None,
            last_begin: (0, 0),
            root: 0,
            bytes_since_root: 0,
        }
    }

    /// Observes the timestamp of a record in the stream.
    pub(super) fn observe_time(&mut self, at_ms: u64) {
        self.root_time_ms.get_or_insert(at_ms);
    }

    /// Observes that a record of `len` bytes was applied. `now_ms` is the log's time, if known.
    pub(super) fn observe_applied(
        &mut self,
        state: &PartitionState,
        offset: Offset,
        now_ms: Option<u64>,
        len: u64,
    ) {
        self.bytes_since_root += len;
        if state.open_snapshot() == Some(offset) {
            self.last_begin = (offset, now_ms.unwrap_or(0));
        }
        if state.root() != self.root {
            self.root = state.root();
            self.run = None;
            self.bytes_since_root = 0;
            if self.last_begin.0 == self.root {
                self.root_time_ms = Some(self.last_begin.1);
            }
        }
    }

    /// Abandons the snapshot in progress because its epoch is ending or has ended.
    pub(super) fn abort(&mut self) {
        self.run = None;
    }

    /// Starts a snapshot if the newest one is too old or too many bytes were written since.
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
        let is_due = u128::from(age_ms) >= interval.as_millis()
            || self.bytes_since_root >= config.snapshot_after_bytes;
        if self.run.is_some() || !is_due {
            return;
        }
        let cutoff = clock.cutoff_offset(now, config.retention / 2);
        self.run = Some(SnapshotRun {
            image_writer: None,
            is_begin_queued: false,
            batches_to_read: body_offsets_before(state, cutoff),
            is_reading: false,
            relocated: Vec::new(),
            is_end_queued: false,
        });
    }

    /// Returns the offsets of the next batches to read for relocation; empty if no read is due.
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

    /// Adds the entries to relocate from batches that were read. Missing batches have been trimmed.
    pub(super) fn add_relocated(&mut self, state: &PartitionState, batches: BatchEntries) {
        let Some(run) = &mut self.run else {
            return;
        };
        run.is_reading = false;
        for (offset, entries) in batches {
            let referenced = entries
                .into_iter()
                .filter(|entry| is_body_referenced(state, offset, entry));
            run.relocated.extend(referenced.map(relocate));
        }
    }

    /// Requeues batches that could not be read because the log did not answer.
    pub(super) fn on_read_failed(&mut self, offsets: BTreeSet<Offset>) {
        if let Some(run) = &mut self.run {
            run.is_reading = false;
            run.batches_to_read.extend(offsets);
        }
    }

    /// Returns the entries with which the next batch starts. All earlier batches must have been
    /// applied.
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
        let image_writer = run
            .image_writer
            .get_or_insert_with(|| ImageWriter::new(state));
        let mut entries = image_writer.next_images(state, config.snapshot_batch_bytes);
        entries.append(&mut run.relocated);
        let is_done = image_writer.is_done() && run.batches_to_read.is_empty() && !run.is_reading;
        if let Some(root) = state.open_snapshot().filter(|_| is_done) {
            entries.push(Entry::Snapshot(Snapshot::End { root }));
            run.is_end_queued = true;
        }
        entries
    }
}
