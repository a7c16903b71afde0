//! Refusal of programs that have just come, while there is too little room for all.
//!
//! A program that begins takes room from those under way for seconds. It is refused at arrival if it
//! could not end in time, or if its turns would make those under way late: what the waits at engines
//! take of a program's slack must leave the rest for what is not foreseen. Urgent programs may use
//! more of the slack than less urgent ones, and programs that come back after a refusal more than
//! newcomers. The chance of a refusal rises with the wait instead of at a threshold, so that gateways
//! with counts of different age do not all refuse or all admit.

#[cfg(test)]
mod tests;

use crate::admission::programs::{Estimate, ProgramHash};
use crate::admission::room::Room;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Share of the slack that waits may take for the most urgent programs. The rest is for turns that
/// take longer than usual.
const URGENT_SLACK_SHARE: f64 = 0.8;

/// Factor of that share for each step of priority. A return counts as one step more urgent.
const STEP_FACTOR: f64 = 0.7;

/// Largest number of steps.
const MAX_STEPS: u32 = 2;

/// Fraction of the longest tolerable wait at which refusals begin.
const RAMP_START: f64 = 0.5;

/// Slack of a program whose finish is not known, relative to its work.
const UNKNOWN_SLACK: f64 = 0.3;

/// Largest share of the time to the finish that counts as slack, whatever the estimate of the work.
/// The number of a program's turns is known only on average.
const MAX_SLACK_SHARE: f64 = 0.25;

/// Time for which a refused program is remembered; clients come back within it or not at all.
const REMEMBER_FOR: Duration = Duration::from_secs(4);

/// Maximum number of refused programs that are remembered.
const MAX_REMEMBERED: usize = 2_048;

/// Share of the time that a client has left for which it waits at most before it comes back.
const CLIENT_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Minimum delay before a refused program comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Weight of the latest interval in the average interval between admissions.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Longest interval between admissions that is reckoned with.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// First turn of a program.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Number of higher priorities of the service's programs.
    pub(crate) steps: u32,
    /// Whether it was refused before.
    pub(crate) is_return: bool,
    /// Share of the service that its account gets, relative to an equal share; 1 if that is unknown.
    pub(crate) account_share: f64,
    /// Time until it should be finished.
    pub(crate) time_left: Option<Duration>,
    pub(crate) estimate: Estimate,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Cause {
    /// It cannot end in time.
    Hopeless,
    /// It would make programs under way late.
    Crowded,
}

/// Decides on a program that comes now; `draw` is a random number from 0 to 1.
pub(crate) fn judge(room: &Room, arrival: &Arrival, draw: f64) -> Option<Cause> {
    if room.is_free() {
        return None;
    }
    let estimate = &arrival.estimate;
    let wait = room.wait();
    let waits = wait.mul_f64(estimate.turns_left);
    let slack = match arrival.time_left {
        Some(time_left) => {
            let slack = time_left.saturating_sub(estimate.work_left);
            slack.min(time_left.mul_f64(MAX_SLACK_SHARE))
        }
        None => estimate.work_left.mul_f64(UNKNOWN_SLACK),
    };
    if waits > slack {
        return Some(Cause::Hopeless);
    }
    let limit = slack.mul_f64(slack_share(arrival));
    let start = limit.mul_f64(RAMP_START);
    if waits <= start {
        return None;
    }
    let chance = (waits - start).div_duration_f64(limit.saturating_sub(start));
    (draw < chance).then_some(Cause::Crowded)
}

/// Returns the share of its slack that a program may spend with waits.
fn slack_share(arrival: &Arrival) -> f64 {
    let steps = i32::try_from(arrival.steps.min(MAX_STEPS)).unwrap_or_default();
    let returns = i32::from(arrival.is_return);
    let priority_share = URGENT_SLACK_SHARE * STEP_FACTOR.powi(steps - returns);
    let account_factor = 1.0 / arrival.account_share.max(1.0);
    (priority_share * account_factor).min(URGENT_SLACK_SHARE)
}

/// Refused programs, and the moments at which they are told to come back.
#[derive(Debug, Default)]
pub(crate) struct RefusedPrograms {
    refused: HashMap<ProgramHash, Instant>,
    /// Moment at which the last one was told to come back.
    last_return: Option<Instant>,
    last_admission: Option<Instant>,
    /// Average interval between admissions here.
    interval: Option<Duration>,
}

impl RefusedPrograms {
    /// Returns whether a program was refused a short time ago.
    pub(crate) fn contains(&self, now: Instant, program: ProgramHash) -> bool {
        let refused_at = self.refused.get(&program);
        refused_at.is_some_and(|at| now.saturating_duration_since(*at) < REMEMBER_FOR)
    }

    /// Records that a program was refused, here or at another gateway.
    pub(crate) fn remember(&mut self, now: Instant, program: ProgramHash) {
        if self.refused.len() >= MAX_REMEMBERED {
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REMEMBER_FOR;
            self.refused.retain(|_, at| is_recent(at));
        }
        if self.refused.len() < MAX_REMEMBERED {
            self.refused.insert(program, now);
        }
    }

    /// Records a refusal and returns the delay after which the client should come back: once the
    /// backlog is gone, one after the other at the pace at which programs are admitted here. A delay
    /// that the client would not honour is drawn anew from those that it would.
    pub(crate) fn refuse(
        &mut self,
        now: Instant,
        program: ProgramHash,
        room: &Room,
        client_left: Duration,
        draw: f64,
    ) -> Duration {
        self.remember(now, program);
        let earliest = now + room.wait().max(MIN_RETRY_AFTER);
        let interval = self.interval.unwrap_or(MAX_INTERVAL);
        let behind_others = self.last_return.map(|last| last + interval);
        let return_at = behind_others.map_or(earliest, |at| at.max(earliest));
        let longest = client_left.mul_f64(CLIENT_WAIT_SHARE).max(MIN_RETRY_AFTER);
        let delay = return_at.saturating_duration_since(now);
        if delay > longest {
            let shortest = room.wait().max(MIN_RETRY_AFTER).min(longest);
            return shortest + (longest - shortest).mul_f64(draw);
        }
        self.last_return = Some(return_at);
        delay
    }

    /// Records that a program was admitted.
    pub(crate) fn admit(&mut self, now: Instant, program: ProgramHash) {
        self.refused.remove(&program);
        if let Some(last) = self.last_admission.replace(now) {
            let latest = now.saturating_duration_since(last).min(MAX_INTERVAL);
            let average = self.interval.get_or_insert(latest);
            *average = average.mul_f64(1.0 - AVERAGE_WEIGHT) + latest.mul_f64(AVERAGE_WEIGHT);
        }
    }
}
