//! Choice of an endpoint: expected wait plus the cost of the prompt tokens that must be computed.

mod averages;
mod endpoint;
#[cfg(test)]
mod tests;

use crate::coordination::breaker::{Breaker, BreakerConfig};
use crate::ids::{CallId, EndpointId, FailureDomain, ModelId};
use crate::protocol::link::SidecarLoad;
use averages::GroupAverages;
use endpoint::Endpoint;
use fastrand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a [`Chooser`].
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceConfig {
    /// Weight of the time that computing uncached prompt tokens takes.
    pub prefill_weight: f64,
    /// Weight of the expected wait.
    pub wait_weight: f64,
    /// Weight of the slow-down that the call causes to others, by how busy the endpoint is.
    pub busy_weight: f64,
    /// Added for an engine whose cache is full, in milliseconds; in proportion for others.
    ///
    /// Programs come back to their cache, so cache in use foretells load.
    pub full_cache_ms: f64,
    /// Added for an endpoint in another failure domain, in milliseconds.
    pub remote_domain_ms: f64,
    /// Costs that differ by less than this count as equal, in milliseconds.
    pub tie_margin_ms: f64,
    /// Costs that differ by less than this part count as equal.
    pub tie_margin_share: f64,
    /// Time after which a load report counts half against the average of all.
    pub load_half_life: Duration,
    /// Time without any sign of life after which an endpoint gets no new work.
    pub silent_after: Duration,
    /// Endpoints that are compared at most; more are sampled.
    pub max_compared: usize,
    /// Settings of each endpoint's breaker.
    pub breaker: BreakerConfig,
}

impl Default for ChoiceConfig {
    fn default() -> Self {
        Self {
            prefill_weight: 50.0,
            wait_weight: 1.0,
            busy_weight: 0.5,
            full_cache_ms: 1_000.0,
            remote_domain_ms: 3.0,
            tie_margin_ms: 10.0,
            tie_margin_share: 0.1,
            load_half_life: Duration::from_secs(2),
            silent_after: Duration::from_secs(3),
            max_compared: 64,
            breaker: BreakerConfig::default(),
        }
    }
}

/// What an endpoint is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A service, by its name in the environment document.
    Service(String),
}

/// What is known of an endpoint beside its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// What it is.
    pub kind: EndpointKind,
    /// Models and adapters loaded, with their versions.
    pub models: Vec<(ModelId, u32)>,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// Whether an endpoint may get new work, as membership sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum EndpointState {
    /// It may.
    #[default]
    Live,
    /// It has been silent: it may not until it is heard again.
    Suspect,
    /// It will stop: it may not.
    Leaving,
}

/// What a call needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model or adapter of at least this version.
    Model {
        /// The model or adapter.
        model: &'a str,
        /// The least version.
        version: u32,
    },
    /// A service.
    Service(&'a str),
}

/// A call that wants an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequirements<'a> {
    /// What it needs.
    pub target: Target<'a>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Prompt tokens that endpoints are believed to hold.
    pub cache_holders: &'a [(EndpointId, u32)],
    /// The failure domain of this entry.
    pub local_domain: &'a str,
    /// Endpoints that must not be chosen, such as one that has just failed the call.
    pub exclude: &'a [EndpointId],
}

/// A chosen endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time that the call is expected to wait there.
    pub expected_wait: Duration,
    /// Prompt tokens that it is believed to hold.
    pub expected_cached_tokens: u32,
}

/// How a call that was sent to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// With an answer, or with a refusal that says nothing about the endpoint's health.
    Answered,
    /// Without an answer, or with one that shows a fault.
    Failed,
    /// It was withdrawn.
    Cancelled,
}

/// Work of a call that was sent, for the correction of load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallWork {
    /// Prompt tokens that are expected to be computed.
    pub uncached_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
}

/// A candidate with its expected cost.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    cost_ms: f64,
    /// Part of the cost that differs between endpoints by load and cache.
    delay_ms: f64,
    wait_ms: f64,
    cached_tokens: u32,
}

