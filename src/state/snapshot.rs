//! What an owner writes so that a reader need not start at the stream's beginning.

use crate::ids::{Offset, ProgramId};
use crate::protocol::image::{ActionPhase, Program};
use crate::protocol::record::{Entry, Snapshot};
use crate::state::partition::PartitionState;
use std::collections::VecDeque;

/// Bytes of a program's image besides its lists, about.
const IMAGE_BYTES: usize = 400;
/// Bytes of one turn's place in an image, about.
const PLACE_BYTES: usize = 28;
/// Bytes of one action in an image, about.
const ACTION_BYTES: usize = 250;

/// Writes the images of all programs, a share at a time.
///
/// Invariant: an image shows the program after every batch that stands before it in the stream,
/// so [`Imager::take`] is called only when no batch is outstanding, and its entries go to the
/// front of the next one. Programs that begin after the snapshot need no image: a reader that
/// starts at the root meets their beginning.
pub(crate) struct ImageWriter {
    waiting: VecDeque<ProgramId>,
}

impl ImageWriter {
    /// Plans the images of the programs that exist now.
    pub(crate) fn new(state: &PartitionState) -> Self {
        Self {
            waiting: state.programs().map(|program| program.program).collect(),
        }
    }

    /// Returns images of up to about `target_bytes`, at least one.
    pub(crate) fn next_images(
        &mut self,
        state: &PartitionState,
        target_bytes: usize,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        while bytes < target_bytes {
            let Some(id) = self.waiting.pop_front() else {
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

    /// Whether every image has been taken.
    pub(crate) fn is_done(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Offsets, each once and in order, of records before `cutoff` that hold bodies still needed.
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

/// Returns those entries of an old batch whose bodies the state still finds at its offset.
pub(crate) fn is_body_referenced(state: &PartitionState, offset: Offset, entry: &Entry) -> bool {
    match entry {
        Entry::Snapshot(Snapshot::Relocated(carried)) => is_body_referenced(state, offset, carried),
        Entry::Turn(turn) => state
            .program(turn.program)
            .and_then(|program| program.branch(turn.branch))
            .and_then(|branch| branch.turns.get(turn.number.wrapping_sub(1) as usize))
            .is_some_and(|place| place.offset == offset && place.call == turn.call as u64),
        Entry::Superseded(turn) => state.program(turn.program).is_some_and(|program| {
            let mut kept = program.superseded.iter();
            kept.any(|kept| kept.offset == offset && kept.call == turn.call)
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

/// Writes an entry again, unless it already is one that was.
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
        .flat_map(|branch| branch.turns.iter().map(|place| place.offset));
    let kept = program.superseded.iter().map(|kept| kept.offset);
    let intents = program.actions.iter().map(|action| action.offset);
    let outcomes = program
        .actions
        .iter()
        .filter_map(|action| ActionPhase::outcome(action.state));
    turns.chain(kept).chain(intents).chain(outcomes).collect()
}

fn image_bytes(program: &Program) -> usize {
    IMAGE_BYTES + program.turn_count() * PLACE_BYTES + program.actions.len() * ACTION_BYTES
}
