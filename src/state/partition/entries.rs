//! Effects of the entries of an accepted batch.

use super::{OpenSnapshot, Owner, PartitionState};
use crate::ids::{ClientAccountId, Offset, ProgramId};
use crate::protocol::image::Program;
use crate::protocol::record::{Created, Entry, Outcome, Snapshot, Turn};
use crate::state::program::EntryError;

impl PartitionState {
    /// Applies one entry. On error, the state is unchanged.
    pub(super) fn apply_entry(
        &mut self,
        offset: Offset,
        index: usize,
        entry: &Entry,
    ) -> Result<(), EntryError> {
        match entry {
            Entry::Created(created) => self.create_program(created),
            Entry::Turn(turn) => self.program_of_turn(turn)?.add_turn(offset, turn),
            Entry::Superseded(turn) => self.program_of_turn(turn)?.add_superseded(offset, turn),
            Entry::Intent(intent) => self.program_mut(intent.program)?.add_intent(offset, intent),
            Entry::Outcome(outcome) => self.apply_outcome(offset, outcome),
            Entry::Ended(ended) => self.program_mut(ended.program)?.end(ended),
            Entry::Reserved(reserved) => {
                let program = self.program_mut(reserved.program)?;
                program.spent += reserved.spent;
                program.reserved = reserved.reserved;
                Ok(())
            }
            Entry::Snapshot(part) => self.apply_snapshot(offset, index, part),
            Entry::Released => {
                self.released = true;
                Ok(())
            }
        }
    }

    fn create_program(&mut self, created: &Created) -> Result<(), EntryError> {
        if self.programs.contains_key(&created.program) {
            return Err(EntryError::CreatedTwice);
        }
        self.insert_program(Program::new(created));
        Ok(())
    }

    fn apply_outcome(&mut self, offset: Offset, outcome: &Outcome) -> Result<(), EntryError> {
        let program = self.program_mut(outcome.program)?;
        program.add_outcome(offset, outcome)?;
        let unresolved = program.has_unknown_action();
        self.mark_unresolved(outcome.program, unresolved);
        Ok(())
    }

    fn apply_snapshot(
        &mut self,
        offset: Offset,
        index: usize,
        part: &Snapshot,
    ) -> Result<(), EntryError> {
        match part {
            Snapshot::Begin {
                owner,
                incarnation,
                forget_before_ms,
            } => {
                self.begin_snapshot(offset, index, *forget_before_ms)?;
                self.owner = Some(Owner {
                    node: owner.clone(),
                    incarnation: *incarnation,
                });
                Ok(())
            }
            Snapshot::Program(program) => {
                self.open_snapshot.ok_or(EntryError::SnapshotOrder)?;
                self.insert_program(program.as_ref().clone());
                Ok(())
            }
            Snapshot::Relocated(entry) => self.relocate_body(offset, entry),
            Snapshot::End { root } => self.finish_snapshot(*root),
        }
    }

    fn begin_snapshot(
        &mut self,
        offset: Offset,
        index: usize,
        forget_before_ms: u64,
    ) -> Result<(), EntryError> {
        if index != 0 {
            return Err(EntryError::SnapshotOrder);
        }
        self.open_snapshot = Some(OpenSnapshot { root: offset });
        self.forgotten_before_ms = self.forgotten_before_ms.max(forget_before_ms);
        self.forget_ended_before(forget_before_ms);
        Ok(())
    }

    fn finish_snapshot(&mut self, root: Offset) -> Result<(), EntryError> {
        let snapshot = self.open_snapshot.ok_or(EntryError::SnapshotOrder)?;
        if snapshot.root != root {
            return Err(EntryError::SnapshotOrder);
        }
        self.root = root;
        self.open_snapshot = None;
        self.partial = false;
        Ok(())
    }

    /// Updates the offset of a body after a copy was appended.
    ///
    /// If the program's image has not been read yet, there is nothing to update, because the image
    /// will hold the new offset.
    fn relocate_body(&mut self, offset: Offset, entry: &Entry) -> Result<(), EntryError> {
        let id = match entry {
            Entry::Turn(turn) | Entry::Superseded(turn) => turn.program,
            Entry::Intent(intent) => intent.program,
            Entry::Outcome(outcome) => outcome.program,
            _ => return Err(EntryError::SnapshotOrder),
        };
        let Some(program) = self.programs.get_mut(&id) else {
            return Ok(());
        };
        match entry {
            Entry::Turn(turn) => program.relocate_turn(offset, turn),
            Entry::Superseded(turn) => program.relocate_superseded(offset, turn),
            Entry::Intent(intent) => program.relocate_intent(offset, intent.call),
            Entry::Outcome(outcome) => program.relocate_outcome(offset, outcome.call),
            _ => {}
        }
        Ok(())
    }

    /// Removes programs that ended before a time, except those with an open or unknown action.
    fn forget_ended_before(&mut self, before_ms: u64) {
        let expired: Vec<ProgramId> = self
            .programs
            .values()
            .filter(|program| program.ended.is_some_and(|end| end.at_ms < before_ms))
            .filter(|program| !program.has_unknown_action())
            .filter(|program| program.open_actions().next().is_none())
            .map(|program| program.program)
            .collect();
        for id in expired {
            self.remove_program(id);
        }
    }

    /// Inserts a program or replaces its previous index.
    fn insert_program(&mut self, program: Program) {
        let id = program.program;
        if program.key != 0 {
            self.by_key.insert(program.key, id);
        }
        self.mark_unresolved(id, program.has_unknown_action());
        self.programs.insert(id, program);
    }

    fn remove_program(&mut self, id: ProgramId) {
        let Some(program) = self.programs.remove(&id) else {
            return;
        };
        self.unresolved.remove(&id);
        if self.by_key.get(&program.key) == Some(&id) {
            self.by_key.remove(&program.key);
        }
    }

    fn mark_unresolved(&mut self, id: ProgramId, unresolved: bool) {
        if unresolved {
            self.unresolved.insert(id);
        } else {
            self.unresolved.remove(&id);
        }
    }

    fn program_mut(&mut self, id: ProgramId) -> Result<&mut Program, EntryError> {
        self.programs.get_mut(&id).ok_or(EntryError::NoProgram)
    }

    /// Finds the program of a turn. Fails if it belongs to another client account.
    fn program_of_turn(&mut self, turn: &Turn) -> Result<&mut Program, EntryError> {
        let program = self.program_mut(turn.program)?;
        if !program.belongs_to(&turn.client_account as &ClientAccountId) {
            return Err(EntryError::OtherClientAccount);
        }
        Ok(program)
    }
}
