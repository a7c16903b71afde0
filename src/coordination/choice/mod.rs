//! Choice of an endpoint by its expected wait and by the cost of the prompt tokens that it must
//! compute.

mod averages;
mod endpoint;
mod obstacle;
#[cfg(test)]
mod tests;

use crate::coordination::breaker::{Breaker, BreakerConfig};
use crate::ids::{CallId, EndpointId, FailureDomain, ModelId};
use crate::protocol::link::SidecarLoad;
use averages::GroupAverages;
use endpoint::Endpoint;
use fastrand::Rng;
pub use obstacle::Obstacle;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a [`Chooser`].
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceConfig {
    /// Weight of the time to compute uncached prompt tokens.
    pub prefill_weight: f64,
    /// Weight of the expected wait.
    pub wait_weight: f64,
    /// Weight of the slow-down that the call causes to other calls. It is multiplied by the
    /// endpoint's utilization and by the call's time to generate tokens.
    pub busy_weight: f64,
    /// Cost of an engine whose cache is full, in milliseconds. Scaled by the fraction of the cache
    /// in use.
    ///
    /// Programs return to the engine that holds their cache, so cache in use predicts load.
    pub full_cache_ms: f64,
    /// Cost of an endpoint in another failure domain, in milliseconds.
    pub remote_domain_ms: f64,
    /// Cost difference up to which endpoints count as equally good, in milliseconds.
    pub tie_margin_ms: f64,
    /// The same as a fraction of the best endpoint's delay; the larger margin applies.
    pub tie_margin_share: f64,
    /// Time after which a load report has half its weight against the group's mean.
    pub load_half_life: Duration,
    /// Time without a sign of life after which an endpoint with an unanswered call gets no new
    /// calls.
    pub silent_after: Duration,
    /// Maximum number of endpoints to compare, besides cache holders; larger groups are sampled.
    pub max_compared: usize,
    /// Settings of each endpoint's circuit breaker.
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

/// Kind of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// Engine that serves models.
    Engine,
    /// Service with its name in the environment document.
    Service(String),
}

/// Description of an endpoint without its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Loaded models and adapters with their versions.
    pub models: Vec<(ModelId, u32)>,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
}

/// State of an endpoint according to membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum EndpointState {
    /// It may get new calls.
    #[default]
    Live,
    /// It has been silent and gets no new calls until its next sign of life.
    Suspect,
    /// It will stop and gets no new calls.
    Leaving,
}

/// Model or service that a call needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model or adapter in at least the given version.
    Model {
        /// Name of the model or adapter.
        model: &'a str,
        /// Minimum version.
        version: u32,
    },
    /// The service with this name.
    Service(&'a str),
}

impl<'a> Target<'a> {
    /// Returns the name of the model, adapter or service.
    pub fn name(&self) -> &'a str {
        match self {
            Self::Model { model, .. } => model,
            Self::Service(service) => service,
        }
    }
}

/// Requirements of a call on its endpoint, and estimates used to compare endpoints.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequirements<'a> {
    /// Model or service that the call needs.
    pub target: Target<'a>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens in the answer.
    pub answer_tokens: u32,
    /// Endpoints that are believed to cache the prompt, with the number of cached tokens.
    pub cache_holders: &'a [(EndpointId, u32)],
    /// Failure domain of this entry.
    pub local_domain: &'a str,
    /// Endpoints that must not be chosen, for example one that has just failed the call.
    pub exclude: &'a [EndpointId],
}

/// Result of [`Chooser::choose`].
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Name of the chosen endpoint.
    pub endpoint: EndpointId,
    /// Expected wait of the call at that endpoint.
    pub expected_wait: Duration,
    /// Prompt tokens that the endpoint is believed to cache.
    pub expected_cached_tokens: u32,
}

/// How a call that was sent to an endpoint ended, as far as it shows the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It got an answer, or a refusal that does not indicate a fault of the endpoint.
    Answered,
    /// It got no answer, or one that indicates a fault of the endpoint.
    Failed,
    /// It was cancelled before it got an answer.
    Cancelled,
}

/// Estimated work of a call that was sent. It corrects load reports that do not include the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallWork {
    /// Prompt tokens that the endpoint is expected to compute.
    pub uncached_tokens: u32,
    /// Expected number of tokens in the answer.
    pub answer_tokens: u32,
}

