//! Which programs the engine holds cache for, and which of them are to be released.

use crate::ids::ProgramId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What is known of one program's cache.
struct Held {
    confirmed: Instant,
    over: bool,
}

/// Programs whose cache the engine may hold.
///
/// Invariant: a program leaves the table only after the engine has said that nothing is held.
#[derive(Default)]
pub(crate) struct Memory {
    held: HashMap<ProgramId, Held>,
}

impl Memory {
    /// Notes that the engine computes for a program.
    pub(crate) fn hold(&mut self, program: ProgramId) {
        let held = Held {
            confirmed: Instant::now(),
            over: false,
        };
        self.held.insert(program, held);
    }

    /// Notes that owners know these programs to be alive.
    pub(crate) fn confirm(&mut self, programs: &[ProgramId]) {
        let now = Instant::now();
        for program in programs {
            if let Some(held) = self.held.get_mut(program) {
                held.confirmed = now;
            }
        }
    }

    /// Notes that a program is over.
    pub(crate) fn release(&mut self, program: ProgramId) {
        if let Some(held) = self.held.get_mut(&program) {
            held.over = true;
        }
    }

    /// Notes that the engine holds nothing for a program.
    pub(crate) fn forget(&mut self, program: ProgramId) {
        self.held.remove(&program);
    }

    /// Returns the programs to be released: those over, and those not confirmed for `lapse`.
    pub(crate) fn due(&self, lapse: Duration) -> Vec<ProgramId> {
        let due = |held: &Held| held.over || held.confirmed.elapsed() >= lapse;
        let programs = self.held.iter().filter(|(_, held)| due(held));
        programs.map(|(program, _)| *program).collect()
    }
}