/// Chooses endpoints for calls from loads that are late and partial.
///
/// ```
/// use galenapick::protocol::link::SidecarLoad;
/// use galenapick::{ChoiceConfig, Chooser, EndpointInfo, EndpointKind, EndpointRequirements, Target};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut chooser = Chooser::new(ChoiceConfig::default());
/// for name in ["e1", "e2"] {
///     let info = EndpointInfo {
///         kind: EndpointKind::Engine,
///         models: vec![("matcher-llm".into(), 1)],
///         failure_domain: "tn-north-a".into(),
///     };
///     chooser.upsert(now, name, info);
///     chooser.update_load(now, name, &SidecarLoad { cap: 8, ..SidecarLoad::default() });
/// }
/// let requirements = EndpointRequirements {
///     target: Target::Model { model: "matcher-llm", version: 1 },
///     prompt_tokens: 4_000,
///     answer_tokens: 100,
///     cache_holders: &[("e2".into(), 3_900)],
///     local_domain: "tn-north-a",
///     exclude: &[],
/// };
/// let choice = chooser.choose(now, &requirements, &mut fastrand::Rng::with_seed(1)).unwrap();
/// assert_eq!(choice.endpoint, "e2");
/// ```
#[derive(Debug)]
pub struct Chooser {
    cfg: ChoiceConfig,
    by_name: HashMap<EndpointId, usize>,
    endpoints: Vec<Endpoint>,
    /// Endpoints by model or service; each list holds every endpoint of that name once.
    groups: HashMap<String, Vec<usize>>,
}

impl Chooser {
    /// Makes a chooser that knows no endpoint.
    pub fn new(cfg: ChoiceConfig) -> Self {
        Self {
            cfg,
            by_name: HashMap::new(),
            endpoints: Vec::new(),
            groups: HashMap::new(),
        }
    }

    /// Adds an endpoint or replaces what is known of it; its load and health are kept.
    pub fn upsert(&mut self, now: Instant, endpoint: &str, info: EndpointInfo) {
        match self.by_name.get(endpoint) {
            Some(index) if self.endpoints[*index].info == info => return,
            Some(index) => self.endpoints[*index].info = info,
            None => {
                let breaker = Breaker::new(self.cfg.breaker);
                let added = Endpoint::new(endpoint, info, breaker, now);
                self.by_name
                    .insert(endpoint.to_owned(), self.endpoints.len());
                self.endpoints.push(added);
            }
        }
        self.rebuild_groups();
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: &str) {
        let Some(index) = self.by_name.remove(endpoint) else {
            return;
        };
        self.endpoints.swap_remove(index);
        if let Some(moved) = self.endpoints.get(index) {
            self.by_name.insert(moved.name.clone(), index);
        }
        self.rebuild_groups();
    }

    /// Takes a load report, which is also a sign of life.
    pub fn update_load(&mut self, now: Instant, endpoint: &str, load: &SidecarLoad) {
        let Some(index) = self.by_name.get(endpoint).copied() else {
            return;
        };
        if self.endpoints[index].update_load(now, load) {
            self.rebuild_groups();
        }
    }

    /// Takes what membership says of an endpoint.
    pub fn set_state(&mut self, endpoint: &str, state: EndpointState) {
        if let Some(found) = self.endpoint_mut(endpoint) {
            found.state = state;
        }
    }

    /// Notes a sign of life, such as a token or an answer to a ping.
    pub fn record_activity(&mut self, now: Instant, endpoint: &str) {
        if let Some(found) = self.endpoint_mut(endpoint) {
            found.record_activity(now);
        }
    }

    /// Notes that this entry has sent a call, which no load report shows yet.
    pub fn begin_call(&mut self, now: Instant, endpoint: &str, call: CallId, sent: CallWork) {
        if let Some(found) = self.endpoint_mut(endpoint) {
            found.begin_call(now, call, sent);
        }
    }

    /// Notes how a call that this entry has sent ended.
    pub fn finish_call(&mut self, now: Instant, endpoint: &str, call: CallId, end: CallOutcome) {
        if let Some(found) = self.endpoint_mut(endpoint) {
            found.finish_call(now, call, end);
        }
    }

    /// Chooses an endpoint; `None` if none may get the call.
    pub fn choose(
        &mut self,
        now: Instant,
        want: &EndpointRequirements<'_>,
        rng: &mut Rng,
    ) -> Option<Choice> {
        let candidates = self.candidates(now, want, rng);
        let chosen = self.pick(&candidates, rng)?;
        let found = &mut self.endpoints[chosen.index];
        found.breaker.allow(now);
        Some(Choice {
            endpoint: found.name.clone(),
            expected_wait: Duration::from_secs_f64(chosen.wait_ms.max(0.0) / 1e3),
            expected_cached_tokens: chosen.cached_tokens,
        })
    }

    /// Tells whether an endpoint may get new work now.
    pub fn is_usable(&self, now: Instant, endpoint: &str) -> bool {
        let index = self.by_name.get(endpoint);
        index.is_some_and(|index| self.endpoints[*index].is_usable(now, &self.cfg))
    }

