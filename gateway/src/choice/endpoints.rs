//! State of each endpoint and load balancing of calls over endpoints.
//!
//! Many gateways choose endpoints concurrently. Each gateway counts its own calls exactly and
//! receives the counts of its peers every few milliseconds. It adds its own current count to theirs,
//! so two gateways seldom overload the same endpoint because both consider it idle.

#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod tests;

mod cost;
mod failures;
mod leaving;
mod memory;
mod peer_counts;
mod rate_limits;
mod record;
mod room;
mod sample;
mod speeds;

use crate::admission::room::CallDuration;
use crate::choice::failing::Failing;
use crate::choice::speed::Speeds;
use crate::dialect::PartId;
use cost::{EndpointLoad, engine_cost_ms, generation_ms, service_cost_ms};
use galenapick::crashes::{Lifetime, lifetime};
use galenapick::stable_hash;
use leaving::LeavingInstances;
use memory::PromptCache;
use peer_counts::PeerCounts;
pub(crate) use rate_limits::{RateLimit, RateLimits};
pub use record::{CallOutcome, EndpointRecord, EndpointRequirements, ReportedLoad};
pub(crate) use room::waiting_tag;
use sample::sample;
use smallvec::SmallVec;
pub(crate) use speeds::ExpectedWork;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Id of an endpoint instance.
pub type InstanceId = Rc<str>;

/// Cost of an endpoint in another failure domain, in ms: the round trip and the charge for traffic
/// between domains.
const CROSS_DOMAIN_MS: f64 = 5.0;

/// Maximum random addition to a cost, in ms. It keeps gateways with equal state from all choosing
/// the same endpoint.
const JITTER_MS: f64 = 1.0;

/// Ratio of an endpoint's average call duration to its service's average above which the endpoint
/// counts as slow. Smaller ratios are normal variation.
const SLOW_FACTOR: f64 = 1.6;

/// Call duration assumed before any call of the service has completed, in ms.
const DEFAULT_CALL_MS: f64 = 200.0;

/// Weight of the latest call in the moving average of call durations.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Back-off of an endpoint after its first failure; each consecutive failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum back-off of an endpoint.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Maximum number of times that the back-off is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

#[derive(Debug)]
struct Endpoint {
    record: EndpointRecord,
    tag: InstanceTag,
    lifetime: Lifetime,
    /// Whether this incarnation stated in an answer that it is leaving, whatever its entry says.
    is_leaving: bool,
    /// Calls of this gateway in flight.
    local_calls: u32,
    /// Times until which calls that failed early count as in flight; at most one for each slot.
    held_until: SmallVec<[Instant; 8]>,
    /// Moving average of its call durations, in ms.
    average_call_ms: Option<f64>,
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
    /// Estimate of the prompt parts in its cache.
    prompt_cache: PromptCache,
}

impl Endpoint {
    fn takes_calls(&self) -> bool {
        !self.record.is_draining && !self.is_leaving
    }

    fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }
}

/// Hash of an instance id, used in exchanged counts. A collision only adds two endpoints' counts
/// together.
pub(crate) type InstanceTag = u32;

/// Returns the hash of an instance id.
pub(crate) fn instance_tag(id: &str) -> InstanceTag {
    stable_hash(id) as InstanceTag
}

/// All known endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    endpoints: HashMap<InstanceId, Endpoint>,
    leaving: LeavingInstances,
    rate_limits: RateLimits,
    /// Moving average of call durations by service, in ms.
    service_average_ms: HashMap<Rc<str>, f64>,
    /// Durations of calls that found a free slot, by service.
    call_durations: HashMap<Rc<str>, CallDuration>,
    peer_counts: HashMap<String, PeerCounts>,
    /// Sum of `peer_counts` by endpoint. It is cached because each choice examines all endpoints and
    /// there may be hundreds of gateways.
    peer_calls: HashMap<InstanceTag, u32>,
    /// Whether endpoints that fail calls with answers of their own are judged.
    judges_failures: bool,
    failing: Failing,
    /// Speeds by service.
    speeds: HashMap<Rc<str>, Speeds>,
    /// Spreads the trials of failing endpoints.
    trial_rng: fastrand::Rng,
}

