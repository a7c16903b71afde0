//! The cap on what an endpoint holds: additive increase, multiplicative decrease.

use crate::coordination::average::MovingAverage;
use std::time::{Duration, Instant};

/// Bounds and target of the cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapConfig {
    /// Calls handed over at first.
    pub start_calls: u32,
    /// Calls handed over at least.
    pub min_calls: u32,
    /// Calls handed over at most.
    pub max_calls: u32,
    /// Time between tokens that should hold, in milliseconds.
    pub gap_target_ms: f64,
    /// Part of the gaps that may be above the target.
    pub max_late_share: f64,
}

impl Default for CapConfig {
    fn default() -> Self {
        Self {
            start_calls: 8,
            min_calls: 2,
            max_calls: 256,
            gap_target_ms: 28.0,
            max_late_share: 0.05,
        }
    }
}

/// Shortest time over which gaps are judged.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// Least number of gaps that are judged.
const MIN_WINDOW_GAPS: u32 = 40;

/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.92;

/// Part of the allowed late share below which the cap may grow.
const GROWTH_THRESHOLD: f64 = 0.8;

/// Part of the cap added in one step before the first decrease.
const STARTUP_STEP: f64 = 0.25;

/// The number of calls an endpoint may hold, adapted from the time between tokens.
///
/// Invariant: `cap` is between `min_calls` and `max_calls`.
#[derive(Debug)]
pub(super) struct ConcurrencyCap {
    cfg: CapConfig,
    cap: f64,
    window_start: Option<Instant>,
    gaps: u32,
    late_gaps: u32,
    /// Sum of the window's gaps, in milliseconds.
    sum_ms: f64,
    /// Smoothed mean gap of the windows, in milliseconds.
    mean_gap_ms: MovingAverage,
    /// Smoothed share of late gaps.
    late_share: MovingAverage,
    /// Whether the cap has kept a call waiting in this window.
    is_limiting: bool,
    /// Whether the cap has been decreased once.
    has_decreased: bool,
}

impl ConcurrencyCap {
    /// Makes a cap at its start value.
    pub(super) fn new(cfg: CapConfig) -> Self {
        Self {
            cap: f64::from(cfg.start_calls.clamp(cfg.min_calls, cfg.max_calls)),
            cfg,
            window_start: None,
            gaps: 0,
            late_gaps: 0,
            sum_ms: 0.0,
            mean_gap_ms: MovingAverage::default(),
            late_share: MovingAverage::default(),
            is_limiting: false,
            has_decreased: false,
        }
    }

    /// Returns the cap.
    pub(super) fn calls(&self) -> u32 {
        self.cap as u32
    }

    /// Returns the smoothed time between tokens, 0 if there was none.
    pub(super) fn mean_gap_ms(&self) -> f64 {
        self.mean_gap_ms.get().unwrap_or(0.0)
    }

    /// Notes that a call had to wait because of the cap.
    pub(super) fn record_limited(&mut self) {
        self.is_limiting = true;
    }

    /// Notes one gap while `running` calls were held.
    pub(super) fn token_gap(&mut self, now: Instant, gap_ms: f64, running: u32) {
        self.gaps += 1;
        self.sum_ms += gap_ms;
        if gap_ms > self.cfg.gap_target_ms {
            self.late_gaps += 1;
        }
        if running >= self.calls() {
            self.is_limiting = true;
        }
        self.tick(now);
    }

    /// Judges the window if it is over.
    pub(super) fn tick(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let over = now.saturating_duration_since(start) >= MIN_WINDOW;
        if !over || self.gaps < MIN_WINDOW_GAPS {
            return;
        }
        self.adapt();
        self.mean_gap_ms.add(self.sum_ms / f64::from(self.gaps));
        self.sum_ms = 0.0;
        self.window_start = Some(now);
        self.gaps = 0;
        self.late_gaps = 0;
        self.is_limiting = false;
    }

    /// Changes the cap by the share of late gaps.
    fn adapt(&mut self) {
        let now_late = f64::from(self.late_gaps) / f64::from(self.gaps);
        self.late_share.add(now_late);
        let late_share = self.late_share.get().unwrap_or(0.0);
        if late_share > self.cfg.max_late_share && now_late > self.cfg.max_late_share {
            self.has_decreased = true;
            self.cap *= DECREASE_FACTOR;
        } else if self.is_limiting && late_share < self.cfg.max_late_share * GROWTH_THRESHOLD {
            self.cap += self.step();
        }
        let min = f64::from(self.cfg.min_calls.max(1));
        self.cap = self.cap.clamp(min, f64::from(self.cfg.max_calls));
    }

    /// Returns the size of an increase.
    fn step(&self) -> f64 {
        if self.has_decreased {
            1.0
        } else {
            (self.cap * STARTUP_STEP).max(1.0)
        }
    }
}