/// An eligible endpoint with its estimated cost.
#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    cost_ms: f64,
    /// Part of the cost that depends on the endpoint's load and cache.
    delay_ms: f64,
    wait_ms: f64,
    cached_tokens: u32,
}

/// Chooses endpoints for calls. The load reports it relies on are delayed and incomplete.
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
    /// Indices of the endpoints by model or service name. Each list contains an endpoint at most
    /// once.
    groups: HashMap<String, Vec<usize>>,
}

impl Chooser {
    /// Creates a chooser without endpoints.
    pub fn new(cfg: ChoiceConfig) -> Self {
        Self {
            cfg,
            by_name: HashMap::new(),
            endpoints: Vec::new(),
            groups: HashMap::new(),
        }
    }

    /// Adds an endpoint or replaces its description; a known endpoint keeps its load and health.
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

    /// Removes an endpoint.
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

    /// Replaces an endpoint's load report, which is also a sign of life.
    pub fn update_load(&mut self, now: Instant, endpoint: &str, load: &SidecarLoad) {
        let Some(index) = self.by_name.get(endpoint).copied() else {
            return;
        };
        if self.endpoints[index].update_load(now, load) {
            self.rebuild_groups();
        }
    }

    /// Sets the state of an endpoint according to membership.
    pub fn set_state(&mut self, endpoint: &str, state: EndpointState) {
        if let Some(known) = self.endpoint_mut(endpoint) {
            known.state = state;
        }
    }

    /// Records a sign of life, such as a token or an answer to a ping.
    pub fn record_activity(&mut self, now: Instant, endpoint: &str) {
        if let Some(known) = self.endpoint_mut(endpoint) {
            known.record_activity(now);
        }
    }

    /// Records that this entry has sent a call, which no load report includes yet.
    pub fn begin_call(&mut self, now: Instant, endpoint: &str, call: CallId, work: CallWork) {
        if let Some(known) = self.endpoint_mut(endpoint) {
            known.begin_call(now, call, work);
        }
    }

    /// Records how a call that this entry has sent ended.
    pub fn finish_call(
        &mut self,
        now: Instant,
        endpoint: &str,
        call: CallId,
        outcome: CallOutcome,
    ) {
        if let Some(known) = self.endpoint_mut(endpoint) {
            known.finish_call(now, call, outcome);
        }
    }

    /// Chooses an endpoint, or returns `None` if none is eligible. The call counts as started at
    /// the endpoint's circuit breaker.
    pub fn choose(
        &mut self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
        rng: &mut Rng,
    ) -> Option<Choice> {
        let candidates = self.candidates(now, requirements, rng);
        let chosen = self.pick(&candidates, rng)?;
        let endpoint = &mut self.endpoints[chosen.index];
        endpoint.breaker.allow(now);
        Some(Choice {
            endpoint: endpoint.name.clone(),
            expected_wait: Duration::from_secs_f64(chosen.wait_ms.max(0.0) / 1e3),
            expected_cached_tokens: chosen.cached_tokens,
        })
    }

    /// Returns whether an endpoint may get new calls now.
    pub fn is_usable(&self, now: Instant, endpoint: &str) -> bool {
        let index = self.by_name.get(endpoint);
        index.is_some_and(|index| self.endpoints[*index].is_usable(now, &self.cfg))
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn endpoint_mut(&mut self, endpoint: &str) -> Option<&mut Endpoint> {
        let index = self.by_name.get(endpoint)?;
        self.endpoints.get_mut(*index)
    }

    /// Rebuilds the lists of endpoints by model and service.
    fn rebuild_groups(&mut self) {
        self.groups.clear();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            for name in endpoint.served_names() {
                let group = self.groups.entry(name.to_owned()).or_default();
                group.push(index);
            }
        }
    }

