//! Cap on the calls running at an endpoint, adapted by additive increase and multiplicative
//! decrease.

use crate::coordination::average::MovingAverage;
use std::time::{Duration, Instant};

/// Settings of the cap on concurrent calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapConfig {
    /// Initial cap.
    pub start_calls: u32,
    /// Minimum cap.
    pub min_calls: u32,
    /// Maximum cap.
    pub max_calls: u32,
    /// Target for the time between two tokens of a stream, in milliseconds.
    pub gap_target_ms: f64,
    /// Fraction of the gaps between tokens that may exceed the target.
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

/// Minimum length of a measuring window.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// Minimum number of gaps in a measuring window.
const MIN_WINDOW_GAPS: u32 = 40;

/// Factor by which a decrease changes the cap.
const DECREASE_FACTOR: f64 = 0.92;

/// Fraction of `max_late_share` below which the cap may grow.
const GROWTH_THRESHOLD: f64 = 0.8;

/// Fraction of the cap that one increase adds before the first decrease.
const STARTUP_STEP: f64 = 0.25;

/// Cap on the calls running at an endpoint, adapted to the time between tokens.
///
/// Invariant: `cap` is between `min_calls` and `max_calls`.
#[derive(Debug)]
pub(super) struct ConcurrencyCap {
    cfg: CapConfig,
    cap: f64,
    window_start: Option<Instant>,
    gaps: u32,
    late_gaps: u32,
    sum_ms: f64,
    /// Moving average of the windows' mean gaps, in milliseconds.
    mean_gap_ms: MovingAverage,
    /// Moving average of the windows' fractions of late gaps.
    late_share: MovingAverage,
    /// Whether the cap has limited the running calls in this window.
    is_limiting: bool,
    /// Whether the cap has ever been decreased.
    has_decreased: bool,
}

impl ConcurrencyCap {
    /// Creates a cap with its initial value.
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

    /// Returns the cap as a number of calls.
    pub(super) fn calls(&self) -> u32 {
        self.cap as u32
    }

    /// Returns the average time between tokens in milliseconds, or 0 before the first window has
    /// ended.
    pub(super) fn mean_gap_ms(&self) -> f64 {
        self.mean_gap_ms.get().unwrap_or(0.0)
    }

    /// Records that a call has to wait because of the cap.
    pub(super) fn record_limited(&mut self) {
        self.is_limiting = true;
    }

    /// Records the time between two tokens, measured while `running` calls were running.
    pub(super) fn record_token_gap(&mut self, now: Instant, gap_ms: f64, running: u32) {
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

    /// Adapts the cap if the current window is complete.
    pub(super) fn tick(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let is_over = now.saturating_duration_since(start) >= MIN_WINDOW;
        if !is_over || self.gaps < MIN_WINDOW_GAPS {
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

    /// Adapts the cap to the fraction of late gaps.
    fn adapt(&mut self) {
        let window_late_share = f64::from(self.late_gaps) / f64::from(self.gaps);
        self.late_share.add(window_late_share);
        let late_share = self.late_share.get().unwrap_or(0.0);
        if late_share > self.cfg.max_late_share && window_late_share > self.cfg.max_late_share {
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
