//! Reading a stream: where to start, and bodies by their offsets.

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

/// Offset of a stream's first record.
const FIRST_OFFSET: Offset = 1;
/// Records looked at first for a snapshot's root.
const TAIL_RECORDS: u64 = 64;
/// Growth of the part looked at.
const TAIL_GROWTH: u64 = 8;
/// Data of one read of bodies.
const BODY_READ_BYTES: usize = 256 << 10;

/// Entries of batches, by the batches' offsets.
pub(super) type Bodies = HashMap<Offset, Vec<Entry>>;

/// Where a reader starts.
pub(super) struct Start {
    /// The state before the first record to read.
    pub(super) state: PartitionState,
    /// The first record to read.
    pub(super) from: Offset,
}

/// Finds the newest complete snapshot, or the stream's beginning.
pub(super) async fn start<L: Log>(log: &L, stream: &str) -> Result<Start, LogError> {
    let (first, next) = bounds(log, stream).await?;
    if let Some(root) = newest_root(log, stream, first, next).await?
        && let Some(state) = state_at(log, stream, root).await?
    {
        return Ok(Start { state, from: root });
    }
    let state = if first <= FIRST_OFFSET {
        PartitionState::new()
    } else {
        log::error!(target: "partition", "partition: {stream} is trimmed before {first} and has no snapshot");
        PartitionState::unrooted()
    };
    Ok(Start { state, from: first })
}

/// Reads the first kept offset and the next one to be given.
async fn bounds<L: Log>(log: &L, stream: &str) -> Result<(Offset, Offset), LogError> {
    let page = match read(log, stream, FIRST_OFFSET, 1).await {
        Err(LogError::Trimmed { first }) => read(log, stream, first, 1).await?,
        other => other?,
    };
    Ok((page.first.max(FIRST_OFFSET), page.next))
}

/// Looks for a root from the stream's end backwards.
async fn newest_root<L: Log>(
    log: &L,
    stream: &str,
    first: Offset,
    next: Offset,
) -> Result<Option<Offset>, LogError> {
    let mut span = TAIL_RECORDS;
    let mut end = next;
    while end > first {
        let start = end.saturating_sub(span).max(first);
        let root = largest_root(log, stream, start, end).await?;
        if root >= first {
            return Ok(Some(root));
        }
        end = start;
        span *= TAIL_GROWTH;
    }
    Ok(None)
}

/// Returns the largest root named between two offsets, or 0.
async fn largest_root<L: Log>(
    log: &L,
    stream: &str,
    start: Offset,
    end: Offset,
) -> Result<Offset, LogError> {
    let mut root = 0;
    let mut from = start;
    while from < end {
        let page = read(log, stream, from, BODY_READ_BYTES).await?;
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

/// Makes the state before the batch that begins a snapshot.
async fn state_at<L: Log>(
    log: &L,
    stream: &str,
    root: Offset,
) -> Result<Option<PartitionState>, LogError> {
    let page = read(log, stream, root, 1).await?;
    let first = page.records.first().filter(|record| record.offset == root);
    let state = match first.and_then(|record| decode(&record.data)) {
        Some(Record::Batch(batch)) if begins_snapshot(&batch) => {
            Some(PartitionState::at_root(root, &batch))
        }
        _ => None,
    };
    if state.is_none() {
        log::error!(target: "partition", "partition: {stream} has no snapshot at {root}");
    }
    Ok(state)
}

/// Reads batches by their offsets; those that the log no longer keeps are left out.
pub(super) async fn bodies<L: Log>(
    log: &L,
    stream: &str,
    mut wanted: BTreeSet<Offset>,
) -> Result<Bodies, HistoryError> {
    let mut found = Bodies::new();
    while let Some(from) = wanted.first().copied() {
        let page = match read(log, stream, from, BODY_READ_BYTES).await {
            Ok(page) => page,
            Err(LogError::Trimmed { first }) => {
                wanted = wanted.split_off(&first.max(from + 1));
                continue;
            }
            Err(error) => return Err(HistoryError::Unavailable(error.to_string())),
        };
        // The first wanted offset is read or does not exist: either way it is done with.
        wanted.remove(&from);
        for record in page.records {
            let is_wanted = record.offset == from || wanted.remove(&record.offset);
            if let Some(Record::Batch(batch)) = decode(&record.data).filter(|_| is_wanted) {
                found.insert(record.offset, batch.entries);
            }
        }
    }
    Ok(found)
}

/// Looks up the bodies of a branch's turns 1 to `count` in the cache.
pub(super) fn cached(
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

/// Offsets of the turns that were not in the cache.
pub(super) fn missing(turns: &[Option<Arc<Turn>>], places: &[Offset]) -> BTreeSet<Offset> {
    let pairs = turns.iter().zip(places);
    pairs
        .filter(|(turn, _)| turn.is_none())
        .map(|(_, offset)| *offset)
        .collect()
}

/// Puts bodies that were read in their places, and in the cache.
pub(super) fn fill(
    shared: &Shared,
    turns: &mut [Option<Arc<Turn>>],
    bodies: &Bodies,
    program: ProgramId,
    branch: BranchId,
) {
    let cache = &mut shared.lock().cache;
    for turn in bodies.values().flatten().filter_map(turn_of) {
        let index = turn.number.wrapping_sub(1) as usize;
        let ours = turn.program == program && turn.branch == branch;
        let Some(place) = turns.get_mut(index).filter(|place| ours && place.is_none()) else {
            continue;
        };
        let body = Arc::new(turn.clone());
        cache.insert(body.clone());
        *place = Some(body);
    }
}

/// The turn in an entry, also one that was written again.
pub(super) fn turn_of(entry: &Entry) -> Option<&Turn> {
    match entry {
        Entry::Turn(turn) => Some(turn),
        Entry::Snapshot(Snapshot::Relocated(carried)) => match carried.as_ref() {
            Entry::Turn(turn) => Some(turn),
            _ => None,
        },
        _ => None,
    }
}

async fn read<L: Log>(
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
