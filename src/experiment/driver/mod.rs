//! Event loop in virtual time that simulates callers, entries, sidecars and engines.

mod calls;
mod engines;
mod event;
mod news;

use super::faults::ExperimentFault;
use super::mix::{Deployment, ProgramSpec};
use super::node::Node;
use super::policy::Policy;
use super::programs::{NextAction, Program};
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

/// One-way latency within a failure domain.
const SAME_DOMAIN_LATENCY: Duration = Duration::from_micros(200);

/// Configuration of one run.
#[derive(Clone, Debug)]
pub(crate) struct RunConfig {
    /// Scheduling policy.
    pub(crate) policy: Policy,
    /// Injected fault.
    pub(crate) fault: ExperimentFault,
    /// Seed of the programs and of all random decisions.
    pub(crate) seed: u64,
    /// Mean arrival rate, in programs per second.
    pub(crate) rate_per_s: f64,
    /// Time during which programs arrive.
    pub(crate) arrival_period: Duration,
    /// Programs that arrive before this time are left out of the statistics.
    pub(crate) warm_up: Duration,
}

/// Simulation of a deployment under a policy in virtual time.
pub(crate) struct Driver<'a> {
    cfg: RunConfig,
    deployment: &'a Deployment,
    start: Instant,
    now: Instant,
    schedule: Schedule,
    specs: Vec<ProgramSpec>,
    programs: BTreeMap<usize, Program>,
    /// Number of programs that have not started or not ended.
    unfinished_programs: usize,
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
    /// Samples the programs and creates the nodes of the deployment.
    pub(crate) fn new(cfg: RunConfig, deployment: &'a Deployment) -> Self {
        let start = Instant::now();
        let ledger = TokenLedger::default();
        let specs = deployment.sample_programs(cfg.seed, cfg.rate_per_s, cfg.arrival_period);
        let endpoints = describe_endpoints(deployment);
        let nodes = create_nodes(&cfg, deployment, &ledger, start);
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
            unfinished_programs: specs.len(),
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

    /// Runs until all programs have ended, and returns the statistics.
    pub(crate) fn run(mut self) -> Stats {
        self.schedule_initial_events();
        while self.unfinished_programs > 0 {
            let Some((at, event)) = self.schedule.next() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.collect_cache_counts();
        self.stats
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.specs.len() {
            let at = self.start + self.specs[index].arrival;
            self.schedule.add(at, Event::Arrive(index));
        }
        for entry in 0..self.entries.len() {
            for node in 0..self.nodes.len() {
                let at = self.start + news::PROBE_INTERVAL.mul_f64(self.rng.f64());
                self.schedule.add(at, Event::Probe { entry, node });
            }
        }
        let fault_at = self.start + self.cfg.arrival_period / 3;
        self.schedule.add(fault_at, Event::InjectFault);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Resume { program, branch } => self.advance(program, branch),
            Event::Submit(call) => self.submit(call),
            Event::Deliver(attempt) => self.deliver(attempt),
            Event::Step(node) => self.finish_step(node),
            Event::ServiceDone(attempt) => self.handle_service_done(attempt),
            Event::Answer {
                attempt,
                usage,
                load,
            } => self.handle_answer(attempt, usage, &load),
            Event::Failed(attempt) => self.handle_failure(attempt),
            Event::Refused { attempt, refusal } => self.handle_refusal(attempt, &refusal),
            Event::Probe { entry, node } => self.probe_endpoint(entry, node),
            Event::Observe {
                entry,
                node,
                load,
                events,
            } => self.observe_load(entry, node, &load, &events),
            Event::Release { node, program } => self.release_cache(node, program),
            Event::Deadline(program) => self.end_program(program, false),
            Event::InjectFault => self.inject_fault(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let program = Program::new(self.specs[index].clone(), self.now);
        self.schedule
            .add(program.deadline(), Event::Deadline(index));
        self.programs.insert(index, program);
        self.advance(index, 0);
    }

    /// Starts the next action of a branch.
    fn advance(&mut self, index: usize, branch: usize) {
        let Some(program) = self.programs.get_mut(&index) else {
            return;
        };
        match program.next_action(branch) {
            NextAction::Generate {
                messages,
                max_tokens,
            } => self.start_call(index, branch, Task::Generate(messages, max_tokens)),
            NextAction::Serve(time) => self.start_call(index, branch, Task::Serve(time)),
            NextAction::Pause(pause) => {
                let resume = Event::Resume {
                    program: index,
                    branch,
                };
                self.schedule.add(self.now + pause, resume);
            }
            NextAction::Agents(branches) => branches.for_each(|agent| self.advance(index, agent)),
            NextAction::Join => self.advance(index, 0),
            NextAction::Wait => (),
            NextAction::Done => self.end_program(index, true),
        }
    }

    /// Ends a program that has finished or missed its deadline.
    fn end_program(&mut self, index: usize, is_done: bool) {
        let Some(program) = self.programs.remove(&index) else {
            return;
        };
        self.unfinished_programs -= 1;
        for call in &program.calls {
            self.cancel(*call);
        }
        if program.spec.arrival >= self.cfg.warm_up {
            let elapsed = self.now - program.started_at;
            let latency = if is_done {
                elapsed
            } else {
                program.spec.time_limit
            };
            self.stats
                .record_program(program.spec.client_account, latency, is_done);
        }
        self.release_caches(program.spec.entry, program.spec.id);
    }

    /// Returns the one-way latency between an entry and an endpoint.
    fn latency(&self, entry: usize, node: usize) -> Duration {
        let entry = domain_of(self.deployment, entry);
        if entry == domain_of(self.deployment, node) {
            SAME_DOMAIN_LATENCY
        } else {
            self.deployment.latency
        }
    }
}

/// Work of a call.
#[derive(Clone)]
enum Task {
    /// Call the model with these messages and a maximum number of answer tokens.
    Generate(Vec<Message>, u32),
    /// Call the service, with this processing time.
    Serve(Duration),
}

/// Returns the failure domain of an entry or an endpoint.
fn domain_of(deployment: &Deployment, index: usize) -> &'static str {
    let domains = deployment.failure_domains;
    domains[index % domains.len()]
}

/// Returns the names and properties of the endpoints, engines first.
fn describe_endpoints(deployment: &Deployment) -> Vec<(EndpointId, EndpointInfo)> {
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

/// Creates the endpoints, engines first.
fn create_nodes(
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
