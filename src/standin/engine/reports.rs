//! Load reports and cache events of the engine stand-in, which become visible after a delay and can be
//! lost.

use crate::ids::ProgramId;
use crate::protocol::engine::{CacheEvent, EngineLoad};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of retained cache events.
const MAX_EVENTS: usize = 8192;

/// Minimum interval between two load reports.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);

/// Load reports that become visible after a delay.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    reports: VecDeque<(Instant, EngineLoad)>,
}

impl LoadReports {
    /// Records the load. The new report replaces the latest one if less than [`LOAD_INTERVAL`] has
    /// passed since the one before that.
    pub(crate) fn record(&mut self, now: Instant, load: EngineLoad) {
        let previous = self.reports.len().checked_sub(2);
        let is_too_soon = previous
            .and_then(|index| self.reports.get(index))
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) < LOAD_INTERVAL);
        if is_too_soon {
            self.reports.pop_back();
        }
        self.reports.push_back((now, load));
    }

    /// Returns the newest report that is at least `lag` old and removes older ones. Without such a
    /// report, returns an empty one.
    pub(crate) fn latest_visible(&mut self, now: Instant, lag: Duration) -> EngineLoad {
        let is_visible = |at: Instant| now.saturating_duration_since(at) >= lag;
        while self.reports.get(1).is_some_and(|(at, _)| is_visible(*at)) {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((at, load)) if is_visible(*at) => load.clone(),
            _ => EngineLoad::default(),
        }
    }

    /// Removes the reports that are at least `lag` old, except the newest of them.
    pub(crate) fn drop_superseded(&mut self, now: Instant, lag: Duration) {
        while self
            .reports
            .get(1)
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= lag)
        {
            self.reports.pop_front();
        }
    }
}

/// Cache events that become visible after a delay. Lost events never become visible.
#[derive(Debug, Default)]
pub(crate) struct CacheEvents {
    events: VecDeque<(Instant, CacheEvent)>,
    last_sequence: u64,
}

impl CacheEvents {
    /// Records a change. A lost event consumes a sequence number but is not stored.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        program: ProgramId,
        held_tokens: u64,
        lost: bool,
    ) {
        self.last_sequence += 1;
        if lost {
            return;
        }
        let event = CacheEvent {
            sequence: self.last_sequence,
            program,
            held_tokens,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with a sequence number greater than `after`.
    pub(crate) fn visible_after(&self, after: u64, now: Instant, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(_, event)| event.sequence > after)
            .take_while(|(at, _)| now.saturating_duration_since(*at) >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
