//! Endpoints: what is known of each, and the choice of one for a call.
//!
//! Many gateways choose at once. Each counts its own calls exactly, hears the counts of the
//! others every few ms, and adds what it has sent since; so two gateways seldom send to the same
//! endpoint because both believe it idle.

#[cfg(test)]
mod tests;

mod cost;
mod memory;

use crate::dialect::PartId;
use crate::stable_hash::stable_hash;
use cost::{EndpointLoad, engine_cost_ms, service_cost_ms};
use memory::PromptCache;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Id of an endpoint's instance.
pub type InstanceId = Rc<str>;

/// Cost of another failure domain, in ms: there and back, and its bytes are not free.
const CROSS_DOMAIN_MS: f64 = 5.0;

/// Random part of a cost in ms, so that gateways that know the same do not choose the same.
const JITTER_MS: f64 = 1.0;

/// Factor by which an endpoint's calls take longer than its service's before it counts as slow;
/// the times of calls differ by so much by themselves.
const SLOW_FACTOR: f64 = 1.6;

/// Time of a call assumed before any ended, in ms.
const DEFAULT_CALL_MS: f64 = 200.0;

/// Weight of the newest call in the average time of calls.
const AVERAGE_WEIGHT: f64 = 0.05;

/// How long an endpoint is avoided after a failure at first; doubled by each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// How long an endpoint is avoided at most.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Doublings after which the time to avoid an endpoint grows no more.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Age at which another gateway's counts no longer say anything: several of its reports are
/// missing.
const PEER_COUNTS_TTL: Duration = Duration::from_millis(1_500);

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// What the platform's list says of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Id of its instance.
    pub id: InstanceId,
    /// Its service.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Start of its lifetime, if it says so; differs between two lifetimes of the same id.
    pub started_unix_ms: Option<u64>,
}

/// What a call needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequirements<'a> {
    /// The service.
    pub service: &'a str,
    /// Tokens of the prompt; 0 for plain calls.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Parts of the prompt with their tokens, in order.
    pub prompt_parts: &'a [(PartId, u32)],
    /// Endpoints that the call was already sent to.
    pub exclude: &'a [InstanceId],
}

/// How a call at an endpoint ended, as far as the endpoint's health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered.
    Answered,
    /// The endpoint did not take it, for lack of room.
    Refused,
    /// The connection or the answer was broken, or nothing came.
    Broken,
    /// The call ended for a reason that says nothing of the endpoint.
    Abandoned,
}

#[derive(Debug)]
struct Endpoint {
    record: EndpointRecord,
    tag: InstanceTag,
    /// Calls of this gateway under way.
    local_calls: u32,
    /// Average time of its calls, in ms.
    call_ms: Option<f64>,
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
    /// What its memory is believed to hold.
    memory: PromptCache,
}

/// Short form of an instance's id, for counts; two that are alike only blur the counts.
pub(crate) type InstanceTag = u32;

/// Returns the short form of an instance's id.
pub(crate) fn instance_tag(id: &str) -> InstanceTag {
    stable_hash(id) as InstanceTag
}

/// Counts of another gateway.
#[derive(Debug)]
struct PeerCounts {
    calls: Vec<(InstanceTag, u32)>,
    received_at: Instant,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    endpoints: HashMap<InstanceId, Endpoint>,
    /// Average time of a service's calls, in ms.
    service_average_ms: HashMap<Rc<str>, f64>,
    peer_counts: HashMap<String, PeerCounts>,
    /// Sum over `hearsay`: a choice looks at all endpoints, and there may be hundreds of gateways.
    peer_calls: HashMap<InstanceTag, u32>,
}

impl Endpoints {
    /// Takes an entry of the platform's list; returns whether it is new or changed.
    pub fn upsert(&mut self, record: EndpointRecord) -> bool {
        if let Some(known) = self.endpoints.get_mut(&record.id) {
            let is_new_incarnation = known.record.started_unix_ms != record.started_unix_ms;
            if !is_new_incarnation && known.record.address == record.address {
                let changed = known.record != record;
                known.record = record;
                return changed;
            }
        }
        let endpoint = Endpoint {
            tag: instance_tag(&record.id),
            local_calls: 0,
            call_ms: None,
            consecutive_failures: 0,
            backoff_until: None,
            memory: PromptCache::default(),
            record,
        };
        self.endpoints.insert(endpoint.record.id.clone(), endpoint);
        true
    }

