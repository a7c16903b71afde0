//! Fold of the operations stream, which merges measurements and events of all entries.

use crate::ids::{Incarnation, NodeId, Offset};
use crate::protocol::log::LogRecord;
use crate::protocol::operations::{
    OPERATIONS_STREAM, OperationEvent, OperationsImage, OperationsRecord, OperationsUpdate, Writer,
};
use crate::state::burn::BurnTable;
use crate::state::stream::{CheckpointRef, Checkpoints, StreamFold};
use std::collections::BTreeMap;

/// Maximum number of stored events.
const MAX_EVENTS: usize = 4_096;

/// Minutes after which a writer without records is removed.
const WRITER_RETENTION_MINUTES: u64 = 3 * 24 * 60;

/// Position of a writer: its last applied record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WriterPosition {
    sequence: u64,
    minute: u64,
}

/// State of the fold.
///
/// Invariant: each record of a writer is counted once, even if it was appended several times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OperationsFold {
    next: Offset,
    through: Offset,
    table: BurnTable,
    events: Vec<OperationEvent>,
    writers: BTreeMap<(NodeId, Incarnation), WriterPosition>,
    checkpoints: Checkpoints,
}

impl OperationsFold {
    /// Returns the measurements.
    pub(crate) fn table(&self) -> &BurnTable {
        &self.table
    }

    /// Returns the events, oldest first.
    pub(crate) fn events(&self) -> &[OperationEvent] {
        &self.events
    }

    /// Returns the root to name in new records.
    pub(crate) fn root(&self) -> Offset {
        self.checkpoints.root()
    }

    /// Returns the newest checkpoint that a later record names, so that readers find it.
    pub(crate) fn referenced_checkpoint(&self) -> Option<CheckpointRef> {
        self.checkpoints.referenced_checkpoint()
    }

    /// Returns the sequence of a writer's last applied record; 0 if there is none.
    pub(crate) fn last_sequence(&self, node: &str, incarnation: Incarnation) -> u64 {
        let key = (node.to_string(), incarnation);
        self.writers
            .get(&key)
            .map_or(0, |position| position.sequence)
    }

    /// Returns the whole state, for a checkpoint.
    pub(crate) fn image(&self) -> OperationsImage {
        let writers = self.writers.iter();
        OperationsImage {
            through: self.through,
            writers: writers
                .map(|((node, incarnation), position)| Writer {
                    node: node.clone(),
                    incarnation: *incarnation,
                    sequence: position.sequence,
                    minute: position.minute,
                })
                .collect(),
            minutes: self.table.minutes(),
            hours: self.table.hours(),
            events: self.events.clone(),
        }
    }

    fn apply_update(&mut self, update: OperationsUpdate, record: &LogRecord) {
        self.through = record.offset;
        let minute = record.at_ms / 60_000;
        let key = (update.node, update.incarnation);
        let position = self.writers.entry(key).or_default();
        if update.sequence <= position.sequence {
            return;
        }
        *position = WriterPosition {
            sequence: update.sequence,
            minute,
        };
        self.writers
            .retain(|_, position| position.minute + WRITER_RETENTION_MINUTES >= minute);
        self.table.add_minutes(&update.minutes);
        self.insert_events(update.events);
    }

    /// Inserts events in the order of their times and drops the oldest above [`MAX_EVENTS`].
    fn insert_events(&mut self, events: Vec<OperationEvent>) {
        for event in events {
            let index = self
                .events
                .partition_point(|other| other.at_ms <= event.at_ms);
            self.events.insert(index, event);
        }
        let excess = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..excess);
    }

    /// Applies a checkpoint. After a restart, the first checkpoint may be newer than the current
    /// state. Any later one must be up to date.
    fn apply_checkpoint(&mut self, image: OperationsImage, record: &LogRecord) {
        let restarted = self.checkpoints.is_empty() && image.through > self.through;
        if image.through != self.through && !restarted {
            return;
        }
        if restarted {
            self.replace(image);
        }
        self.checkpoints.add_checkpoint(record);
    }

    fn replace(&mut self, image: OperationsImage) {
        self.through = image.through;
        self.table = BurnTable::from_cells(&image.minutes, &image.hours);
        self.events = image.events;
        let writers = image.writers.into_iter();
        self.writers = writers
            .map(|writer| {
                let Writer {
                    sequence, minute, ..
                } = writer;
                (
                    (writer.node, writer.incarnation),
                    WriterPosition { sequence, minute },
                )
            })
            .collect();
    }
}

impl StreamFold for OperationsFold {
    const STREAM: &'static str = OPERATIONS_STREAM;

    fn root_of(data: &[u8]) -> Option<Offset> {
        let record: OperationsRecord = ciborium::from_reader(data).ok()?;
        Some(record.root())
    }

    fn next(&self) -> Offset {
        self.next.max(1)
    }

    fn restart_at(&mut self, root: Offset) {
        self.next = root;
        self.checkpoints = Checkpoints::default();
    }

    fn apply(&mut self, record: &LogRecord) {
        if record.offset < self.next {
            return;
        }
        self.next = record.offset + 1;
        let Ok(decoded) = ciborium::from_reader(record.data.as_slice()) else {
            return;
        };
        let decoded: OperationsRecord = decoded;
        self.checkpoints.observe_root(decoded.root());
        match decoded {
            OperationsRecord::Update(update) => self.apply_update(update, record),
            OperationsRecord::Checkpoint { image, .. } => self.apply_checkpoint(image, record),
        }
    }
}
