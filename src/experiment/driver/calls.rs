//! The way of a call: submitted, delivered, answered, failed, refused.

use super::event::{Attempt, Event};
use super::{Driver, Task};
use crate::coordination::admission::Cost;
use crate::coordination::choice::{CallOutcome, Target};
use crate::coordination::retry::FailedCall;
use crate::experiment::mix::answer_mean;
use crate::experiment::node::{Arrived, Offer, Work};
use crate::experiment::policy::Part;
use crate::experiment::router::{Ask, Route};
use crate::ids::CallId;
use crate::protocol::engine::{EngineUsage, GenerateRequest};
use crate::protocol::link::{Priority, SidecarLoad};
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::standin::prompt_tokens;
use std::time::{Duration, Instant};

/// Time after which a caller sends a call again that got no endpoint.
const CALLER_WAIT: Duration = Duration::from_secs(1);

/// Time after which simple policies send a failed call again.
const SIMPLE_WAIT: Duration = Duration::from_millis(50);

/// Refusals for the deadline after which a program is given up.
const DEADLINE_REFUSALS: u32 = 3;

/// A call under way.
pub(super) struct Call {
    pub(super) program: usize,
    pub(super) branch: usize,
    pub(super) entry: usize,
    task: Task,
    prompt_tokens: u32,
    pub(super) submitted: Instant,
    /// Times that it was sent to an endpoint.
    attempts: u32,
    deadline_refusals: u32,
    /// Where it is now.
    pub(super) sent: Option<Attempt>,
    /// The endpoint that failed or refused it last.
    failed: Option<usize>,
    cached_tokens: u32,
    pub(super) handed_over: Instant,
    pub(super) first_token: Option<Instant>,
    pub(super) last_token: Instant,
    pub(super) generated: u32,
}

impl Call {
    fn answer_tokens(&self) -> u32 {
        match &self.task {
            Task::Generate(_, max_tokens) => answer_mean(*max_tokens) as u32,
            Task::Serve(_) => 0,
        }
    }
}

