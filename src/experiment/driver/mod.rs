//! The event loop in virtual time: callers, entries, sidecars and engines.

mod calls;
mod engines;
mod event;
mod news;

use super::faults::ExperimentFault;
use super::mix::{Deployment, ProgramSpec};
use super::node::Node;
use super::policy::Policy;
use super::programs::{Next, Program};
use super::router::Router;
use super::stats::Stats;
use crate::coordination::choice::{EndpointInfo, EndpointKind};
use crate::coordination::retry::{RetryConfig, RetryPolicy};
use crate::ids::{CallId, EndpointId};
use crate::protocol::message::Message;
use crate::standin::engine::batch::Batch;
use crate::standin::{EngineConfig, TokenLedger};
use calls::Call;
pub(crate) use event::Attempt;
use event::{Event, Schedule};
use fastrand::Rng;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Latency within a failure domain.
const NEAR: Duration = Duration::from_micros(200);

/// One run.
#[derive(Clone, Debug)]
pub(crate) struct RunConfig {
    /// The policy.
    pub(crate) policy: Policy,
    /// The fault.
    pub(crate) fault: ExperimentFault,
    /// Seed of the programs and of all choices.
    pub(crate) seed: u64,
    /// Programs a second.
    pub(crate) rate_per_s: f64,
    /// Time in which programs arrive.
    pub(crate) lasts: Duration,
    /// Programs that arrive before are not counted.
    pub(crate) warm_up: Duration,
}

/// A deployment under a policy, in virtual time.
pub(crate) struct Driver<'a> {
    cfg: RunConfig,
    deployment: &'a Deployment,
    start: Instant,
    now: Instant,
    schedule: Schedule,
    specs: Vec<ProgramSpec>,
    programs: BTreeMap<usize, Program>,
    /// Programs that have not begun or are not over.
    open_programs: usize,
    calls: HashMap<CallId, Call>,
    next_call: CallId,
    nodes: Vec<Node>,
    names: Vec<EndpointId>,
    entries: Vec<Router>,
    retries: Vec<RetryPolicy>,
    ledger: TokenLedger,
    rng: Rng,
    stats: Stats,
}

impl<'a> Driver<'a> {
    /// Draws the programs and sets the deployment up.
    pub(crate) fn new(cfg: RunConfig, deployment: &'a Deployment) -> Self {
        let start = Instant::now();
        let ledger = TokenLedger::default();
        let specs = deployment.draw(cfg.seed, cfg.rate_per_s, cfg.lasts);
        let endpoints = endpoints(deployment);
        let nodes = nodes(&cfg, deployment, &ledger, start);
        let router = |entry: usize| {
            let domain = domain_of(deployment, entry);
            let seed = cfg.seed * 1_000 + entry as u64;
            let engines = 0..deployment.engines;
            Router::new(cfg.policy, &endpoints, engines, domain, start, seed)
        };
        let entries = (0..deployment.entries).map(router).collect();
        let retries = || RetryPolicy::new(RetryConfig::default());
        Self {
            start,
            now: start,
            schedule: Schedule::default(),
            open_programs: specs.len(),
            specs,
            programs: BTreeMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            nodes,
            names: endpoints.into_iter().map(|(name, _)| name).collect(),
            entries,
            retries: (0..deployment.entries).map(|_| retries()).collect(),
            ledger,
            rng: Rng::with_seed(cfg.seed ^ 0x5eed),
            stats: Stats::new(),
            cfg,
            deployment,
        }
    }

