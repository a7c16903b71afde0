//! Lifetimes of endpoints that stated in an answer that they are leaving.

use super::{EndpointRecord, InstanceId};
use std::collections::HashMap;
use std::time::Instant;

/// Maximum number of remembered lifetimes; many times the endpoints that leave in a day.
const MAX_LEAVING: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// Start time of the lifetime in Unix milliseconds, if known.
    started_unix_ms: Option<u64>,
    marked_at: Instant,
}

/// Relation of an entry to a lifetime that is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relation {
    /// The entry describes the leaving lifetime, or one before it.
    SameOrEarlier,
    /// The entry describes a later lifetime of the same id.
    Later,
}

/// Leaving lifetimes by instance id.
///
/// A mark outlives the endpoint's entry, because entries expire during an outage of the store and
/// come back after it. It ends when an entry of a later lifetime is read.
#[derive(Debug, Default)]
pub(super) struct LeavingInstances {
    marks: HashMap<InstanceId, Mark>,
}

impl LeavingInstances {
    /// Marks a lifetime and returns whether it was not marked before.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
    ) -> bool {
        if let Some(mark) = self.marks.get(id)
            && relation(mark.started_unix_ms, started_unix_ms) == Relation::SameOrEarlier
        {
            return false;
        }
        if self.marks.len() >= MAX_LEAVING {
            self.remove_oldest();
        }
        let mark = Mark {
            started_unix_ms,
            marked_at: now,
        };
        self.marks.insert(id.clone(), mark);
        true
    }

    /// Returns whether an entry describes a leaving lifetime, and ends the mark if the entry
    /// describes a later one.
    pub(super) fn check_entry(&mut self, record: &EndpointRecord) -> bool {
        let Some(mark) = self.marks.get_mut(&record.id) else {
            return false;
        };
        if relation(mark.started_unix_ms, record.started_unix_ms) == Relation::Later {
            self.marks.remove(&record.id);
            return false;
        }
        mark.started_unix_ms = mark.started_unix_ms.or(record.started_unix_ms);
        true
    }

    fn remove_oldest(&mut self) {
        let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.marked_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.marks.remove(&id);
        }
    }
}

/// Compares start times. An unknown one does not prove a later lifetime.
fn relation(leaving_started: Option<u64>, entry_started: Option<u64>) -> Relation {
    match (leaving_started, entry_started) {
        (Some(leaving), Some(entry)) if entry > leaving => Relation::Later,
        _ => Relation::SameOrEarlier,
    }
}
