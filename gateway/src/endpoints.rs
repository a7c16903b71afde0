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
use cost::{Work, engine_ms, service_ms};
use memory::PromptMemory;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Id of an endpoint's instance.
pub type InstanceId = Rc<str>;

/// Cost of another failure domain, in ms: there and back, and its bytes are not free.
const FAR_MS: f64 = 5.0;

/// Random part of a cost in ms, so that gateways that know the same do not choose the same.
const JITTER_MS: f64 = 1.0;

/// Factor by which an endpoint's calls take longer than its service's before it counts as slow;
/// the times of calls differ by so much by themselves.
const SLOW_FACTOR: f64 = 1.6;

/// Time of a call assumed before any ended, in ms.
const DEFAULT_CALL_MS: f64 = 200.0;

/// Weight of the newest call in the average time of calls.
const TIME_WEIGHT: f64 = 0.05;

/// How long an endpoint is avoided after a failure at first; doubled by each further one.
const AVOID_FIRST: Duration = Duration::from_millis(400);

/// How long an endpoint is avoided at most.
const AVOID_MOST: Duration = Duration::from_secs(4);

/// Doublings after which the time to avoid an endpoint grows no more.
const AVOID_DOUBLINGS: u32 = 4;

/// Age at which another gateway's counts no longer say anything: several of its reports are
/// missing.
const HEARSAY_LIMIT: Duration = Duration::from_millis(1_500);

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
pub struct Want<'a> {
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
pub enum CallEnd {
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
    own_calls: u32,
    /// Average time of its calls, in ms.
    call_ms: Option<f64>,
    failures_in_row: u32,
    avoid_until: Option<Instant>,
    /// What its memory is believed to hold.
    memory: PromptMemory,
}

/// Short form of an instance's id, for counts; two that are alike only blur the counts.
pub(crate) type InstanceTag = u32;

/// Returns the short form of an instance's id.
pub(crate) fn tag_of(id: &str) -> InstanceTag {
    stable_hash(id) as InstanceTag
}

/// Counts of another gateway.
#[derive(Debug)]
struct Hearsay {
    calls: Vec<(InstanceTag, u32)>,
    heard_at: Instant,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    endpoints: HashMap<InstanceId, Endpoint>,
    /// Average time of a service's calls, in ms.
    service_ms: HashMap<Rc<str>, f64>,
    hearsay: HashMap<String, Hearsay>,
    /// Sum over `hearsay`: a choice looks at all endpoints, and there may be hundreds of gateways.
    others: HashMap<InstanceTag, u32>,
}

impl Endpoints {
    /// Takes an entry of the platform's list; returns whether it is new or changed.
    pub fn put(&mut self, record: EndpointRecord) -> bool {
        if let Some(known) = self.endpoints.get_mut(&record.id) {
            let is_reborn = known.record.started_unix_ms != record.started_unix_ms;
            if !is_reborn && known.record.address == record.address {
                let changed = known.record != record;
                known.record = record;
                return changed;
            }
        }
        let endpoint = Endpoint {
            tag: tag_of(&record.id),
            own_calls: 0,
            call_ms: None,
            failures_in_row: 0,
            avoid_until: None,
            memory: PromptMemory::default(),
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
        want: &Want<'_>,
        near: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<EndpointRecord> {
        let usable = self.endpoints.values().filter(|endpoint| {
            let record = &endpoint.record;
            *record.service == *want.service
                && !record.is_draining
                && !want.exclude.contains(&record.id)
        });
        let rank = |endpoint: &&Endpoint, rng: &mut fastrand::Rng| {
            let is_avoided = endpoint.avoid_until.is_some_and(|until| until > now);
            let cost_ms = self.cost_ms(endpoint, want, near) + rng.f64() * JITTER_MS;
            (is_avoided, cost_ms)
        };
        let ranked = usable.map(|endpoint| (rank(&endpoint, rng), endpoint));
        let best = ranked.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, endpoint)| endpoint.record.clone())
    }