    /// Runs until every program is over.
    pub(crate) fn run(mut self) -> Stats {
        self.schedule_start();
        while self.open_programs > 0 {
            let Some((at, event)) = self.schedule.next() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.count_caches();
        self.stats
    }

    fn schedule_start(&mut self) {
        for index in 0..self.specs.len() {
            let at = self.start + self.specs[index].arrives;
            self.schedule.add(at, Event::Arrive(index));
        }
        for entry in 0..self.entries.len() {
            for node in 0..self.nodes.len() {
                let at = self.start + news::PROBE_EVERY.mul_f64(self.rng.f64());
                self.schedule.add(at, Event::Probe { entry, node });
            }
        }
        let strike = self.start + self.cfg.lasts / 3;
        self.schedule.add(strike, Event::Strike);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Resume { program, branch } => self.advance(program, branch),
            Event::Submit(call) => self.submit(call),
            Event::Deliver(attempt) => self.deliver(attempt),
            Event::Step(node) => self.step(node),
            Event::Served(attempt) => self.served(attempt),
            Event::Answer {
                attempt,
                usage,
                load,
            } => self.answer(attempt, usage, &load),
            Event::Failed(attempt) => self.failed(attempt),
            Event::Refused { attempt, refusal } => self.refused(attempt, &refusal),
            Event::Probe { entry, node } => self.probe(entry, node),
            Event::Observe {
                entry,
                node,
                load,
                events,
            } => self.observe(entry, node, &load, &events),
            Event::Release { node, program } => self.release(node, program),
            Event::Lapse(program) => self.end(program, false),
            Event::Strike => self.strike(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let program = Program::new(self.specs[index].clone(), self.now);
        self.schedule.add(program.deadline(), Event::Lapse(index));
        self.programs.insert(index, program);
        self.advance(index, 0);
    }

    /// Starts what a branch does next.
    fn advance(&mut self, index: usize, branch: usize) {
        let Some(program) = self.programs.get_mut(&index) else {
            return;
        };
        match program.next(branch) {
            Next::Generate {
                messages,
                max_tokens,
            } => self.call(index, branch, Task::Generate(messages, max_tokens)),
            Next::Serve(time) => self.call(index, branch, Task::Serve(time)),
            Next::Pause(pause) => {
                let resume = Event::Resume {
                    program: index,
                    branch,
                };
                self.schedule.add(self.now + pause, resume);
            }
            Next::Agents(branches) => branches.for_each(|agent| self.advance(index, agent)),
            Next::Join => self.advance(index, 0),
            Next::Wait => (),
            Next::Done => self.end(index, true),
        }
    }

    /// Ends a program, done or not.
    fn end(&mut self, index: usize, done: bool) {
        let Some(program) = self.programs.remove(&index) else {
            return;
        };
        self.open_programs -= 1;
        for call in &program.calls {
            self.cancel(*call);
        }
        if program.spec.arrives >= self.cfg.warm_up {
            let took = self.now - program.began;
            let latency = if done { took } else { program.spec.patience };
            self.stats
                .program(program.spec.client_account, latency, done);
        }
        self.release_caches(program.spec.entry, program.spec.id);
    }

    /// Returns the latency between an entry and an endpoint.
    fn latency(&self, entry: usize, node: usize) -> Duration {
        let entry = domain_of(self.deployment, entry);
        if entry == domain_of(self.deployment, node) {
            NEAR
        } else {
            self.deployment.latency
        }
    }
}

/// What a call does.
#[derive(Clone)]
enum Task {
    /// Asks the model with these messages for at most so many tokens.
    Generate(Vec<Message>, u32),
    /// Calls the service, which takes so long.
    Serve(Duration),
}

/// Returns the failure domain of an entry or an endpoint.
fn domain_of(deployment: &Deployment, index: usize) -> &'static str {
    let domains = deployment.failure_domains;
    domains[index % domains.len()]
}

/// Names and describes the endpoints, engines first.
fn endpoints(deployment: &Deployment) -> Vec<(EndpointId, EndpointInfo)> {
    let count = deployment.engines + deployment.services;
    let endpoint = |index: usize| {
        let is_engine = index < deployment.engines;
        let info = if is_engine {
            EndpointInfo {
                kind: EndpointKind::Engine,
                models: vec![(deployment.model.to_owned(), 1)],
                failure_domain: domain_of(deployment, index).to_owned(),
            }
        } else {
            EndpointInfo {
                kind: EndpointKind::Service(deployment.service.to_owned()),
                models: Vec::new(),
                failure_domain: domain_of(deployment, index).to_owned(),
            }
        };
        (format!("endpoint-{index}"), info)
    };
    (0..count).map(endpoint).collect()
}

/// Makes the endpoints, engines first.
fn nodes(
    cfg: &RunConfig,
    deployment: &Deployment,
    ledger: &TokenLedger,
    now: Instant,
) -> Vec<Node> {
    let engine = |index: usize| EngineConfig {
        cache_tokens: deployment.cache_tokens,
        finished_retention: Duration::ZERO,
        event_loss: match cfg.fault {
            ExperimentFault::LostEvents => 1.0,
            _ => EngineConfig::default().event_loss,
        },
        seed: cfg.seed * 100 + index as u64,
        ..EngineConfig::default()
    };
    let engines = (0..deployment.engines).map(|index| {
        let batch = Batch::new(engine(index), ledger.clone(), now);
        Node::new(cfg.policy, Some(batch))
    });
    let services = (0..deployment.services).map(|_| Node::new(cfg.policy, None));
    engines.chain(services).collect()
}
