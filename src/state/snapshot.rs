//! Snapshot contents, which let a reader skip the start of a partition's stream.

use crate::ids::{Offset, ProgramId};
use crate::protocol::image::{ActionPhase, Program};
use crate::protocol::record::{Entry, Snapshot};
use crate::state::partition::PartitionState;
use std::collections::VecDeque;

/// Approximate size of a program's image, excluding its lists.
const IMAGE_BYTES: usize = 400;
/// Approximate size of one turn's location in an image.
const LOCATION_BYTES: usize = 28;
/// Approximate size of one action in an image.
const ACTION_BYTES: usize = 250;

/// Produces the images of all programs in several parts.
///
/// Invariant: an image reflects every batch that precedes it in the stream. Therefore
/// [`ImageWriter::next_images`] is called only when no batch is in flight, and its entries go to
/// the front of the next batch. Programs that begin after the snapshot need no image, because a
/// reader that starts at the root reads their creation.
pub(crate) struct ImageWriter {
    remaining: VecDeque<ProgramId>,
}

impl ImageWriter {
    /// Schedules the images of all programs that exist now.
    pub(crate) fn new(state: &PartitionState) -> Self {
        Self {
            remaining: state.programs().map(|program| program.program).collect(),
        }
    }

    /// Returns the next images, of about `target_bytes` in total. Unless all images have been
    /// returned or `target_bytes` is 0, there is at least one.
    pub(crate) fn next_images(
        &mut self,
        state: &PartitionState,
        target_bytes: usize,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while bytes < target_bytes {
            let Some(id) = self.remaining.pop_front() else {
                break;
            };
            let Some(program) = state.program(id) else {
                continue;
            };
            bytes += image_bytes(program);
            entries.push(Entry::Snapshot(Snapshot::Program(Box::new(
                program.clone(),
            ))));
        }
        entries
    }

    /// Returns whether all images have been returned.
    pub(crate) fn is_done(&self) -> bool {
        self.remaining.is_empty()
    }
}

/// Returns the offsets of records before `cutoff` that hold referenced bodies, sorted and without
/// duplicates.
pub(crate) fn body_offsets_before(state: &PartitionState, cutoff: Offset) -> VecDeque<Offset> {
    let mut offsets: Vec<Offset> = state
        .programs()
        .flat_map(body_offsets)
        .filter(|offset| *offset < cutoff)
        .collect();
    offsets.sort_unstable();
    offsets.dedup();
    offsets.into()
}

/// Returns whether the state still refers to the body of an entry at this offset.
pub(crate) fn is_body_referenced(state: &PartitionState, offset: Offset, entry: &Entry) -> bool {
    match entry {
        Entry::Snapshot(Snapshot::Relocated(inner)) => is_body_referenced(state, offset, inner),
        Entry::Turn(turn) => state
            .program(turn.program)
            .and_then(|program| program.branch(turn.branch))
            .and_then(|branch| branch.turns.get(turn.number.wrapping_sub(1) as usize))
            .is_some_and(|location| location.offset == offset && location.call == turn.call as u64),
        Entry::Superseded(turn) => state.program(turn.program).is_some_and(|program| {
            let mut superseded = program.superseded.iter();
            superseded.any(|other| other.offset == offset && other.call == turn.call)
        }),
        Entry::Intent(intent) => state
            .program(intent.program)
            .and_then(|program| program.action(intent.call))
            .is_some_and(|action| action.offset == offset),
        Entry::Outcome(outcome) => state
            .program(outcome.program)
            .and_then(|program| program.action(outcome.call))
            .is_some_and(|action| action.state.outcome() == Some(offset)),
        _ => false,
    }
}

/// Wraps an entry for a new copy of its body, unless it is already wrapped.
pub(crate) fn relocate(entry: Entry) -> Entry {
    match entry {
        Entry::Snapshot(Snapshot::Relocated(_)) => entry,
        other => Entry::Snapshot(Snapshot::Relocated(Box::new(other))),
    }
}

fn body_offsets(program: &Program) -> Vec<Offset> {
    let turns = program
        .branches
        .iter()
        .flat_map(|branch| branch.turns.iter().map(|location| location.offset));
    let superseded = program.superseded.iter().map(|turn| turn.offset);
    let intents = program.actions.iter().map(|action| action.offset);
    let outcomes = program
        .actions
        .iter()
        .filter_map(|action| ActionPhase::outcome(action.state));
    turns
        .chain(superseded)
        .chain(intents)
        .chain(outcomes)
        .collect()
}

fn image_bytes(program: &Program) -> usize {
    IMAGE_BYTES + program.turn_count() * LOCATION_BYTES + program.actions.len() * ACTION_BYTES
}
