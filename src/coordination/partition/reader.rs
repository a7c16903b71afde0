//! Reads of a stream: finding the record to start at, and fetching batches by their offsets.

use super::Shared;
use crate::coordination::commit::decode;
use crate::ids::{BranchId, Offset, ProgramId};
use crate::protocol::log::{Log, LogError, LogPage, ReadLimit};
use crate::protocol::record::{Entry, Record, Snapshot, Turn};
use crate::state::history::HistoryError;
use crate::state::partition::{PartitionState, begins_snapshot, root_of};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Offset of the first record of a stream.
const FIRST_OFFSET: Offset = 1;
/// Number of records at the end of the stream that the first search for a snapshot's root covers.
const SEARCH_RECORDS: u64 = 64;
/// Factor by which each further search covers more records.
const SEARCH_GROWTH: u64 = 8;
/// Maximum bytes of one read in a search for a root or for batches.
const BODY_READ_BYTES: usize = 256 << 10;

/// Entries of batches by the offset of the batch.
pub(super) type BatchEntries = HashMap<Offset, Vec<Entry>>;

/// Position and state at which a reader starts.
pub(super) struct Start {
    /// State before the first record to read.
    pub(super) state: PartitionState,
    /// Offset of the first record to read.
    pub(super) next_offset: Offset,
}

/// Finds the start of the newest complete snapshot, or of the stream if there is none.
pub(super) async fn find_start<L: Log>(log: &L, stream: &str) -> Result<Start, LogError> {
    let (first, next) = stream_bounds(log, stream).await?;
    if let Some(root) = newest_root(log, stream, first, next).await?
        && let Some(state) = state_at(log, stream, root).await?
    {
        return Ok(Start {
            state,
            next_offset: root,
        });
    }
    let state = if first <= FIRST_OFFSET {
        PartitionState::new()
    } else {
        log::error!(target: "partition", "partition: {stream} is trimmed before offset {first} and has no snapshot; its state is incomplete");
        PartitionState::unrooted()
    };
    Ok(Start {
        state,
        next_offset: first,
    })
}

/// Returns the offset of the oldest record and the offset that the next record will get.
async fn stream_bounds<L: Log>(log: &L, stream: &str) -> Result<(Offset, Offset), LogError> {
    let page = match read_page(log, stream, FIRST_OFFSET, 1).await {
        Err(LogError::Trimmed { first }) => read_page(log, stream, first, 1).await?,
        other => other?,
    };
    Ok((page.first.max(FIRST_OFFSET), page.next))
}

/// Searches backwards from the end of the stream for the newest root.
async fn newest_root<L: Log>(
    log: &L,
    stream: &str,
    first: Offset,
    next: Offset,
) -> Result<Option<Offset>, LogError> {
    let mut span = SEARCH_RECORDS;
    let mut end = next;
    while end > first {
        let start = end.saturating_sub(span).max(first);
        let root = largest_root(log, stream, start, end).await?;
        if root >= first {
            return Ok(Some(root));
        }
        end = start;
        span *= SEARCH_GROWTH;
    }
    Ok(None)
}

/// Returns the largest root that a record between two offsets refers to, or 0.
async fn largest_root<L: Log>(
    log: &L,
    stream: &str,
    start: Offset,
    end: Offset,
) -> Result<Offset, LogError> {
    let mut root = 0;
    let mut from = start;
    while from < end {
        let page = read_page(log, stream, from, BODY_READ_BYTES).await?;
        let Some(last) = page.records.last() else {
            break;
        };
        from = last.offset + 1;
        for record in &page.records {
            root = root.max(decode(&record.data).map_or(0, |r| root_of(&r)));
        }
    }
    Ok(root)
}

/// Returns the state before the batch at `root`, or `None` if no snapshot begins there.
async fn state_at<L: Log>(
    log: &L,
    stream: &str,
    root: Offset,
) -> Result<Option<PartitionState>, LogError> {
    let page = read_page(log, stream, root, 1).await?;
    let first = page.records.first().filter(|record| record.offset == root);
    let state = match first.and_then(|record| decode(&record.data)) {
        Some(Record::Batch(batch)) if begins_snapshot(&batch) => {
            Some(PartitionState::at_root(root, &batch))
        }
        _ => None,
    };
    if state.is_none() {
        log::error!(target: "partition", "partition: no snapshot of {stream} begins at offset {root}");
    }
    Ok(state)
}

/// Reads batches by their offsets. Batches that have been trimmed are missing in the result.
pub(super) async fn read_batches<L: Log>(
    log: &L,
    stream: &str,
    mut offsets: BTreeSet<Offset>,
) -> Result<BatchEntries, HistoryError> {
    let mut found = BatchEntries::new();
    while let Some(from) = offsets.first().copied() {
        let page = match read_page(log, stream, from, BODY_READ_BYTES).await {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) => {
                offsets = offsets.split_off(&first.max(from + 1));
                continue;
            }
            Err(error) => return Err(HistoryError::Unavailable(error.to_string())),
        };
        // The page starts with the first requested record, or that record does not exist. Either
        // way it need not be requested again.
        offsets.remove(&from);
        for record in page.records {
            let is_requested = record.offset == from || offsets.remove(&record.offset);
            if let Some(Record::Batch(batch)) = decode(&record.data).filter(|_| is_requested) {
                found.insert(record.offset, batch.entries);
            }
        }
    }
    Ok(found)
}

/// Returns the cached bodies of turns 1 to `count` of a branch.
pub(super) fn cached_turns(
    shared: &Shared,
    program: ProgramId,
    branch: BranchId,
    count: usize,
) -> Vec<Option<Arc<Turn>>> {
    let cache = &mut shared.lock().cache;
    (1..=count as u32)
        .map(|number| cache.get(&(program, branch, number)))
        .collect()
}

/// Returns the offsets of the turns that are missing in `turns`.
pub(super) fn missing_offsets(turns: &[Option<Arc<Turn>>], offsets: &[Offset]) -> BTreeSet<Offset> {
    let pairs = turns.iter().zip(offsets);
    pairs
        .filter(|(turn, _)| turn.is_none())
        .map(|(_, offset)| *offset)
        .collect()
}

/// Fills the missing turns from batches that were read, and caches them.
pub(super) fn fill_turns(
    shared: &Shared,
    turns: &mut [Option<Arc<Turn>>],
    batches: &BatchEntries,
    program: ProgramId,
    branch: BranchId,
) {
    let cache = &mut shared.lock().cache;
    for turn in batches.values().flatten().filter_map(turn_in) {
        let index = turn.number.wrapping_sub(1) as usize;
        let is_in_branch = turn.program == program && turn.branch == branch;
        let Some(slot) = turns
            .get_mut(index)
            .filter(|slot| is_in_branch && slot.is_none())
        else {
            continue;
        };
        let body = Arc::new(turn.clone());
        cache.insert(body.clone());
        *slot = Some(body);
    }
}

/// Returns the turn in an entry, including one relocated by a snapshot.
pub(super) fn turn_in(entry: &Entry) -> Option<&Turn> {
    match entry {
        Entry::Turn(turn) => Some(turn),
        Entry::Snapshot(Snapshot::Relocated(inner)) => match inner.as_ref() {
            Entry::Turn(turn) => Some(turn),
            _ => None,
        },
        _ => None,
    }
}

async fn read_page<L: Log>(
    log: &L,
    stream: &str,
    from: Offset,
    max_bytes: usize,
) -> Result<LogPage, LogError> {
    let limit = ReadLimit {
        max_bytes,
        wait: Duration::ZERO,
    };
    log.read(stream, from, limit).await
}
