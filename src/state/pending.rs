//! Entries that are acknowledged as pending, held in a second memory until the log has them.

use crate::ids::{CallId, Partition, ProgramId};
use crate::protocol::record::Entry;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Bytes of an entry besides its texts, about.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// There is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CapacityExceeded;

/// Entries by partition, in the order in which they came.
///
/// Invariant: `bytes` is the weight of all entries and at most `limit_bytes`.
pub(crate) struct PendingEntries {
    limit_bytes: usize,
    bytes: usize,
    partitions: BTreeMap<Partition, Vec<Entry>>,
}

impl PendingEntries {
    /// Makes an empty table with room for `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            bytes: 0,
            partitions: BTreeMap::new(),
        }
    }

    /// Holds entries, all or none. Entries held already are passed over.
    pub(crate) fn insert(
        &mut self,
        partition: Partition,
        entries: Vec<Entry>,
    ) -> Result<(), CapacityExceeded> {
        let held = self.partitions.entry(partition).or_default();
        let new: Vec<Entry> = entries.into_iter().filter(|e| !held.contains(e)).collect();
        let weight: usize = new.iter().map(weight).sum();
        if self.bytes + weight > self.limit_bytes {
            return Err(CapacityExceeded);
        }
        self.bytes += weight;
        held.extend(new);
        Ok(())
    }

    /// Returns the entries of a partition.
    pub(crate) fn entries(&self, partition: Partition) -> Vec<Entry> {
        self.partitions.get(&partition).cloned().unwrap_or_default()
    }

    /// Drops a program's beginning and the turns of these calls, since the log has them.
    pub(crate) fn remove_committed(
        &mut self,
        partition: Partition,
        program: ProgramId,
        calls: &[CallId],
    ) {
        let Some(held) = self.partitions.get_mut(&partition) else {
            return;
        };
        let known = |entry: &Entry| match entry {
            Entry::Created(created) => created.program == program,
            Entry::Turn(turn) => turn.program == program && calls.contains(&turn.call),
            _ => false,
        };
        let dropped: usize = held.iter().filter(|e| known(e)).map(weight).sum();
        held.retain(|entry| !known(entry));
        self.bytes -= dropped;
    }
}

/// Returns the memory that an entry takes, about.
fn weight(entry: &Entry) -> usize {
    let text: usize = match entry {
        Entry::Turn(turn) => turn.messages.iter().map(|m| m.content.len()).sum(),
        _ => 0,
    };
    ENTRY_OVERHEAD_BYTES + text
}