impl Driver<'_> {
    /// Makes a call of a branch.
    pub(super) fn call(&mut self, program: usize, branch: usize, task: Task) {
        let Some(owner) = self.programs.get_mut(&program) else {
            return;
        };
        self.next_call += 1;
        let id = self.next_call;
        owner.calls.insert(id);
        let tokens = match &task {
            Task::Generate(messages, _) => prompt_tokens(messages),
            Task::Serve(_) => 0,
        };
        let call = Call {
            program,
            branch,
            entry: owner.spec.entry,
            task,
            prompt_tokens: tokens,
            submitted: self.now,
            attempts: 0,
            deadline_refusals: 0,
            sent: None,
            failed: None,
            cached_tokens: 0,
            handed_over: self.now,
            first_token: None,
            last_token: self.now,
            generated: 0,
        };
        self.calls.insert(id, call);
        self.stats.calls += 1;
        self.submit(id);
    }

    /// Looks for an endpoint and sends the call there.
    pub(super) fn submit(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(program) = self.programs.get(&call.program) else {
            return;
        };
        let ask = Ask {
            program: program.spec.id,
            target: match call.task {
                Task::Generate(..) => Target::Model {
                    model: self.deployment.model,
                    version: 1,
                },
                Task::Serve(_) => Target::Service(self.deployment.service),
            },
            prompt_tokens: call.prompt_tokens,
            answer_tokens: call.answer_tokens(),
            failed: call.failed,
        };
        let router = &mut self.entries[call.entry];
        let Some(route) = router.choose(self.now, &ask) else {
            call.failed = None;
            self.schedule.add(self.now + CALLER_WAIT, Event::Submit(id));
            return;
        };
        router.sent(self.now, id, &ask, route);
        let client_account = program.spec.client_account;
        self.send(id, route, client_account);
    }

    fn send(&mut self, id: CallId, route: Route, client_account: &str) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.attempts += 1;
        call.cached_tokens = route.cached_tokens;
        let attempt = Attempt {
            call: id,
            number: call.attempts,
            node: route.endpoint,
        };
        call.sent = Some(attempt);
        let entry = call.entry;
        if call.attempts == 1 {
            let endpoint = &self.names[route.endpoint];
            self.retries[entry].record_first_attempt(self.now, client_account, endpoint);
        }
        self.stats.sent += 1;
        let at = self.now + self.latency(entry, route.endpoint);
        self.schedule.add(at, Event::Deliver(attempt));
    }

    /// Brings a call to a sidecar.
    pub(super) fn deliver(&mut self, attempt: Attempt) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let back = self.now + self.latency(entry, attempt.node);
        if !self.nodes[attempt.node].alive {
            self.schedule.add(back, Event::Failed(attempt));
            return;
        }
        let Some(offer) = self.offer(attempt) else {
            return;
        };
        match self.nodes[attempt.node].push(self.now, offer) {
            Ok(()) => self.pump(attempt.node),
            Err(refusal) => self.schedule.add(back, Event::Refused { attempt, refusal }),
        }
    }

    /// Makes what the sidecar gets.
    fn offer(&self, attempt: Attempt) -> Option<Offer> {
        let call = self.calls.get(&attempt.call)?;
        let program = self.programs.get(&call.program)?;
        let spec = &program.spec;
        let slack = program.deadline().saturating_duration_since(self.now);
        let work = match &call.task {
            Task::Generate(messages, max_tokens) => Work::Generate(Box::new(GenerateRequest {
                call: attempt.call,
                program: spec.id,
                model: self.deployment.model.to_owned(),
                messages: messages.clone(),
                max_tokens: *max_tokens,
            })),
            Task::Serve(time) => Work::Serve(*time),
        };
        Some(Offer {
            arrived: Arrived { attempt, work },
            program: spec.id,
            priority: Priority {
                environment: if spec.production {
                    "production"
                } else {
                    "trial"
                }
                .into(),
                production: spec.production,
                client_account: spec.client_account.into(),
                share: 1.0,
                attained_tokens: program.attained_tokens,
                slack_ms: slack.as_millis() as u64,
            },
            cost: Cost {
                uncached_tokens: call.prompt_tokens - call.cached_tokens,
                max_tokens: call.answer_tokens(),
            },
        })
    }

    /// Takes a whole answer.
    pub(super) fn answer(&mut self, attempt: Attempt, usage: EngineUsage, load: &SidecarLoad) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let router = &mut self.entries[entry];
        router.finished(self.now, attempt.node, attempt.call, CallOutcome::Answered);
        self.observe(entry, attempt.node, load, &[]);
        let Some(call) = self.calls.remove(&attempt.call) else {
            return;
        };
        let Some(program) = self.programs.get_mut(&call.program) else {
            return;
        };
        program.calls.remove(&attempt.call);
        let uncached = usage.prompt_tokens - usage.cached_tokens;
        program.attained_tokens += u64::from(uncached + usage.completion_tokens);
        if let Task::Generate(_, max_tokens) = call.task {
            program.answered(call.branch, max_tokens);
            let id = program.spec.id;
            let router = &mut self.entries[entry];
            router.answered(self.now, attempt.node, id, usage);
        }
        self.advance(call.program, call.branch);
    }

    /// Learns that a call has failed.
    pub(super) fn failed(&mut self, attempt: Attempt) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let router = &mut self.entries[entry];
        router.finished(self.now, attempt.node, attempt.call, CallOutcome::Failed);
        let wait = self.retry_wait(attempt);
        self.again(attempt, wait);
    }

    /// Learns that a sidecar has refused a call.
    pub(super) fn refused(&mut self, attempt: Attempt, refusal: &Refusal) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        self.stats.refused += 1;
        let router = &mut self.entries[entry];
        router.finished(self.now, attempt.node, attempt.call, CallOutcome::Cancelled);
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        if refusal.code == RefusalCode::Deadline {
            call.deadline_refusals += 1;
            if call.deadline_refusals >= DEADLINE_REFUSALS {
                let program = call.program;
                self.end(program, false);
                return;
            }
        }
        let wait_ms = refusal.retry_after_ms.unwrap_or_default();
        self.again(attempt, Duration::from_millis(wait_ms));
    }

    /// Sends a call again after a while.
    fn again(&mut self, attempt: Attempt, wait: Duration) {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        call.sent = None;
        call.failed = Some(attempt.node);
        call.generated = 0;
        let submit = Event::Submit(attempt.call);
        self.schedule.add(self.now + wait, submit);
    }

    /// Returns the back-off of a failed call; without a budget its caller comes back later.
    fn retry_wait(&mut self, attempt: Attempt) -> Duration {
        if !self.cfg.policy.is_product() {
            return SIMPLE_WAIT;
        }
        let Some(call) = self.calls.get(&attempt.call) else {
            return CALLER_WAIT;
        };
        let Some(program) = self.programs.get(&call.program) else {
            return CALLER_WAIT;
        };
        let failed = FailedCall {
            client_account: program.spec.client_account,
            endpoint: &self.names[attempt.node],
            repeatable: true,
            ran: Ran::Unknown,
            attempts: call.attempts,
            deadline: program.deadline(),
            expected_run: Duration::ZERO,
        };
        let retries = &mut self.retries[call.entry];
        let wait = retries.next_backoff(self.now, &failed, &mut self.rng);
        wait.unwrap_or(CALLER_WAIT)
    }

    /// Withdraws a call of a program that is over.
    pub(super) fn cancel(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(sent) = call.sent {
            let router = &mut self.entries[call.entry];
            router.finished(self.now, sent.node, id, CallOutcome::Cancelled);
            self.nodes[sent.node].cancel(self.now, id);
            self.pump(sent.node);
        }
    }

    /// Returns the entry of an attempt if it is still the call's latest.
    pub(super) fn entry_of(&self, attempt: Attempt) -> Option<usize> {
        let call = self.calls.get(&attempt.call)?;
        (call.sent == Some(attempt)).then_some(call.entry)
    }

    /// Tells whether releases are sent at all.
    pub(super) fn releases(&self) -> bool {
        self.cfg.policy.has(Part::Release)
    }
}
