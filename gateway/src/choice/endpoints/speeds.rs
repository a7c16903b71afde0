//! Speeds and momentary slowness of the known endpoints.

use super::cost::{PREFILL_TOKENS_PER_MS, STEP_GROWTH, STEP_MS};
use super::{Endpoint, EndpointRequirements, Endpoints};
use crate::choice::speed::{SpeedReport, Speeds};
use crate::counters::write_metric;
use galenapick::crashes::Lifetime;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time that the work of a call would take at an average endpoint, without a wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedWork {
    fixed_ms: f64,
    /// Time of each token of the answer.
    token_ms: f64,
}

impl ExpectedWork {
    /// Returns the ratio between a call's duration and the expected one.
    fn ratio(&self, duration: Duration, answer_tokens: u64) -> f64 {
        let expected_ms = self.fixed_ms + self.token_ms * answer_tokens as f64;
        duration.as_secs_f64() * 1_000.0 / expected_ms
    }
}

impl Endpoints {
    /// Returns the speeds of a service's endpoints, if these state how slow they are.
    pub(super) fn stated_speeds(&self, service: &str) -> Option<&Speeds> {
        let speeds = self.speeds.get(service);
        speeds.filter(|speeds| speeds.is_stated())
    }

    /// Returns the work of a call that is about to be sent, as far as its time can be compared: not if
    /// it may have to wait for a slot.
    pub(crate) fn expected_work(
        &self,
        id: &str,
        requirements: &EndpointRequirements<'_>,
    ) -> Option<ExpectedWork> {
        self.stated_speeds(requirements.service)?;
        let endpoint = self.endpoints.get(id)?;
        let running = self.calls_in_flight(endpoint);
        if running >= endpoint.record.slots {
            return None;
        }
        if requirements.prompt_tokens == 0 {
            let fixed_ms = self.service_average_ms.get(&endpoint.record.service)?;
            return Some(ExpectedWork {
                fixed_ms: *fixed_ms,
                token_ms: 0.0,
            });
        }
        let cached = endpoint
            .prompt_cache
            .cached_tokens(requirements.prompt_parts);
        let uncached = requirements.prompt_tokens.saturating_sub(cached);
        Some(ExpectedWork {
            fixed_ms: f64::from(uncached) / PREFILL_TOKENS_PER_MS,
            token_ms: STEP_MS * (1.0 + STEP_GROWTH * f64::from(running)),
        })
    }

    /// Records the slowness that an endpoint stated in an answer.
    pub(crate) fn observe_slowdown(&mut self, now: Instant, id: &str, slowdown: f64) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let lifetime = endpoint.lifetime;
        let speeds = self.speeds.entry(endpoint.record.service.clone());
        let speeds = speeds.or_default();
        speeds.observe_slowdown(now, lifetime, slowdown);
    }

    /// Records how long the work of an answered call took.
    pub(crate) fn measure_call(
        &mut self,
        now: Instant,
        id: &str,
        work: &ExpectedWork,
        duration: Duration,
        answer_tokens: u64,
    ) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        if let Some(speeds) = self.speeds.get_mut(&endpoint.record.service) {
            speeds.measure(now, endpoint.lifetime, work.ratio(duration, answer_tokens));
        }
    }

    /// Returns what peers are still to be told of speeds.
    pub(crate) fn take_speed_reports(
        &mut self,
        now: Instant,
        with_measured: bool,
    ) -> Vec<SpeedReport> {
        let services = self.speeds.values_mut();
        services
            .flat_map(|speeds| speeds.take_reports(now, with_measured))
            .collect()
    }

    /// Merges what a peer tells of speeds.
    pub(crate) fn merge_speeds(&mut self, now: Instant, gateway: u64, reports: &[SpeedReport]) {
        for report in reports.iter().take(2 * crate::choice::speed::MAX_REPORTED) {
            let is_meant = |it: &&Endpoint| it.lifetime == report.lifetime;
            if let Some(endpoint) = self.endpoints.values().find(is_meant) {
                let speeds = self.speeds.entry(endpoint.record.service.clone());
                speeds.or_default().merge(now, gateway, report);
            }
        }
    }

    /// Forgets the speeds of endpoints that are gone, and compares the others anew.
    pub(crate) fn refresh_speeds(&mut self) {
        let endpoints = self.endpoints.values();
        let listed: HashSet<Lifetime> = endpoints.map(|endpoint| endpoint.lifetime).collect();
        for speeds in self.speeds.values_mut() {
            speeds.refresh(|lifetime| listed.contains(&lifetime));
        }
    }

    /// Renders the speed and the slowness of each endpoint in the Prometheus text format.
    pub(crate) fn render_speeds(&self, now: Instant) -> String {
        let mut text = String::new();
        for endpoint in self.endpoints.values() {
            let Some(speeds) = self.stated_speeds(&endpoint.record.service) else {
                continue;
            };
            let labels = format!("endpoint=\"{}\"", endpoint.record.id);
            let percent = |value: f64| (value * 100.0) as u64;
            let speed = percent(speeds.speed(endpoint.lifetime));
            write_metric(&mut text, "endpoint_speed_percent", &labels, speed);
            let slowdown = percent(speeds.slowdown(now, endpoint.lifetime));
            write_metric(&mut text, "endpoint_slowdown_percent", &labels, slowdown);
            if let Some(age) = speeds.slowdown_age(now, endpoint.lifetime) {
                let age_ms = age.as_millis() as u64;
                write_metric(&mut text, "endpoint_slowdown_age_ms", &labels, age_ms);
            }
        }
        text
    }
}
