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
    fn restart(&mut self, root: Offset);

    /// Folds the next record.
    fn take(&mut self, record: &LogRecord);
}

/// A record that carried the whole state over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CarriedAt {
    /// Its offset.
    pub(crate) offset: Offset,
    /// When the log took it, in Unix milliseconds by the log's clock.
    pub(crate) at_ms: u64,
}

/// The roots that a fold knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Roots {
    /// The newest accepted carry-over.
    carried: Option<CarriedAt>,
    /// The newest accepted carry-over that a later record names, so that a reader finds it.
    named: Option<CarriedAt>,
}

impl Roots {
    /// Returns the root that records written now name.
    pub(crate) fn root(&self) -> Offset {
        self.carried.map_or(0, |carried| carried.offset)
    }

    /// Returns the newest carry-over that a reader would find.
    pub(crate) fn named(&self) -> Option<CarriedAt> {
        self.named
    }

    /// Tells whether no carry-over has been met yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.carried.is_none()
    }

    /// Takes the root that a record names.
    pub(crate) fn note(&mut self, root: Offset) {
        if let Some(carried) = self.carried.filter(|carried| carried.offset == root) {
            self.named = Some(carried);
        }
    }

    /// Takes an accepted carry-over.
    pub(crate) fn carry(&mut self, record: &LogRecord) {
        self.carried = Some(CarriedAt {
            offset: record.offset,
            at_ms: record.at_ms,
        });
    }
}
