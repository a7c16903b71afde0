//! Progress on standard error.

use crate::workload::ProgramResult;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two lines of progress.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts programs and says how far they are.
pub(super) struct Progress {
    programs: usize,
    quiet: bool,
    state: Mutex<State>,
}

struct State {
    begun: usize,
    failed: usize,
    said_at: Instant,
    results: Vec<ProgramResult>,
}

impl Progress {
    pub(super) fn new(programs: usize, quiet: bool) -> Self {
        Self {
            programs,
            quiet,
            state: Mutex::new(State {
                begun: 0,
                failed: 0,
                said_at: Instant::now(),
                results: Vec::new(),
            }),
        }
    }

    /// A program begins.
    pub(super) fn begin(&self) {
        self.lock().begun += 1;
    }

    /// A program is over.
    pub(super) fn end(&self, result: ProgramResult) {
        let mut state = self.lock();
        state.failed += usize::from(!result.is_finished());
        state.results.push(result);
        let over = state.results.len();
        if over == self.programs || state.said_at.elapsed() >= INTERVAL {
            state.said_at = Instant::now();
            let (running, failed) = (state.begun - over, state.failed);
            let programs = self.programs;
            drop(state);
            self.say(&format!(
                "{over} of {programs} programs over, {running} running, {failed} failed"
            ));
        }
    }

    /// Takes what the programs saw.
    pub(super) fn take(&self) -> Vec<ProgramResult> {
        std::mem::take(&mut self.lock().results)
    }

    /// Says something.
    pub(super) fn say(&self, text: &str) {
        if !self.quiet {
            eprintln!("demo: {text}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
