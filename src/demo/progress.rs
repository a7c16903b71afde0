//! Progress messages on standard error.

use crate::workload::ProgramResult;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Minimum interval between two progress messages.
const PRINT_INTERVAL: Duration = Duration::from_secs(1);

/// Collects program results and prints how many programs have ended.
pub(super) struct Progress {
    programs: usize,
    quiet: bool,
    state: Mutex<State>,
}

struct State {
    started: usize,
    failed: usize,
    printed_at: Instant,
    results: Vec<ProgramResult>,
}

impl Progress {
    pub(super) fn new(programs: usize, quiet: bool) -> Self {
        Self {
            programs,
            quiet,
            state: Mutex::new(State {
                started: 0,
                failed: 0,
                printed_at: Instant::now(),
                results: Vec::new(),
            }),
        }
    }

    /// Counts a started program.
    pub(super) fn program_started(&self) {
        self.lock().started += 1;
    }

    /// Stores the result of a program and prints progress if it is due.
    pub(super) fn program_finished(&self, result: ProgramResult) {
        let mut state = self.lock();
        state.failed += usize::from(!result.is_finished());
        state.results.push(result);
        let ended = state.results.len();
        if ended == self.programs || state.printed_at.elapsed() >= PRINT_INTERVAL {
            state.printed_at = Instant::now();
            let (running, failed) = (state.started - ended, state.failed);
            let programs = self.programs;
            drop(state);
            self.print(&format!(
                "{ended} of {programs} programs ended, {running} running, {failed} failed"
            ));
        }
    }

    /// Takes the results collected so far.
    pub(super) fn take_results(&self) -> Vec<ProgramResult> {
        std::mem::take(&mut self.lock().results)
    }

    /// Prints a message unless progress is suppressed.
    pub(super) fn print(&self, text: &str) {
        if !self.quiet {
            eprintln!("demo: {text}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
