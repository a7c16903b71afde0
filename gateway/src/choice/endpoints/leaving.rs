//! Incarnations of endpoints that stated in an answer that they are leaving.

use super::{EndpointRecord, InstanceId};
use std::collections::HashMap;

/// Maximum number of remembered incarnations; many times the endpoints that leave in a day.
const MAX_LEAVING: usize = 4_096;

/// Minimum time between the start of an incarnation and an answer that counts as its own, if the list
/// of endpoints showed an earlier incarnation at that time. It covers steps of the clocks.
const CLOCK_MARGIN_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Start time of the incarnation in Unix milliseconds, if known.
    started_unix_ms: Option<u64>,
    /// Time of the answer in Unix milliseconds.
    marked_unix_ms: u64,
}

impl Mark {
    /// Returns whether an entry with this start time describes an incarnation after the leaving one.
    ///
    /// An unknown start time does not prove that. Neither does a later one that precedes the answer:
    /// the list was late, and the incarnation that it did not show yet has answered.
    fn precedes(&self, started_unix_ms: Option<u64>) -> bool {
        let (Some(leaving), Some(entry)) = (self.started_unix_ms, started_unix_ms) else {
            return false;
        };
        entry > leaving && entry.saturating_add(CLOCK_MARGIN_MS) > self.marked_unix_ms
    }
}

/// Leaving incarnations by instance id.
///
/// A mark outlives the endpoint's entry, because entries expire during an outage of the store and
/// come back after it. It ends when an entry of a later incarnation is read.
#[derive(Debug, Default)]
pub(super) struct LeavingInstances {
    marks: HashMap<InstanceId, Mark>,
}

impl LeavingInstances {
    /// Marks an incarnation and returns whether it was not marked before.
    pub(super) fn insert(
        &mut self,
        now_unix_ms: u64,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
    ) -> bool {
        let mark = self.marks.get(id);
        if mark.is_some_and(|mark| !mark.precedes(started_unix_ms)) {
            return false;
        }
        if self.marks.len() >= MAX_LEAVING {
            self.remove_oldest();
        }
        let mark = Mark {
            started_unix_ms,
            marked_unix_ms: now_unix_ms,
        };
        self.marks.insert(id.clone(), mark);
        true
    }

    /// Returns whether an entry describes a leaving incarnation, and ends the mark if the entry
    /// describes a later one.
    pub(super) fn check_entry(&mut self, record: &EndpointRecord) -> bool {
        let Some(mark) = self.marks.get_mut(&record.id) else {
            return false;
        };
        if mark.precedes(record.started_unix_ms) {
            self.marks.remove(&record.id);
            return false;
        }
        mark.started_unix_ms = mark.started_unix_ms.max(record.started_unix_ms);
        true
    }

    fn remove_oldest(&mut self) {
        let oldest = self
            .marks
            .iter()
            .min_by_key(|(_, mark)| mark.marked_unix_ms);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.marks.remove(&id);
        }
    }
}
