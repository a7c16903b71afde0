//! Failing endpoints among the known ones.

#[cfg(test)]
mod tests;

use super::{Endpoint, EndpointRecord, EndpointRequirements, Endpoints, InstanceId};
use crate::choice::failing::{EndpointReport, Verdict};
use galenapick::crashes::Lifetime;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Cost of a call that fails, in average durations of calls: its caller sends it once more.
const FAILED_CALL_COST: f64 = 2.0;

impl Endpoint {
    /// Returns the calls of this gateway in flight, and those that failed early and are held.
    pub(super) fn local_calls(&self) -> u32 {
        self.local_calls + self.held_until.len() as u32
    }

    /// Counts a failed call as in flight until a call of average duration would have ended. An
    /// endpoint that fails calls at once does not look idle for it.
    pub(super) fn hold_failed_call(&mut self, now: Instant, duration: Duration, average_ms: f64) {
        let average = Duration::from_secs_f64(average_ms / 1_000.0);
        let is_early = duration < average;
        if is_early && self.held_until.len() < self.record.slots.max(1) as usize {
            self.held_until.push(now + (average - duration));
        }
    }
}

impl Endpoints {
    /// Sets whether endpoints that fail calls with answers of their own are judged.
    pub(crate) fn set_judges_failures(&mut self, judges_failures: bool) {
        self.judges_failures = judges_failures;
    }

    /// Ends the count of failed calls that are held no longer.
    pub(crate) fn release_held_calls(&mut self, now: Instant) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.held_until.retain(|until| *until > now);
        }
    }

    /// Records the end of a call for the judgement of its endpoint; `has_failed` is `None` without an
    /// answer.
    pub(super) fn record_outcome(
        &mut self,
        now: Instant,
        lifetime: Lifetime,
        has_failed: Option<bool>,
    ) {
        if !self.judges_failures {
            return;
        }
        let gateways = self.peer_counts.len() + 1;
        let random = self.trial_rng.f64();
        self.failing
            .finish(now, lifetime, has_failed, gateways, random);
    }

    /// Returns a failing endpoint to which a call is sent as a trial, if one is due.
    pub(super) fn due_trial(
        &self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
    ) -> Option<EndpointRecord> {
        if !self.failing.has_suspects() {
            return None;
        }
        let mut usable = self.usable(requirements);
        let due = usable.find(|endpoint| {
            self.failing.is_trial_due(now, endpoint.lifetime) && !endpoint.is_backing_off(now)
        });
        due.map(|endpoint| endpoint.record.clone())
    }

    /// Returns whether an endpoint gets calls only as trials.
    pub(super) fn is_failing_endpoint(&self, endpoint: &Endpoint) -> bool {
        self.failing.has_suspects() && self.failing.is_failing(endpoint.lifetime)
    }

    /// Returns whether an endpoint is known and gets calls only as trials.
    pub(crate) fn is_failing(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| self.is_failing_endpoint(endpoint))
    }

    /// Returns the number of endpoints that get calls only as trials.
    pub(crate) fn failing_count(&self) -> usize {
        self.failing.failing_count()
    }

    /// Returns the expected cost of a failure of a call at an endpoint, in ms.
    pub(super) fn failure_cost_ms(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        average_ms: f64,
    ) -> f64 {
        if !self.failing.has_suspects() {
            return 0.0;
        }
        self.failing.expected_share(now, endpoint.lifetime) * average_ms * FAILED_CALL_COST
    }

    /// Judges all endpoints anew and returns those whose judgement changed.
    pub(crate) fn judge_failures(&mut self, now: Instant) -> Vec<(InstanceId, Verdict)> {
        if !self.judges_failures || !self.failing.has_suspects() {
            return Vec::new();
        }
        let mut services: HashMap<Rc<str>, Vec<Lifetime>> = HashMap::new();
        let mut ids: HashMap<Lifetime, InstanceId> = HashMap::new();
        for endpoint in self.endpoints.values().filter(|it| it.takes_calls()) {
            let service = endpoint.record.service.clone();
            services.entry(service).or_default().push(endpoint.lifetime);
            ids.insert(endpoint.lifetime, endpoint.record.id.clone());
        }
        let gateways = self.peer_counts.len() + 1;
        let mut changed = Vec::new();
        for lifetimes in services.values() {
            let random = self.trial_rng.f64();
            let verdicts = self.failing.judge(now, lifetimes, gateways, random);
            let named = verdicts
                .into_iter()
                .filter_map(|verdict| Some((ids.get(&verdict.lifetime)?.clone(), verdict)));
            changed.extend(named);
        }
        changed
    }

    /// Returns what to tell peers of failing endpoints.
    pub(crate) fn failure_report(&self, now: Instant) -> Vec<EndpointReport> {
        self.failing.report(now)
    }

    /// Merges what a peer tells of failing endpoints.
    pub(crate) fn merge_failures(
        &mut self,
        now: Instant,
        gateway: u64,
        number: u64,
        reports: &[EndpointReport],
    ) {
        if self.judges_failures {
            let random = self.trial_rng.f64();
            self.failing.merge(now, gateway, number, reports, random);
        }
    }

    /// Forgets failures that no longer matter.
    pub(crate) fn forget_old_failures(&mut self, now: Instant) {
        let endpoints = &self.endpoints;
        let listed: std::collections::HashSet<Lifetime> = endpoints
            .values()
            .map(|endpoint| endpoint.lifetime)
            .collect();
        self.failing
            .forget_old(now, |lifetime| listed.contains(&lifetime));
    }
}
