//! Common parts of the folds of streams that may be trimmed.

use crate::ids::Offset;
use crate::protocol::log::LogRecord;

/// Fold of a stream whose records name a root.
///
/// A root is the offset of a checkpoint that the writer of the record has read as accepted, or 0
/// for the start of the stream. A reader that starts at a root reaches the same state as one that
/// reads the whole stream.
pub(crate) trait StreamFold {
    /// Name of the stream.
    const STREAM: &'static str;

    /// Returns the root named by a record; `None` if the data is not a valid record.
    fn root_of(data: &[u8]) -> Option<Offset>;

    /// Returns the next offset to read.
    fn next(&self) -> Offset;

    /// Continues at a root.
    fn restart_at(&mut self, root: Offset);

    /// Folds the next record.
    fn apply(&mut self, record: &LogRecord);
}

/// Position of an accepted checkpoint record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CheckpointRef {
    /// Its offset.
    pub(crate) offset: Offset,
    /// Time of the append, in Unix milliseconds by the log's clock.
    pub(crate) at_ms: u64,
}

/// Checkpoints known to a fold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Checkpoints {
    /// The newest accepted checkpoint.
    newest: Option<CheckpointRef>,
    /// The newest accepted checkpoint that a later record names, so that readers find it.
    referenced: Option<CheckpointRef>,
}

impl Checkpoints {
    /// Returns the root to name in new records.
    pub(crate) fn root(&self) -> Offset {
        self.newest.map_or(0, |checkpoint| checkpoint.offset)
    }

    /// Returns the newest checkpoint that a later record names, so that readers find it.
    pub(crate) fn referenced_checkpoint(&self) -> Option<CheckpointRef> {
        self.referenced
    }

    /// Returns whether no checkpoint has been accepted since the last restart.
    pub(crate) fn is_empty(&self) -> bool {
        self.newest.is_none()
    }

    /// Observes that a record names a root.
    pub(crate) fn observe_root(&mut self, root: Offset) {
        if let Some(checkpoint) = self.newest.filter(|checkpoint| checkpoint.offset == root) {
            self.referenced = Some(checkpoint);
        }
    }

    /// Adds an accepted checkpoint.
    pub(crate) fn add_checkpoint(&mut self, record: &LogRecord) {
        self.newest = Some(CheckpointRef {
            offset: record.offset,
            at_ms: record.at_ms,
        });
    }
}
