//! Trials of a failing endpoint: single calls, whose pauses grow while they fail.

use std::time::{Duration, Instant};

/// Mean pause between the trials of all gateways together before the first one, and of those that did
/// not send a trial that succeeded.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest mean pause between the trials of all gateways together.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);

/// Number of consecutive successes after which an endpoint gets calls as before. One that fails four
/// calls in ten passes it once in twenty times.
const SUCCESSES: u32 = 6;

/// A period of trials.
#[derive(Debug)]
struct Period {
    began_at: Instant,
    /// Consecutive successes of all gateways.
    streak: u32,
    /// Mean pause between the trials of all gateways.
    pause: Duration,
    /// Earliest time of the next trial of this gateway.
    next_at: Instant,
    /// Whether a trial of this gateway runs.
    is_running: bool,
}

impl Period {
    /// Sets the time of the next trial. Each gateway waits as many pauses as there are gateways at
    /// most, and one of them about a single pause.
    fn postpone(&mut self, now: Instant, gateways: usize, random: f64) {
        self.next_at = now + self.pause.mul_f64(0.5 + gateways as f64 * random);
    }

    fn record(
        &mut self,
        now: Instant,
        successes: u32,
        failures: u32,
        gateways: usize,
        random: f64,
    ) {
        if failures > 0 {
            self.streak = 0;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        } else {
            self.streak = self.streak.saturating_add(successes);
            self.pause = FIRST_PAUSE;
        }
        self.postpone(now, gateways, random);
    }
}

/// Trials of one endpoint.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// Trials of this gateway that succeeded and failed, in all periods.
    succeeded: u32,
    failed: u32,
    /// Periods that ended as passed, and the end of the last one.
    passed: u32,
    ended_at: Option<Instant>,
    /// The current period; `None` if the endpoint is not failing.
    period: Option<Period>,
}

impl Trials {
    pub(super) fn is_failing(&self) -> bool {
        self.period.is_some()
    }

    pub(super) fn succeeded(&self) -> u32 {
        self.succeeded
    }

    pub(super) fn failed(&self) -> u32 {
        self.failed
    }

    /// Returns the consecutive successes of the current period.
    pub(super) fn streak(&self) -> u32 {
        self.period.as_ref().map_or(0, |period| period.streak)
    }

    pub(super) fn failing_for(&self, now: Instant) -> Duration {
        let period = self.period.as_ref();
        period.map_or(Duration::ZERO, |period| {
            now.saturating_duration_since(period.began_at)
        })
    }

    /// Returns whether the endpoint has passed enough trials.
    pub(super) fn has_passed(&self) -> bool {
        self.streak() >= SUCCESSES
    }

    /// Returns whether this gateway may send a trial.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        let period = self.period.as_ref();
        period.is_some_and(|period| !period.is_running && period.next_at <= now)
    }

    /// Begins a period of trials.
    pub(super) fn start(&mut self, now: Instant, gateways: usize, random: f64) {
        let mut period = Period {
            began_at: now,
            streak: 0,
            pause: FIRST_PAUSE,
            next_at: now,
            is_running: false,
        };
        period.postpone(now, gateways, random);
        self.period = Some(period);
    }

    /// Ends the period of trials as passed.
    pub(super) fn end(&mut self, now: Instant) {
        self.period = None;
        self.passed += 1;
        self.ended_at = Some(now);
    }

    /// Returns how often a period ended as passed.
    pub(super) fn passed(&self) -> u32 {
        self.passed
    }

    /// Returns whether a period has ended within this time.
    pub(super) fn has_just_ended(&self, now: Instant, within: Duration) -> bool {
        let ended_at = self.ended_at;
        ended_at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    /// Records that a peer considers the trials as passed.
    pub(super) fn pass(&mut self) {
        if let Some(period) = &mut self.period {
            period.streak = SUCCESSES;
        }
    }

    /// Records that a call was sent.
    pub(super) fn begin(&mut self) {
        if let Some(period) = &mut self.period {
            period.is_running = true;
        }
    }

    /// Records that a call ended without an answer.
    pub(super) fn cancel(&mut self) {
        if let Some(period) = &mut self.period {
            period.is_running = false;
        }
    }

    /// Records an answer to this gateway. One to a call from before the period counts only if it is a
    /// success that a trial got.
    pub(super) fn finish(&mut self, now: Instant, has_failed: bool, gateways: usize, random: f64) {
        let Some(period) = &mut self.period else {
            return;
        };
        if !std::mem::take(&mut period.is_running) {
            return;
        }
        if has_failed {
            self.failed += 1;
        } else {
            self.succeeded += 1;
        }
        let (successes, failures) = (u32::from(!has_failed), u32::from(has_failed));
        period.record(now, successes, failures, gateways, random);
        if !has_failed {
            period.next_at = now;
        }
    }

    /// Records trials of a peer.
    pub(super) fn add_peer(
        &mut self,
        now: Instant,
        successes: u32,
        failures: u32,
        gateways: usize,
        random: f64,
    ) {
        if let Some(period) = &mut self.period
            && (successes > 0 || failures > 0)
        {
            period.record(now, successes, failures, gateways, random);
        }
    }
}