    fn cost_ms(&self, endpoint: &Endpoint, want: &Want<'_>, near: &str) -> f64 {
        let record = &endpoint.record;
        let service_average = self.service_ms.get(&record.service).copied();
        let usual_ms = service_average.unwrap_or(DEFAULT_CALL_MS);
        let work = Work {
            calls: f64::from(self.calls_of(endpoint)),
            slots: f64::from(record.slots.max(1)),
            usual_ms,
        };
        let far_ms = if record.failure_domain == near {
            0.0
        } else {
            FAR_MS
        };
        let own_ms = endpoint.call_ms.unwrap_or(usual_ms);
        let is_slow = own_ms > usual_ms * SLOW_FACTOR;
        let slower_ms = if is_slow { own_ms - usual_ms } else { 0.0 };
        let cost_ms = if want.prompt_tokens > 0 {
            let cached_tokens = endpoint.memory.cached_tokens(want.prompt_parts);
            let unread_tokens = want.prompt_tokens.saturating_sub(cached_tokens);
            engine_ms(
                &work,
                f64::from(unread_tokens),
                f64::from(want.answer_tokens),
            )
        } else {
            service_ms(&work)
        };
        cost_ms + far_ms + slower_ms
    }

    /// Calls under way at an endpoint, as far as this gateway knows.
    fn calls_of(&self, endpoint: &Endpoint) -> u32 {
        endpoint.own_calls + self.others.get(&endpoint.tag).copied().unwrap_or_default()
    }

    /// Notes that a call goes to an endpoint.
    pub fn begin(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_calls += 1;
        }
    }

    /// Notes that an endpoint has read the parts of a prompt, and holds them in memory.
    pub fn remember(&mut self, id: &str, prompt_parts: &[(PartId, u32)], memory_tokens: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.memory.remember(prompt_parts, memory_tokens);
        }
    }

    /// Notes the end of a call.
    pub fn end(&mut self, now: Instant, id: &str, took: Duration, end: CallEnd) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.own_calls = endpoint.own_calls.saturating_sub(1);
        match end {
            CallEnd::Answered => {
                endpoint.failures_in_row = 0;
                endpoint.avoid_until = None;
                let took_ms = took.as_secs_f64() * 1_000.0;
                let own = endpoint.call_ms.get_or_insert(took_ms);
                *own += (took_ms - *own) * TIME_WEIGHT;
                let service = endpoint.record.service.clone();
                let usual = self.service_ms.entry(service).or_insert(took_ms);
                *usual += (took_ms - *usual) * TIME_WEIGHT;
            }
            CallEnd::Broken => {
                let doublings = endpoint.failures_in_row.min(AVOID_DOUBLINGS);
                let pause = (AVOID_FIRST * 2_u32.pow(doublings)).min(AVOID_MOST);
                endpoint.failures_in_row += 1;
                endpoint.avoid_until = Some(now + pause);
            }
            CallEnd::Refused | CallEnd::Abandoned => {}
        }
    }

    /// Takes the counts of another gateway.
    pub(crate) fn hear(&mut self, now: Instant, gateway: &str, calls: Vec<(InstanceTag, u32)>) {
        self.unhear(gateway);
        for (tag, count) in &calls {
            *self.others.entry(*tag).or_default() += count;
        }
        let hearsay = Hearsay {
            calls,
            heard_at: now,
        };
        self.hearsay.insert(gateway.to_owned(), hearsay);
    }

    /// Drops the counts of gateways that have not been heard of late.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        let silent = self.hearsay.iter().filter(|(_, hearsay)| {
            now.saturating_duration_since(hearsay.heard_at) >= HEARSAY_LIMIT
        });
        let silent: Vec<String> = silent.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in silent {
            self.unhear(&gateway);
        }
    }

    fn unhear(&mut self, gateway: &str) {
        let Some(before) = self.hearsay.remove(gateway) else {
            return;
        };
        for (tag, count) in before.calls {
            if let Some(sum) = self.others.get_mut(&tag) {
                *sum -= count;
                if *sum == 0 {
                    self.others.remove(&tag);
                }
            }
        }
    }

    /// This gateway's own counts, without zeros.
    pub(crate) fn own_counts(&self) -> Vec<(InstanceTag, u32)> {
        let busy = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.own_calls > 0);
        busy.map(|endpoint| (endpoint.tag, endpoint.own_calls))
            .collect()
    }
}
