//! Endpoint selection of one entry under each policy.

use super::policy::{Component, Policy};
use crate::coordination::cache::{CacheTable, CacheTableConfig};
use crate::coordination::choice::{
    CallOutcome, CallWork, Chooser, EndpointInfo, EndpointRequirements, Target,
};
use crate::ids::{CallId, EndpointId, ProgramId};
use crate::protocol::engine::{CacheEvent, EngineUsage};
use crate::protocol::link::SidecarLoad;
use fastrand::Rng;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Time for which the baseline policies avoid an endpoint after a failure.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(5);

/// Call that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteRequest<'a> {
    /// Program of the call.
    pub(crate) program: ProgramId,
    /// Requested model or service.
    pub(crate) target: Target<'a>,
    /// Number of prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Expected number of answer tokens.
    pub(crate) answer_tokens: u32,
    /// Index of the endpoint that failed or refused the previous attempt.
    pub(crate) exclude: Option<usize>,
}

/// Endpoint selected for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    /// Index of the endpoint.
    pub(crate) endpoint: usize,
    /// Prompt tokens that the endpoint is expected to have cached.
    pub(crate) cached_tokens: u32,
}

/// State of one endpoint as the baseline policies know it.
#[derive(Clone, Copy, Debug)]
struct EndpointView {
    /// Running and queued calls in the last load report.
    reported_calls: u32,
    /// Calls sent since the last load report.
    unreported_calls: u32,
    excluded_until: Option<Instant>,
}

/// Selects endpoints for the calls of one entry.
pub(crate) struct Router {
    policy: Policy,
    names: Vec<EndpointId>,
    engines: Range<usize>,
    views: Vec<EndpointView>,
    next: usize,
    domain: &'static str,
    chooser: Chooser,
    cache: CacheTable,
    rng: Rng,
}

impl Router {
    /// Creates a router. Endpoints whose index is in `engines` are engines. All later ones are
    /// servers of the service.
    pub(crate) fn new(
        policy: Policy,
        endpoints: &[(EndpointId, EndpointInfo)],
        engines: Range<usize>,
        domain: &'static str,
        now: Instant,
        seed: u64,
    ) -> Self {
        let mut chooser = Chooser::new(policy.choice());
        for (name, info) in endpoints {
            chooser.upsert(now, name, info.clone());
        }
        let view = EndpointView {
            reported_calls: 0,
            unreported_calls: 0,
            excluded_until: None,
        };
        Self {
            policy,
            names: endpoints.iter().map(|(name, _)| name.clone()).collect(),
            engines,
            views: vec![view; endpoints.len()],
            next: seed as usize,
            domain,
            chooser,
            cache: CacheTable::new(CacheTableConfig::default(), now),
            rng: Rng::with_seed(seed),
        }
    }

    /// Selects an endpoint, or returns `None` if none is available.
    pub(crate) fn choose(&mut self, now: Instant, request: &RouteRequest<'_>) -> Option<Route> {
        if self.policy.is_galenapick() {
            return self.choose_by_cost(now, request);
        }
        let endpoint = self.choose_by_baseline(now, request)?;
        Some(Route {
            endpoint,
            cached_tokens: 0,
        })
    }

    /// Records a call that was sent to an endpoint.
    pub(crate) fn record_sent(
        &mut self,
        now: Instant,
        call: CallId,
        request: &RouteRequest<'_>,
        route: Route,
    ) {
        self.views[route.endpoint].unreported_calls += 1;
        if self.policy.is_galenapick() && self.policy.uses(Component::Correction) {
            let work = CallWork {
                uncached_tokens: request.prompt_tokens.saturating_sub(route.cached_tokens),
                answer_tokens: request.answer_tokens,
            };
            let name = &self.names[route.endpoint];
            self.chooser.begin_call(now, name, call, work);
        }
    }

    /// Records the outcome of a call.
    pub(crate) fn record_finished(
        &mut self,
        now: Instant,
        endpoint: usize,
        call: CallId,
        outcome: CallOutcome,
    ) {
        let view = &mut self.views[endpoint];
        if outcome == CallOutcome::Failed {
            view.excluded_until = Some(now + FAILURE_COOLDOWN);
        }
        if self.policy.is_galenapick() {
            let name = &self.names[endpoint];
            self.chooser.finish_call(now, name, call, outcome);
        }
    }

