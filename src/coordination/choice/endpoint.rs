//! State of one endpoint as an entry sees it.

use super::averages::GroupAverages;
use super::obstacle::Obstacle;
use super::{
    CallOutcome, CallWork, ChoiceConfig, EndpointInfo, EndpointKind, EndpointState, Target,
};
use crate::coordination::breaker::Breaker;
use crate::ids::{CallId, EndpointId};
use crate::protocol::link::SidecarLoad;
use std::time::{Duration, Instant};

/// Run time of a call assumed before the first report, in milliseconds.
const DEFAULT_CALL_MS: f64 = 2_000.0;

/// Number of prompts that are assumed to share the engine when a delay is estimated.
const CONCURRENT_PREFILLS: u64 = 3;

/// A call that this entry has sent and that has not ended.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    call: CallId,
    sent_at: Instant,
    work: CallWork,
}

/// Load and health of one endpoint, and the calls that this entry has sent to it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) name: EndpointId,
    pub(super) info: EndpointInfo,
    pub(super) state: EndpointState,
    pub(super) breaker: Breaker,
    pub(super) load: SidecarLoad,
    /// Time at which `load` was received or, before that, at which the endpoint was added.
    load_reported_at: Instant,
    /// Time of the last sign of life.
    last_activity: Instant,
    outstanding: Vec<Outstanding>,
    /// Calls in `outstanding` that were sent after `load_reported_at`, so `load` does not include
    /// them.
    unreported_calls: u32,
    /// Uncached prompt tokens of the unreported calls.
    unreported_tokens: u64,
}