    /// Removes an endpoint; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.endpoints.remove(id).is_some()
    }

    /// Ids of all endpoints.
    pub fn ids(&self) -> Vec<InstanceId> {
        self.endpoints.keys().cloned().collect()
    }

    /// Returns an endpoint's entry.
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.endpoints.get(id).map(|endpoint| &endpoint.record)
    }

    /// Chooses the endpoint where a call costs least; `None` if there is none to use.
    ///
    /// Endpoints that failed of late are chosen only if there is no other.
    pub fn choose(
        &self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
        local_domain: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<EndpointRecord> {
        let usable = self.endpoints.values().filter(|endpoint| {
            let record = &endpoint.record;
            *record.service == *requirements.service
                && !record.is_draining
                && !requirements.exclude.contains(&record.id)
        });
        let rank = |endpoint: &&Endpoint, rng: &mut fastrand::Rng| {
            let is_backing_off = endpoint.backoff_until.is_some_and(|until| until > now);
            let cost_ms =
                self.cost_ms(endpoint, requirements, local_domain) + rng.f64() * JITTER_MS;
            (is_backing_off, cost_ms)
        };
        let ranked = usable.map(|endpoint| (rank(&endpoint, rng), endpoint));
        let best = ranked.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, endpoint)| endpoint.record.clone())
    }

    fn cost_ms(
        &self,
        endpoint: &Endpoint,
        requirements: &EndpointRequirements<'_>,
        local_domain: &str,
    ) -> f64 {
        let record = &endpoint.record;
        let service_average_ms = self.service_average_ms.get(&record.service).copied();
        let average_ms = service_average_ms.unwrap_or(DEFAULT_CALL_MS);
        let load = EndpointLoad {
            calls: f64::from(self.calls_in_flight(endpoint)),
            slots: f64::from(record.slots.max(1)),
            average_ms,
        };
        let cross_domain_ms = if record.failure_domain == local_domain {
            0.0
        } else {
            CROSS_DOMAIN_MS
        };
        let endpoint_average_ms = endpoint.call_ms.unwrap_or(average_ms);
        let is_slow = endpoint_average_ms > average_ms * SLOW_FACTOR;
        let slowdown_ms = if is_slow {
            endpoint_average_ms - average_ms
        } else {
            0.0
        };
        let cost_ms = if requirements.prompt_tokens > 0 {
            let cached_tokens = endpoint.memory.cached_tokens(requirements.prompt_parts);
            let uncached_tokens = requirements.prompt_tokens.saturating_sub(cached_tokens);
            engine_cost_ms(
                &load,
                f64::from(uncached_tokens),
                f64::from(requirements.answer_tokens),
            )
        } else {
            service_cost_ms(&load)
        };
        cost_ms + cross_domain_ms + slowdown_ms
    }

    /// Calls under way at an endpoint, as far as this gateway knows.
    fn calls_in_flight(&self, endpoint: &Endpoint) -> u32 {
        endpoint.local_calls
            + self
                .peer_calls
                .get(&endpoint.tag)
                .copied()
                .unwrap_or_default()
    }

    /// Notes that a call goes to an endpoint.
    pub fn begin_call(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.local_calls += 1;
        }
    }

    /// Notes that an endpoint has read the parts of a prompt, and holds them in memory.
    pub fn record_prompt(&mut self, id: &str, prompt_parts: &[(PartId, u32)], memory_tokens: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.memory.record_prompt(prompt_parts, memory_tokens);
        }
    }

    /// Notes the end of a call.
    pub fn finish_call(&mut self, now: Instant, id: &str, took: Duration, outcome: CallOutcome) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.local_calls = endpoint.local_calls.saturating_sub(1);
        match outcome {
            CallOutcome::Answered => {
                endpoint.consecutive_failures = 0;
                endpoint.backoff_until = None;
                let took_ms = took.as_secs_f64() * 1_000.0;
                let own = endpoint.call_ms.get_or_insert(took_ms);
                *own += (took_ms - *own) * AVERAGE_WEIGHT;
                let service = endpoint.record.service.clone();
                let average = self.service_average_ms.entry(service).or_insert(took_ms);
                *average += (took_ms - *average) * AVERAGE_WEIGHT;
            }
            CallOutcome::Broken => {
                let doublings = endpoint.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
                let pause = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
                endpoint.consecutive_failures += 1;
                endpoint.backoff_until = Some(now + pause);
            }
            CallOutcome::Refused | CallOutcome::Abandoned => {}
        }
    }

    /// Takes the counts of another gateway.
    pub(crate) fn set_peer_counts(
        &mut self,
        now: Instant,
        gateway: &str,
        calls: Vec<(InstanceTag, u32)>,
    ) {
        self.remove_peer_counts(gateway);
        for (tag, count) in &calls {
            *self.peer_calls.entry(*tag).or_default() += count;
        }
        let peer_counts = PeerCounts {
            calls,
            received_at: now,
        };
        self.peer_counts.insert(gateway.to_owned(), peer_counts);
    }

    /// Drops the counts of gateways that have not been heard of late.
    pub(crate) fn expire_peer_counts(&mut self, now: Instant) {
        let expired = self.peer_counts.iter().filter(|(_, peer_counts)| {
            now.saturating_duration_since(peer_counts.received_at) >= PEER_COUNTS_TTL
        });
        let expired: Vec<String> = expired.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in expired {
            self.remove_peer_counts(&gateway);
        }
    }

    fn remove_peer_counts(&mut self, gateway: &str) {
        let Some(previous) = self.peer_counts.remove(gateway) else {
            return;
        };
        for (tag, count) in previous.calls {
            if let Some(sum) = self.peer_calls.get_mut(&tag) {
                *sum -= count;
                if *sum == 0 {
                    self.peer_calls.remove(&tag);
                }
            }
        }
    }

    /// This gateway's own counts, without zeros.
    pub(crate) fn local_counts(&self) -> Vec<(InstanceTag, u32)> {
        let busy = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.local_calls > 0);
        busy.map(|endpoint| (endpoint.tag, endpoint.local_calls))
            .collect()
    }
}
