//! What all folds of a stream that may be trimmed have in common.

use crate::ids::Offset;
use crate::protocol::log::LogRecord;

/// The fold of a stream whose records name a root.
///
/// A root is the offset of a record that carries the whole state over and that the naming writer
/// has seen accepted. A reader that starts there ends with the same state as one that read
/// everything; 0 stands for the start of the stream.
pub(crate) trait StreamFold {
    /// The stream's name.
    const STREAM: &'static str;

    /// Returns the root that a record names; `None` if the data is no record.
    fn root_of(data: &[u8]) -> Option<Offset>;

    /// Returns the offset to read from.
    fn next(&self) -> Offset;

    /// Continues at a root.
    fn restart_at(&mut self, root: Offset);

    /// Folds the next record.
    fn apply(&mut self, record: &LogRecord);
}

/// A record that carried the whole state over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CheckpointRef {
    /// Its offset.
    pub(crate) offset: Offset,
    /// When the log took it, in Unix milliseconds by the log's clock.
    pub(crate) at_ms: u64,
}

/// The roots that a fold knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Roots {
    /// The newest accepted carry-over.
    newest: Option<CheckpointRef>,
    /// The newest accepted carry-over that a later record names, so that a reader finds it.
    referenced: Option<CheckpointRef>,
}

impl Roots {
    /// Returns the root that records written now name.
    pub(crate) fn root(&self) -> Offset {
        self.newest.map_or(0, |checkpoint| checkpoint.offset)
    }

    /// Returns the newest carry-over that a reader would find.
    pub(crate) fn referenced_checkpoint(&self) -> Option<CheckpointRef> {
        self.referenced
    }

    /// Tells whether no carry-over has been met yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.newest.is_none()
    }

    /// Takes the root that a record names.
    pub(crate) fn observe_root(&mut self, root: Offset) {
        if let Some(checkpoint) = self.newest.filter(|checkpoint| checkpoint.offset == root) {
            self.referenced = Some(checkpoint);
        }
    }

    /// Takes an accepted carry-over.
    pub(crate) fn add_checkpoint(&mut self, record: &LogRecord) {
        self.newest = Some(CheckpointRef {
            offset: record.offset,
            at_ms: record.at_ms,
        });
    }
}