impl Endpoint {
    /// Creates an endpoint without load.
    pub(super) fn new(name: &str, info: EndpointInfo, breaker: Breaker, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            info,
            state: EndpointState::Live,
            breaker,
            load: SidecarLoad::default(),
            load_reported_at: now,
            last_activity: now,
            outstanding: Vec::new(),
            unreported_calls: 0,
            unreported_tokens: 0,
        }
    }

    /// Replaces the load report and returns whether the models changed.
    pub(super) fn update_load(&mut self, now: Instant, load: &SidecarLoad) -> bool {
        let models = &load.engine.models;
        let has_changed = !models.is_empty() && *models != self.info.models;
        if has_changed {
            self.info.models.clone_from(models);
        }
        self.load.clone_from(load);
        self.load_reported_at = now;
        self.unreported_calls = 0;
        self.unreported_tokens = 0;
        self.record_activity(now);
        has_changed
    }

    /// Records a sign of life, which also makes a suspect endpoint live.
    pub(super) fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
        if self.state == EndpointState::Suspect {
            self.state = EndpointState::Live;
        }
    }

    /// Records that a call was sent.
    pub(super) fn begin_call(&mut self, now: Instant, call: CallId, work: CallWork) {
        self.outstanding.push(Outstanding {
            call,
            sent_at: now,
            work,
        });
        self.unreported_calls += 1;
        self.unreported_tokens += u64::from(work.uncached_tokens);
    }

    /// Records the end of a call and passes its outcome to the circuit breaker.
    pub(super) fn finish_call(&mut self, now: Instant, call: CallId, outcome: CallOutcome) {
        let position = self.outstanding.iter().position(|o| o.call == call);
        if let Some(position) = position {
            let ended = self.outstanding.swap_remove(position);
            self.remove_unreported(ended);
        }
        match outcome {
            CallOutcome::Answered => {
                self.last_activity = now;
                self.breaker.record_success();
            }
            CallOutcome::Failed => self.breaker.record_failure(now),
            CallOutcome::Cancelled => self.breaker.record_cancelled(),
        }
    }

    /// Removes an ended call from the unreported ones.
    fn remove_unreported(&mut self, ended: Outstanding) {
        if ended.sent_at > self.load_reported_at {
            self.unreported_calls = self.unreported_calls.saturating_sub(1);
            let tokens = u64::from(ended.work.uncached_tokens);
            self.unreported_tokens = self.unreported_tokens.saturating_sub(tokens);
        }
    }

    /// Returns the names of the models and of the service that it serves.
    pub(super) fn served_names(&self) -> impl Iterator<Item = &str> {
        let service = match &self.info.kind {
            EndpointKind::Service(name) => Some(name.as_str()),
            EndpointKind::Engine => None,
        };
        let models = self.info.models.iter().map(|(model, _)| model.as_str());
        models.chain(service)
    }

    /// Returns what keeps it from new calls, or `None` if it may get some.
    pub(super) fn obstacle(&self, now: Instant, cfg: &ChoiceConfig) -> Option<Obstacle> {
        let waiting_since = self.outstanding.iter().map(|o| o.sent_at).min();
        let is_awaiting_answer =
            waiting_since.is_some_and(|sent| is_older(now, sent, cfg.silent_after));
        if self.state == EndpointState::Leaving || self.load.leaving {
            Some(Obstacle::Leaving)
        } else if self.state == EndpointState::Suspect {
            Some(Obstacle::Suspect)
        } else if is_awaiting_answer && is_older(now, self.last_activity, cfg.silent_after) {
            Some(Obstacle::Silent)
        } else if !self.breaker.would_allow(now) {
            Some(Obstacle::BreakerOpen)
        } else {
            None
        }
    }

    /// Returns whether it may get new calls.
    pub(super) fn is_usable(&self, now: Instant, cfg: &ChoiceConfig) -> bool {
        self.obstacle(now, cfg).is_none()
    }

    /// Returns whether it serves the model in at least the version, or the service.
    pub(super) fn can_serve(&self, target: Target<'_>) -> bool {
        match target {
            Target::Model { model, version } => {
                let models = &self.info.models;
                models.iter().any(|(m, v)| m == model && *v >= version)
            }
            Target::Service(name) => {
                matches!(&self.info.kind, EndpointKind::Service(served) if served == name)
            }
        }
    }

    /// Estimates the wait of a new call in milliseconds. The reported wait decays towards the
    /// group's mean as the report gets older; the wait caused by unreported calls is added.
    pub(super) fn wait_ms(&self, now: Instant, mean_wait_ms: f64, half_life: Duration) -> f64 {
        let age = now.saturating_duration_since(self.load_reported_at);
        let halvings = age.as_secs_f64() / half_life.as_secs_f64();
        let trust = (-halvings).exp2();
        let reported = self.load.wait_ms as f64;
        let wait_ms = mean_wait_ms + (reported - mean_wait_ms) * trust;
        wait_ms + self.unreported_wait_ms()
    }

    /// Estimates the wait that this entry's unreported calls add, in milliseconds.
    fn unreported_wait_ms(&self) -> f64 {
        let cap = self.load.cap.max(1);
        let occupied = self.load.running + self.load.queued;
        let free = cap.saturating_sub(occupied);
        let queued = self.unreported_calls.saturating_sub(free);
        f64::from(queued) * self.call_ms() / f64::from(cap)
    }

    /// Returns its running, queued and unreported calls as a fraction of its cap; may exceed 1.
    pub(super) fn utilization(&self) -> f64 {
        let calls = self.load.running + self.load.queued + self.unreported_calls;
        f64::from(calls) / f64::from(self.load.cap.max(1))
    }

    /// Returns the fraction of the engine's cache that is in use.
    pub(super) fn cache_used(&self) -> f64 {
        let engine = &self.load.engine;
        engine.cache_used_tokens as f64 / engine.cache_total_tokens.max(1) as f64
    }

    /// Returns the average run time of a call in milliseconds.
    fn call_ms(&self) -> f64 {
        if self.load.call_ms > 0.0 {
            self.load.call_ms
        } else {
            DEFAULT_CALL_MS
        }
    }

    /// Estimates the time to compute prompt tokens, in milliseconds.
    pub(super) fn prefill_ms(&self, tokens: u64, averages: &GroupAverages) -> f64 {
        tokens as f64 * 1e3 / averages.prefill_speed(&self.load)
    }

    /// Estimates by how many milliseconds the prompts in progress delay a prompt with this many
    /// uncached tokens.
    ///
    /// Engines share each step among prompts, so a long backlog hardly delays a short prompt.
    pub(super) fn contention_ms(&self, tokens: u64, averages: &GroupAverages) -> f64 {
        let backlog = self.load.prefill_backlog_tokens + self.unreported_tokens;
        self.prefill_ms(backlog.min(tokens * CONCURRENT_PREFILLS), averages)
    }

    /// Estimates the time to generate tokens, in milliseconds.
    pub(super) fn decode_ms(&self, tokens: u32, averages: &GroupAverages) -> f64 {
        f64::from(tokens) * averages.token_gap_ms(&self.load)
    }
}

/// Returns whether `since` is at least `limit` ago.
fn is_older(now: Instant, since: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(since) >= limit
}
