//! Programs under way, and what the programs of a route usually need.

#[cfg(test)]
mod tests;

use galenapick::stable_hash;
use std::collections::HashMap;
use std::mem;
use std::time::{Duration, Instant};

/// Number of programs after which the ones before them are forgotten. Two generations take 250 KB.
const GENERATION_PROGRAMS: usize = 2_048;

/// Turns of a program and their interval that are assumed before any were seen.
const ASSUMED_TURNS: f64 = 4.0;
const ASSUMED_INTERVAL: Duration = Duration::from_millis(400);

/// Number of turns after which the counts of a route are halved.
const HALVE_AFTER_TURNS: f64 = 4_096.0;

/// Weight of the latest value in moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Hash of a program's id.
pub(crate) type ProgramHash = u32;

/// Returns the hash of a program's id.
pub(crate) fn program_hash(account: &str, id: &str) -> ProgramHash {
    stable_hash((account, id)) as ProgramHash
}

/// A program of which this gateway has seen a turn.
#[derive(Clone, Copy, Debug)]
struct Program {
    /// Turns that were sent on.
    turns: u32,
    last_turn_at: Instant,
    /// Time to its finish when it began; `None` if its first turn was not seen here.
    time_at_start: Option<Duration>,
}

/// What programs of a route usually need.
#[derive(Clone, Copy, Debug)]
struct Usual {
    turns: f64,
    programs: f64,
    /// Average time from one turn of a program to the next, without waits.
    interval: Duration,
    /// Average time to the finish at the start.
    time_at_start: Option<Duration>,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            turns: ASSUMED_TURNS,
            programs: 1.0,
            interval: ASSUMED_INTERVAL,
            time_at_start: None,
        }
    }
}

/// Estimate of what a program still needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Whether the program is known to have begun.
    pub(crate) has_begun: bool,
    pub(crate) turns_done: u32,
    /// Turns left, the next one included; at least 1.
    pub(crate) turns_left: f64,
    /// Time that they take without waits.
    pub(crate) work_left: Duration,
}

/// Programs under way, as far as this gateway has seen them. Turns of a program mostly come to one
/// gateway.
#[derive(Debug, Default)]
pub(crate) struct Programs {
    recent: HashMap<ProgramHash, Program>,
    older: HashMap<ProgramHash, Program>,
    usual: HashMap<String, Usual>,
}

impl Programs {
    fn find(&self, program: ProgramHash) -> Option<&Program> {
        let recent = self.recent.get(&program);
        recent.or_else(|| self.older.get(&program))
    }

    /// Estimates what a program needs from its next turn on, which has not been recorded. A program that
    /// was given more time than others of its route has as many more turns. `call` is the duration of a
    /// call without a wait.
    pub(crate) fn estimate(
        &self,
        program: ProgramHash,
        route: &str,
        time_left: Option<Duration>,
        call: Duration,
    ) -> Estimate {
        let turns_done = self.find(program).map_or(0, |program| program.turns);
        self.estimate_after(turns_done, program, route, time_left, call)
    }

    /// Estimates what a program needs from the turn on that was recorded last.
    pub(crate) fn estimate_recorded(
        &self,
        program: ProgramHash,
        route: &str,
        time_left: Option<Duration>,
        call: Duration,
    ) -> Estimate {
        let turns = self.find(program).map_or(0, |program| program.turns);
        self.estimate_after(turns.saturating_sub(1), program, route, time_left, call)
    }

    fn estimate_after(
        &self,
        turns_done: u32,
        program: ProgramHash,
        route: &str,
        time_left: Option<Duration>,
        call: Duration,
    ) -> Estimate {
        let known = self.find(program);
        let usual = self.usual.get(route).copied().unwrap_or_default();
        let time_at_start = known.map_or(time_left, |program| program.time_at_start);
        let scale = match (time_at_start, usual.time_at_start) {
            (Some(own), Some(usual)) if !usual.is_zero() => own.div_duration_f64(usual),
            _ => 1.0,
        };
        let turns = usual.turns / usual.programs * scale;
        let turns_left = (turns - f64::from(turns_done)).max(1.0);
        Estimate {
            has_begun: turns_done > 0,
            turns_done,
            turns_left,
            // The last turn has no pause after it.
            work_left: usual.interval.mul_f64(turns_left - 1.0) + call,
        }
    }

    /// Records a turn that is sent on. `is_crowded` tells whether turns wait, so that the time since
    /// the turn before says nothing of the work.
    pub(crate) fn record_turn(
        &mut self,
        now: Instant,
        program: ProgramHash,
        route: &str,
        time_left: Option<Duration>,
        is_crowded: bool,
    ) {
        let known = self.find(program).copied();
        if !self.usual.contains_key(route) {
            self.usual.insert(route.to_owned(), Usual::default());
        }
        if let Some(usual) = self.usual.get_mut(route) {
            usual.record(now, known.as_ref(), time_left, is_crowded);
        }
        let next = Program {
            turns: known.map_or(1, |program| program.turns.saturating_add(1)),
            last_turn_at: now,
            time_at_start: known.map_or(time_left, |program| program.time_at_start),
        };
        self.insert(program, next);
    }

    /// Records that a program has begun at another gateway, with the time to its finish at its start.
    pub(crate) fn record_begun_elsewhere(
        &mut self,
        now: Instant,
        program: ProgramHash,
        time_at_start: Option<Duration>,
    ) {
        if self.find(program).is_some() {
            return;
        }
        let begun = Program {
            turns: 1,
            last_turn_at: now,
            time_at_start,
        };
        self.insert(program, begun);
    }

    fn insert(&mut self, hash: ProgramHash, program: Program) {
        if self.recent.len() >= GENERATION_PROGRAMS {
            self.older = mem::take(&mut self.recent);
        }
        self.recent.insert(hash, program);
    }
}

impl Usual {
    fn record(
        &mut self,
        now: Instant,
        known: Option<&Program>,
        time_left: Option<Duration>,
        is_crowded: bool,
    ) {
        self.turns += 1.0;
        match known {
            None => {
                self.programs += 1.0;
                if let Some(time_left) = time_left {
                    let usual = self.time_at_start.unwrap_or(time_left);
                    self.time_at_start = Some(average(usual, time_left));
                }
            }
            Some(program) if !is_crowded => {
                let interval = now.saturating_duration_since(program.last_turn_at);
                self.interval = average(self.interval, interval);
            }
            Some(_) => {}
        }
        if self.turns > HALVE_AFTER_TURNS {
            self.turns /= 2.0;
            self.programs /= 2.0;
        }
    }
}

fn average(average: Duration, latest: Duration) -> Duration {
    average.mul_f64(1.0 - AVERAGE_WEIGHT) + latest.mul_f64(AVERAGE_WEIGHT)
}
