//! The choice of endpoints in one entry, under each policy.

use super::policy::{Part, Policy};
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

/// Time for which simple policies pass over an endpoint that failed.
const PASS_OVER: Duration = Duration::from_secs(5);

/// A call that wants an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask<'a> {
    /// The program.
    pub(crate) program: ProgramId,
    /// The model or service.
    pub(crate) target: Target<'a>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub(crate) answer_tokens: u32,
    /// The endpoint that has just failed or refused it.
    pub(crate) failed: Option<usize>,
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    /// Its index.
    pub(crate) endpoint: usize,
    /// Prompt tokens that it is believed to hold.
    pub(crate) cached_tokens: u32,
}

/// What a simple policy knows of one endpoint.
#[derive(Clone, Copy, Debug)]
struct View {
    /// Calls at the last report.
    reported: u32,
    /// Calls sent since.
    unseen: u32,
    passed_over_until: Option<Instant>,
}

/// The endpoints as one entry sees them.
pub(crate) struct Router {
    policy: Policy,
    names: Vec<EndpointId>,
    engines: Range<usize>,
    views: Vec<View>,
    next: usize,
    domain: &'static str,
    chooser: Chooser,
    cache: CacheTable,
    rng: Rng,
}

impl Router {
    /// Makes a router; the endpoints with an index in `engines` are engines.
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
        let view = View {
            reported: 0,
            unseen: 0,
            passed_over_until: None,
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

    /// Chooses an endpoint.
    pub(crate) fn choose(&mut self, now: Instant, ask: &Ask<'_>) -> Option<Route> {
        if self.policy.is_product() {
            return self.choose_by_cost(now, ask);
        }
        let endpoint = self.choose_simply(now, ask)?;
        Some(Route {
            endpoint,
            cached_tokens: 0,
        })
    }

    /// Notes a call that goes out.
    pub(crate) fn sent(&mut self, now: Instant, call: CallId, ask: &Ask<'_>, route: Route) {
        self.views[route.endpoint].unseen += 1;
        if self.policy.is_product() && self.policy.has(Part::Correction) {
            let sent = CallWork {
                uncached_tokens: ask.prompt_tokens.saturating_sub(route.cached_tokens),
                answer_tokens: ask.answer_tokens,
            };
            let name = &self.names[route.endpoint];
            self.chooser.begin_call(now, name, call, sent);
        }
    }

    /// Notes how a call ended.
    pub(crate) fn finished(
        &mut self,
        now: Instant,
        endpoint: usize,
        call: CallId,
        end: CallOutcome,
    ) {
        let view = &mut self.views[endpoint];
        if end == CallOutcome::Failed {
            view.passed_over_until = Some(now + PASS_OVER);
        }
        if self.policy.is_product() {
            let name = &self.names[endpoint];
            self.chooser.finish_call(now, name, call, end);
        }
    }

    /// Takes the token counts of an answer.
    pub(crate) fn answered(
        &mut self,
        now: Instant,
        endpoint: usize,
        program: ProgramId,
        usage: EngineUsage,
    ) {
        if self.policy.has(Part::CacheCost) {
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

    /// Takes a load report.
    pub(crate) fn observe(&mut self, now: Instant, endpoint: usize, load: &SidecarLoad) {
        let view = &mut self.views[endpoint];
        view.reported = load.running + load.queued;
        view.unseen = 0;
        if self.policy.is_product() {
            let name = &self.names[endpoint];
            self.chooser.update_load(now, name, load);
        }
    }

    /// Notes a sign of life, such as tokens of a stream.
    pub(crate) fn heard(&mut self, now: Instant, endpoint: usize) {
        if self.policy.is_product() {
            self.chooser.record_activity(now, &self.names[endpoint]);
        }
    }

    /// Takes cache events.
    pub(crate) fn events(&mut self, now: Instant, endpoint: usize, events: &[CacheEvent]) {
        if self.policy.has(Part::Events) && self.policy.has(Part::CacheCost) {
            for event in events {
                self.cache.apply_event(now, &self.names[endpoint], event);
            }
        }
    }

    /// Forgets a program that is over and returns the engines to be told.
    pub(crate) fn end(&mut self, program: ProgramId) -> Vec<usize> {
        let holders = self.cache.remove_program(program);
        let index = |name: &EndpointId| self.names.iter().position(|n| n == name);
        holders.iter().filter_map(index).collect()
    }

    fn choose_by_cost(&mut self, now: Instant, ask: &Ask<'_>) -> Option<Route> {
        let cached = self.cache.holders(now, ask.program);
        let exclude = ask.failed.map(|index| self.names[index].clone());
        let want = EndpointRequirements {
            target: ask.target,
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            cache_holders: &cached,
            local_domain: self.domain,
            exclude: exclude.as_slice(),
        };
        let choice = self.chooser.choose(now, &want, &mut self.rng)?;
        let endpoint = self.names.iter().position(|n| *n == choice.endpoint)?;
        Some(Route {
            endpoint,
            cached_tokens: choice.expected_cached_tokens,
        })
    }

    fn choose_simply(&mut self, now: Instant, ask: &Ask<'_>) -> Option<usize> {
        let all = match ask.target {
            Target::Model { .. } => self.engines.clone(),
            Target::Service(_) => self.engines.end..self.names.len(),
        };
        let usable = |index: &usize| {
            let until = self.views[*index].passed_over_until;
            until.is_none_or(|until| until <= now) && ask.failed != Some(*index)
        };
        let usable: Vec<usize> = all.filter(usable).collect();
        if usable.is_empty() {
            return None;
        }
        let is_model = matches!(ask.target, Target::Model { .. });
        match self.policy {
            Policy::PrefixSticky if is_model => {
                let rank = |index: &usize| rendezvous(ask.program, *index);
                usable.into_iter().max_by_key(rank)
            }
            Policy::LeastLoaded => {
                let start = self.rng.usize(..usable.len());
                let rotated = usable[start..].iter().chain(&usable[..start]);
                let calls = |i: &&usize| self.views[**i].reported + self.views[**i].unseen;
                rotated.min_by_key(calls).copied()
            }
            _ => {
                self.next += 1;
                Some(usable[self.next % usable.len()])
            }
        }
    }
}

/// Weight of an endpoint for a program.
fn rendezvous(program: ProgramId, endpoint: usize) -> u64 {
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&program.to_le_bytes());
    bytes[16..].copy_from_slice(&(endpoint as u64).to_le_bytes());
    let hash = blake3::hash(&bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