    /// Returns how many endpoints are known.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn endpoint_mut(&mut self, endpoint: &str) -> Option<&mut Endpoint> {
        let index = self.by_name.get(endpoint)?;
        self.endpoints.get_mut(*index)
    }

    /// Builds the lists of endpoints by model and service.
    fn rebuild_groups(&mut self) {
        self.groups.clear();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            for name in endpoint.served_names() {
                let group = self.groups.entry(name.to_owned()).or_default();
                group.push(index);
            }
        }
    }

    /// Returns the usable endpoints with their costs: holders of cache, and all or a sample.
    fn candidates(
        &self,
        now: Instant,
        want: &EndpointRequirements<'_>,
        rng: &mut Rng,
    ) -> Vec<Candidate> {
        let name = match want.target {
            Target::Model { model, .. } => model,
            Target::Service(service) => service,
        };
        let Some(group) = self.groups.get(name) else {
            return Vec::new();
        };
        let typical = self.group_averages(now, group);
        let mut candidates = Vec::with_capacity(self.cfg.max_compared + want.cache_holders.len());
        let mut consider = |index: usize, cached: u32| {
            let endpoint = &self.endpoints[index];
            if self.is_eligible(now, endpoint, want) {
                candidates.push(self.score(now, index, want, cached, &typical));
            }
        };
        for (holder, tokens) in want.cache_holders {
            if let Some(index) = self.by_name.get(holder) {
                consider(*index, (*tokens).min(want.prompt_tokens));
            }
        }
        for index in sample(group, self.cfg.max_compared, rng) {
            if !self.is_cache_holder(index, want) {
                consider(index, 0);
            }
        }
        candidates
    }

    /// Tells whether an endpoint is listed as a holder of the prompt.
    fn is_cache_holder(&self, index: usize, want: &EndpointRequirements<'_>) -> bool {
        let name = &self.endpoints[index].name;
        want.cache_holders.iter().any(|(holder, _)| holder == name)
    }

    /// Tells whether an endpoint may and can serve a call.
    fn is_eligible(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        want: &EndpointRequirements<'_>,
    ) -> bool {
        endpoint.is_usable(now, &self.cfg)
            && endpoint.can_serve(want.target)
            && !want.exclude.contains(&endpoint.name)
    }

    /// Averages what the endpoints of a group report.
    fn group_averages(&self, now: Instant, group: &[usize]) -> GroupAverages {
        let compared = &group[..group.len().min(self.cfg.max_compared)];
        let endpoints = compared.iter().map(|index| &self.endpoints[*index]);
        let usable = endpoints.filter(|e| e.is_usable(now, &self.cfg));
        GroupAverages::from_loads(usable.map(|endpoint| &endpoint.load))
    }

    /// Works out what a call would cost at an endpoint.
    fn score(
        &self,
        now: Instant,
        index: usize,
        want: &EndpointRequirements<'_>,
        cached_tokens: u32,
        typical: &GroupAverages,
    ) -> Candidate {
        let endpoint = &self.endpoints[index];
        let wait_ms = endpoint.wait_ms(now, typical.wait_ms, self.cfg.load_half_life);
        let uncached = want.prompt_tokens - cached_tokens;
        let uncached = u64::from(uncached);
        let prefill_ms = endpoint.prefill_ms(uncached, typical);
        let contention_ms = endpoint.contention_ms(uncached, typical);
        let decode_ms = endpoint.decode_ms(want.answer_tokens, typical);
        let near = endpoint.info.failure_domain == want.local_domain;
        let far_ms = if near { 0.0 } else { self.cfg.remote_domain_ms };
        let delay_ms = self.cfg.wait_weight * (wait_ms + contention_ms)
            + self.cfg.prefill_weight * prefill_ms
            + self.cfg.busy_weight * endpoint.utilization() * decode_ms
            + self.cfg.full_cache_ms * endpoint.cache_used();
        Candidate {
            index,
            cost_ms: delay_ms + decode_ms + far_ms,
            delay_ms,
            wait_ms,
            cached_tokens,
        }
    }

    /// Takes the better of two random ones among those that are as good as the best.
    fn pick(&self, candidates: &[Candidate], rng: &mut Rng) -> Option<Candidate> {
        let best = candidates
            .iter()
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?;
        let margin_ms = self
            .cfg
            .tie_margin_ms
            .max(best.delay_ms * self.cfg.tie_margin_share);
        let limit = best.cost_ms + margin_ms;
        let equals = candidates.iter().filter(|c| c.cost_ms <= limit);
        let equals: Vec<_> = equals.collect();
        let first = equals[rng.usize(..equals.len())];
        let second = equals[rng.usize(..equals.len())];
        let better = if second.cost_ms < first.cost_ms {
            second
        } else {
            first
        };
        Some(*better)
    }
}

/// Returns all of a short group, or a random run of a long one.
fn sample<'a>(group: &'a [usize], most: usize, rng: &mut Rng) -> impl Iterator<Item = usize> + 'a {
    let start = rng.usize(..group.len().max(1));
    let count = group.len().min(most);
    let around = group.iter().cycle().skip(start);
    around.take(count).copied()
}
