//! Replicas of entries that were acknowledged as pending, stored on a sidecar until the entries are
//! in the log.

use crate::ids::{CallId, Partition, ProgramId};
use crate::protocol::record::Entry;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Approximate size of an entry, excluding its texts.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// The entries do not fit into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CapacityExceeded;

/// Entries by partition, in the order of their arrival.
///
/// Invariant: `bytes` is the size of all entries and at most `limit_bytes`.
pub(crate) struct PendingEntries {
    limit_bytes: usize,
    bytes: usize,
    partitions: BTreeMap<Partition, Vec<Entry>>,
}

impl PendingEntries {
    /// Creates an empty table with a capacity of `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            bytes: 0,
            partitions: BTreeMap::new(),
        }
    }

    /// Inserts all entries or none. Entries that are already in the table are skipped.
    pub(crate) fn insert(
        &mut self,
        partition: Partition,
        entries: Vec<Entry>,
    ) -> Result<(), CapacityExceeded> {
        let stored = self.partitions.entry(partition).or_default();
        let new: Vec<Entry> = entries
            .into_iter()
            .filter(|e| !stored.contains(e))
            .collect();
        let new_bytes: usize = new.iter().map(entry_bytes).sum();
        if self.bytes + new_bytes > self.limit_bytes {
            return Err(CapacityExceeded);
        }
        self.bytes += new_bytes;
        stored.extend(new);
        Ok(())
    }

    /// Returns the entries of a partition.
    pub(crate) fn entries(&self, partition: Partition) -> Vec<Entry> {
        self.partitions.get(&partition).cloned().unwrap_or_default()
    }

    /// Removes a program's creation and the turns of these calls, which are in the log.
    pub(crate) fn remove_committed(
        &mut self,
        partition: Partition,
        program: ProgramId,
        calls: &[CallId],
    ) {
        let Some(stored) = self.partitions.get_mut(&partition) else {
            return;
        };
        let is_committed = |entry: &Entry| match entry {
            Entry::Created(created) => created.program == program,
            Entry::Turn(turn) => turn.program == program && calls.contains(&turn.call),
            _ => false,
        };
        let removed_bytes: usize = stored
            .iter()
            .filter(|e| is_committed(e))
            .map(entry_bytes)
            .sum();
        stored.retain(|entry| !is_committed(entry));
        self.bytes -= removed_bytes;
    }
}

/// Returns the approximate size of an entry.
fn entry_bytes(entry: &Entry) -> usize {
    let text: usize = match entry {
        Entry::Turn(turn) => turn.messages.iter().map(|m| m.content.len()).sum(),
        _ => 0,
    };
    ENTRY_OVERHEAD_BYTES + text
}