impl Endpoints {
    /// Inserts or updates an endpoint and returns whether its entry is new or changed.
    ///
    /// A new incarnation or a new address resets all that is known of the endpoint.
    pub fn upsert(&mut self, record: EndpointRecord) -> bool {
        let is_leaving = self.leaving.check_entry(&record);
        if let Some(existing) = self.endpoints.get_mut(&record.id) {
            let is_new_incarnation = existing.record.started_unix_ms != record.started_unix_ms;
            if !is_new_incarnation && existing.record.address == record.address {
                let is_changed = existing.record != record;
                existing.record = record;
                return is_changed;
            }
        }
        let endpoint = Endpoint {
            tag: instance_tag(&record.id),
            lifetime: lifetime(&record.id, record.started_unix_ms),
            is_leaving,
            local_calls: 0,
            held_until: SmallVec::new(),
            average_call_ms: None,
            consecutive_failures: 0,
            backoff_until: None,
            prompt_cache: PromptCache::default(),
            record,
        };
        self.endpoints.insert(endpoint.record.id.clone(), endpoint);
        true
    }

    /// Removes an endpoint and returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.endpoints.remove(id).is_some()
    }

    /// Marks an incarnation of an endpoint as leaving, so that it is not chosen any more, and returns
    /// whether it was not marked before. An incarnation that is known to have ended is not marked.
    ///
    /// Only the end of the incarnation ends the mark: entries may be old, or say nothing of it.
    /// `now_unix_ms` is the time of the answer that showed it.
    pub fn mark_leaving(
        &mut self,
        now_unix_ms: u64,
        id: &InstanceId,
        started_unix_ms: Option<u64>,
    ) -> bool {
        let endpoint = self.endpoints.get_mut(id);
        let current_start = endpoint
            .as_ref()
            .and_then(|endpoint| endpoint.record.started_unix_ms);
        if current_start > started_unix_ms && started_unix_ms.is_some() {
            return false;
        }
        if let Some(endpoint) = endpoint {
            endpoint.is_leaving = true;
        }
        self.leaving.insert(now_unix_ms, id, started_unix_ms)
    }

    /// Returns whether an endpoint is known and takes new calls.
    pub fn takes_calls(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(Endpoint::takes_calls)
    }

    /// Returns whether an endpoint is known and has announced that it is leaving.
    pub(crate) fn is_leaving(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| !endpoint.takes_calls())
    }

    /// Returns the limits that endpoints have stated.
    pub(crate) fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Returns the limits that endpoints have stated, to change them.
    pub(crate) fn rate_limits_mut(&mut self) -> &mut RateLimits {
        &mut self.rate_limits
    }

    /// Forgets limits that no longer matter.
    pub(crate) fn forget_old_rate_limits(&mut self, now: Instant) {
        let endpoints = &self.endpoints;
        let is_listed = |lifetime| {
            let mut listed = endpoints.values();
            listed.any(|endpoint| endpoint.lifetime == lifetime)
        };
        self.rate_limits.forget_old(now, is_listed);
    }

    /// Returns whether any endpoint of a service takes new calls.
    pub fn has_endpoint(&self, service: &str) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| *endpoint.record.service == *service && endpoint.takes_calls())
    }

    /// Returns the ids of all known endpoints, in no particular order.
    pub fn ids(&self) -> Vec<InstanceId> {
        self.endpoints.keys().cloned().collect()
    }

    /// Returns an endpoint's entry; `None` if it is not known.
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.endpoints.get(id).map(|endpoint| &endpoint.record)
    }

    /// Returns the endpoint with the lowest cost for a call; `None` if no endpoint is usable. Where
    /// there are many gateways, only a random subset of the endpoints is compared.
    ///
    /// An endpoint in back-off after a failure, or one that fails calls with answers of its own, is
    /// chosen only if there is no other, and the latter for single calls as trials. One that limits
    /// the rate of its requests costs the time until it may take another one.
    pub fn choose(
        &self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
        local_domain: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<EndpointRecord> {
        if let Some(on_trial) = self.due_trial(now, requirements) {
            return Some(on_trial);
        }
        let usable = self.usable(requirements);
        let (backing_off, healthy): (Vec<_>, Vec<_>) = usable.partition(|endpoint| {
            endpoint.is_backing_off(now) || self.is_failing_endpoint(endpoint)
        });
        let usable = if healthy.is_empty() {
            backing_off
        } else {
            healthy
        };
        let permit_wait = |endpoint: &Endpoint| self.permit_wait(now, endpoint, requirements);
        let (ready, waiting): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .partition(|endpoint| permit_wait(endpoint).is_zero());
        let gateways = self.peer_counts.len() + 1;
        let cached_tokens = |endpoint: &Endpoint| {
            endpoint
                .prompt_cache
                .cached_tokens(requirements.prompt_parts)
        };
        let speeds = self.stated_speeds(requirements.service);
        let speed = speeds.map(|speeds| |endpoint: &Endpoint| speeds.speed(endpoint.lifetime));
        let sampled = sample(ready, local_domain, gateways, cached_tokens, speed, rng);
        let soonest = waiting.into_iter().min_by_key(|it| permit_wait(it));
        let ranked = sampled.into_iter().chain(soonest).map(|endpoint| {
            let wait_ms = permit_wait(endpoint).as_secs_f64() * 1_000.0;
            let cost_ms = self.cost_ms(now, endpoint, requirements, local_domain) + wait_ms;
            (cost_ms + rng.f64() * JITTER_MS, endpoint)
        });
        let best = ranked.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, endpoint)| endpoint.record.clone())
    }

    /// Returns the endpoints that may run a call.
    fn usable(&self, requirements: &EndpointRequirements<'_>) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(move |endpoint| {
            let record = &endpoint.record;
            let is_limited = || self.rate_limits.rate(endpoint.lifetime).is_some();
            *record.service == *requirements.service
                && endpoint.takes_calls()
                && !requirements.exclude.contains(&record.id)
                && !(requirements.is_unlimited && is_limited())
        })
    }

    fn permit_wait(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        requirements: &EndpointRequirements<'_>,
    ) -> Duration {
        let urgency = requirements.urgency;
        self.rate_limits
            .permit_wait(now, endpoint.lifetime, urgency)
    }

    /// Returns the time until an endpoint may have a permit for a call, as far as is known; `None` if
    /// no endpoint is usable.
    pub(crate) fn shortest_permit_wait(
        &self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
    ) -> Option<Duration> {
        let usable = self.usable(requirements);
        usable
            .map(|endpoint| self.permit_wait(now, endpoint, requirements))
            .min()
    }

    fn cost_ms(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        requirements: &EndpointRequirements<'_>,
        local_domain: &str,
    ) -> f64 {
        let record = &endpoint.record;
        let average_ms = self.average_ms(endpoint);
        let load = self.load(endpoint);
        let cross_domain_ms = if record.failure_domain == local_domain {
            0.0
        } else {
            CROSS_DOMAIN_MS
        };
        let endpoint_average_ms = endpoint.average_call_ms.unwrap_or(average_ms);
        let is_slow = endpoint_average_ms > average_ms * SLOW_FACTOR;
        let slowdown_ms = if is_slow {
            endpoint_average_ms - average_ms
        } else {
            0.0
        };
        let cost_ms = if requirements.prompt_tokens > 0 {
            let cached_tokens = endpoint
                .prompt_cache
                .cached_tokens(requirements.prompt_parts);
            let uncached_tokens = requirements.prompt_tokens.saturating_sub(cached_tokens);
            engine_cost_ms(
                &load,
                f64::from(uncached_tokens),
                f64::from(requirements.answer_tokens),
            )
        } else {
            service_cost_ms(&load)
        };
        let failure_ms = self.failure_cost_ms(now, endpoint, average_ms);
        let Some(speeds) = self.stated_speeds(requirements.service) else {
            return cost_ms + cross_domain_ms + slowdown_ms + failure_ms;
        };
        let work_ms = if requirements.prompt_tokens > 0 {
            generation_ms(f64::from(requirements.answer_tokens))
        } else {
            average_ms
        };
        let factor = speeds.factor(now, endpoint.lifetime);
        (cost_ms + work_ms) * factor + cross_domain_ms + failure_ms
    }

    /// Returns whether an endpoint of a service limits the rate of its requests.
    pub(crate) fn has_rate_limit(&self, service: &str) -> bool {
        !self.rate_limits.is_empty()
            && self.endpoints.values().any(|endpoint| {
                *endpoint.record.service == *service
                    && self.rate_limits.rate(endpoint.lifetime).is_some()
            })
    }

    /// Returns the expected time until an endpoint has a free slot; zero if it is not known.
    pub(crate) fn queue_wait(&self, id: &str) -> Duration {
        let endpoint = self.endpoints.get(id);
        endpoint.map_or(Duration::ZERO, |endpoint| {
            Duration::from_secs_f64(self.load(endpoint).wait_ms() / 1_000.0)
        })
    }

    fn load(&self, endpoint: &Endpoint) -> EndpointLoad {
        EndpointLoad {
            calls: f64::from(self.calls_in_flight(endpoint)),
            slots: f64::from(endpoint.record.slots.max(1)),
            average_ms: self.average_ms(endpoint),
        }
    }

    /// Returns the average duration of the calls of an endpoint's service, in ms.
    fn average_ms(&self, endpoint: &Endpoint) -> f64 {
        let average_ms = self.service_average_ms.get(&endpoint.record.service);
        average_ms.copied().unwrap_or(DEFAULT_CALL_MS)
    }

    /// Returns the calls in flight at an endpoint, of this gateway and of its peers.
    fn calls_in_flight(&self, endpoint: &Endpoint) -> u32 {
        endpoint.local_calls()
            + self
                .peer_calls
                .get(&endpoint.tag)
                .copied()
                .unwrap_or_default()
    }

    /// Counts a call as in flight at an endpoint.
    pub fn begin_call(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.local_calls += 1;
            self.failing.begin(endpoint.lifetime);
        }
    }

    /// Records that an endpoint has processed a prompt and caches its parts, within a cache of
    /// `kv_cache_tokens`.
    pub fn record_prompt(
        &mut self,
        id: &str,
        prompt_parts: &[(PartId, u32)],
        kv_cache_tokens: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint
                .prompt_cache
                .record_prompt(prompt_parts, kv_cache_tokens);
        }
    }

    /// Counts a call as finished and updates the endpoint's average duration and back-off.
    pub fn finish_call(
        &mut self,
        now: Instant,
        id: &str,
        duration: Duration,
        outcome: CallOutcome,
    ) {
        let judges_failures = self.judges_failures;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let peer_calls = self.peer_calls.get(&endpoint.tag).copied();
        let calls = endpoint.local_calls + peer_calls.unwrap_or_default();
        endpoint.local_calls = endpoint.local_calls.saturating_sub(1);
        let service = endpoint.record.service.clone();
        match outcome {
            CallOutcome::AnsweredWithFailure if judges_failures => {
                let average_ms = self.service_average_ms.get(&service);
                let average_ms = average_ms.copied().unwrap_or(DEFAULT_CALL_MS);
                endpoint.hold_failed_call(now, duration, average_ms);
            }
            CallOutcome::Answered | CallOutcome::AnsweredWithFailure => {
                let found_free_slot = calls <= endpoint.record.slots.max(1);
                let durations = self.call_durations.entry(service.clone());
                durations.or_default().add(duration, found_free_slot);
                endpoint.consecutive_failures = 0;
                endpoint.backoff_until = None;
                let duration_ms = duration.as_secs_f64() * 1_000.0;
                let endpoint_average = endpoint.average_call_ms.get_or_insert(duration_ms);
                *endpoint_average += (duration_ms - *endpoint_average) * AVERAGE_WEIGHT;
                let service_average = self
                    .service_average_ms
                    .entry(service)
                    .or_insert(duration_ms);
                *service_average += (duration_ms - *service_average) * AVERAGE_WEIGHT;
            }
            CallOutcome::Failed | CallOutcome::Disconnected => {
                let doublings = endpoint.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
                let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
                endpoint.consecutive_failures += 1;
                endpoint.backoff_until = Some(now + backoff);
            }
            CallOutcome::Refused | CallOutcome::Abandoned => {}
        }
        let lifetime = endpoint.lifetime;
        let has_failed = match outcome {
            CallOutcome::Answered => Some(false),
            CallOutcome::AnsweredWithFailure => Some(true),
            _ => None,
        };
        self.record_outcome(now, lifetime, has_failed);
    }
}