    /// Returns the eligible endpoints with their costs: all cache holders, and all or a sample of
    /// the others.
    fn candidates(
        &self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
        rng: &mut Rng,
    ) -> Vec<Candidate> {
        let Some(group) = self.groups.get(requirements.target.name()) else {
            return Vec::new();
        };
        let averages = self.group_averages(now, group);
        let mut candidates =
            Vec::with_capacity(self.cfg.max_compared + requirements.cache_holders.len());
        let mut add_candidate = |index: usize, cached_tokens: u32| {
            let endpoint = &self.endpoints[index];
            if self.is_eligible(now, endpoint, requirements) {
                candidates.push(self.score(now, index, requirements, cached_tokens, &averages));
            }
        };
        for (endpoint, tokens) in requirements.cache_holders {
            if let Some(index) = self.by_name.get(endpoint) {
                add_candidate(*index, (*tokens).min(requirements.prompt_tokens));
            }
        }
        for index in sample(group, self.cfg.max_compared, rng) {
            if !self.is_cache_holder(index, requirements) {
                add_candidate(index, 0);
            }
        }
        candidates
    }

    /// Returns whether an endpoint is believed to cache the prompt.
    fn is_cache_holder(&self, index: usize, requirements: &EndpointRequirements<'_>) -> bool {
        let name = &self.endpoints[index].name;
        requirements
            .cache_holders
            .iter()
            .any(|(endpoint, _)| endpoint == name)
    }

    /// Returns whether an endpoint may get the call and is able to serve it.
    fn is_eligible(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        requirements: &EndpointRequirements<'_>,
    ) -> bool {
        self.obstacle(now, endpoint, requirements).is_none()
    }

    /// Averages the load reports of a group's usable endpoints.
    fn group_averages(&self, now: Instant, group: &[usize]) -> GroupAverages {
        let compared = &group[..group.len().min(self.cfg.max_compared)];
        let endpoints = compared.iter().map(|index| &self.endpoints[*index]);
        let usable = endpoints.filter(|e| e.is_usable(now, &self.cfg));
        GroupAverages::from_loads(usable.map(|endpoint| &endpoint.load))
    }

    /// Estimates the cost of a call at an endpoint.
    fn score(
        &self,
        now: Instant,
        index: usize,
        requirements: &EndpointRequirements<'_>,
        cached_tokens: u32,
        averages: &GroupAverages,
    ) -> Candidate {
        let endpoint = &self.endpoints[index];
        let wait_ms = endpoint.wait_ms(now, averages.wait_ms, self.cfg.load_half_life);
        let uncached_tokens = requirements.prompt_tokens - cached_tokens;
        let uncached_tokens = u64::from(uncached_tokens);
        let prefill_ms = endpoint.prefill_ms(uncached_tokens, averages);
        let contention_ms = endpoint.contention_ms(uncached_tokens, averages);
        let decode_ms = endpoint.decode_ms(requirements.answer_tokens, averages);
        let is_local = endpoint.info.failure_domain == requirements.local_domain;
        let domain_ms = if is_local {
            0.0
        } else {
            self.cfg.remote_domain_ms
        };
        let delay_ms = self.cfg.wait_weight * (wait_ms + contention_ms)
            + self.cfg.prefill_weight * prefill_ms
            + self.cfg.busy_weight * endpoint.utilization() * decode_ms
            + self.cfg.full_cache_ms * endpoint.cache_used();
        Candidate {
            index,
            cost_ms: delay_ms + decode_ms + domain_ms,
            delay_ms,
            wait_ms,
            cached_tokens,
        }
    }

    /// Picks two random candidates among those about as good as the best, and returns the better
    /// one.
    fn pick(&self, candidates: &[Candidate], rng: &mut Rng) -> Option<Candidate> {
        let best = candidates
            .iter()
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?;
        let margin_ms = self
            .cfg
            .tie_margin_ms
            .max(best.delay_ms * self.cfg.tie_margin_share);
        let limit = best.cost_ms + margin_ms;
        let tied = candidates.iter().filter(|c| c.cost_ms <= limit);
        let tied: Vec<_> = tied.collect();
        let first = tied[rng.usize(..tied.len())];
        let second = tied[rng.usize(..tied.len())];
        let better = if second.cost_ms < first.cost_ms {
            second
        } else {
            first
        };
        Some(*better)
    }
}

/// Returns all of a small group, or `max` consecutive members of a large one from a random start.
fn sample<'a>(group: &'a [usize], max: usize, rng: &mut Rng) -> impl Iterator<Item = usize> + 'a {
    let start = rng.usize(..group.len().max(1));
    let count = group.len().min(max);
    let rotated = group.iter().cycle().skip(start);
    rotated.take(count).copied()
}