    /// Updates the cache estimates with the token counts of an answer.
    pub(crate) fn record_answer(
        &mut self,
        now: Instant,
        endpoint: usize,
        program: ProgramId,
        usage: EngineUsage,
    ) {
        if self.policy.uses(Component::CacheCost) {
            let name = &self.names[endpoint];
            self.cache.record_answer(
                now,
                name,
                program,
                usage.prompt_tokens,
                usage.cached_tokens,
                usage.completion_tokens,
            );
        }
    }

    /// Applies a load report.
    pub(crate) fn update_load(&mut self, now: Instant, endpoint: usize, load: &SidecarLoad) {
        let view = &mut self.views[endpoint];
        view.reported_calls = load.running + load.queued;
        view.unreported_calls = 0;
        if self.policy.is_galenapick() {
            let name = &self.names[endpoint];
            self.chooser.update_load(now, name, load);
        }
    }

    /// Records that an endpoint is responsive, for instance because it streamed a token.
    pub(crate) fn record_activity(&mut self, now: Instant, endpoint: usize) {
        if self.policy.is_galenapick() {
            self.chooser.record_activity(now, &self.names[endpoint]);
        }
    }

    /// Applies cache events of an endpoint.
    pub(crate) fn apply_cache_events(
        &mut self,
        now: Instant,
        endpoint: usize,
        events: &[CacheEvent],
    ) {
        if self.policy.uses(Component::Events) && self.policy.uses(Component::CacheCost) {
            for event in events {
                self.cache.apply_event(now, &self.names[endpoint], event);
            }
        }
    }

    /// Removes an ended program and returns the engines that hold its cache.
    pub(crate) fn remove_program(&mut self, program: ProgramId) -> Vec<usize> {
        let holders = self.cache.remove_program(program);
        let index = |name: &EndpointId| self.names.iter().position(|n| n == name);
        holders.iter().filter_map(index).collect()
    }

    fn choose_by_cost(&mut self, now: Instant, request: &RouteRequest<'_>) -> Option<Route> {
        let cache_holders = self.cache.holders(now, request.program);
        let exclude = request.exclude.map(|index| self.names[index].clone());
        let requirements = EndpointRequirements {
            target: request.target,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            cache_holders: &cache_holders,
            local_domain: self.domain,
            exclude: exclude.as_slice(),
        };
        let choice = self.chooser.choose(now, &requirements, &mut self.rng)?;
        let endpoint = self.names.iter().position(|n| *n == choice.endpoint)?;
        Some(Route {
            endpoint,
            cached_tokens: choice.expected_cached_tokens,
        })
    }

    fn choose_by_baseline(&mut self, now: Instant, request: &RouteRequest<'_>) -> Option<usize> {
        let all = match request.target {
            Target::Model { .. } => self.engines.clone(),
            Target::Service(_) => self.engines.end..self.names.len(),
        };
        let available = |index: &usize| {
            let until = self.views[*index].excluded_until;
            until.is_none_or(|until| until <= now) && request.exclude != Some(*index)
        };
        let available: Vec<usize> = all.filter(available).collect();
        if available.is_empty() {
            return None;
        }
        let is_model = matches!(request.target, Target::Model { .. });
        match self.policy {
            Policy::PrefixSticky if is_model => {
                let rank = |index: &usize| rendezvous_weight(request.program, *index);
                available.into_iter().max_by_key(rank)
            }
            Policy::LeastLoaded => {
                let start = self.rng.usize(..available.len());
                let rotated = available[start..].iter().chain(&available[..start]);
                let calls =
                    |i: &&usize| self.views[**i].reported_calls + self.views[**i].unreported_calls;
                rotated.min_by_key(calls).copied()
            }
            _ => {
                self.next += 1;
                Some(available[self.next % available.len()])
            }
        }
    }
}

/// Returns the rendezvous-hashing weight of an endpoint for a program.
fn rendezvous_weight(program: ProgramId, endpoint: usize) -> u64 {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&program.to_le_bytes());
    bytes[16..].copy_from_slice(&(endpoint as u64).to_le_bytes());
    let hash = blake3::hash(&bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
