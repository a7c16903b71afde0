//! Life cycle of a call: submission, delivery, answer, failure and refusal.

use super::event::{Attempt, Event};
use super::{Driver, Task};
use crate::coordination::admission::Cost;
use crate::coordination::choice::{CallOutcome, Target};
use crate::coordination::retry::FailedCall;
use crate::experiment::mix::mean_answer_tokens;
use crate::experiment::node::{IncomingCall, QueuedCall, Work};
use crate::experiment::policy::Component;
use crate::experiment::router::{Route, RouteRequest};
use crate::ids::CallId;
use crate::protocol::engine::{EngineUsage, GenerateRequest};
use crate::protocol::link::{Priority, SidecarLoad};
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::standin::prompt_tokens;
use std::time::{Duration, Instant};

/// Delay after which a caller repeats a call for which no endpoint was available or no retry was
/// allowed.
const CALLER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay after which the baseline policies retry a failed call.
const BASELINE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of deadline refusals of a call after which its program is abandoned.
const MAX_DEADLINE_REFUSALS: u32 = 3;

/// Call in flight.
pub(super) struct Call {
    pub(super) program: usize,
    pub(super) branch: usize,
    pub(super) entry: usize,
    task: Task,
    prompt_tokens: u32,
    pub(super) submitted_at: Instant,
    /// Number of times that the call was sent to an endpoint.
    attempts: u32,
    deadline_refusals: u32,
    /// Attempt in flight; `None` while the call waits for an endpoint.
    pub(super) current_attempt: Option<Attempt>,
    /// Endpoint that failed or refused the last attempt.
    last_failed: Option<usize>,
    cached_tokens: u32,
    pub(super) dispatched_at: Instant,
    pub(super) first_token_at: Option<Instant>,
    pub(super) last_token_at: Instant,
    pub(super) generated_tokens: u32,
}

impl Call {
    fn answer_tokens(&self) -> u32 {
        match &self.task {
            Task::Generate(_, max_tokens) => mean_answer_tokens(*max_tokens) as u32,
            Task::Serve(_) => 0,
        }
    }
}

impl Driver<'_> {
    /// Starts a call of a branch.
    pub(super) fn start_call(&mut self, program: usize, branch: usize, task: Task) {
        let Some(state) = self.programs.get_mut(&program) else {
            return;
        };
        self.next_call += 1;
        let id = self.next_call;
        state.calls.insert(id);
        let tokens = match &task {
            Task::Generate(messages, _) => prompt_tokens(messages),
            Task::Serve(_) => 0,
        };
        let call = Call {
            program,
            branch,
            entry: state.spec.entry,
            task,
            prompt_tokens: tokens,
            submitted_at: self.now,
            attempts: 0,
            deadline_refusals: 0,
            current_attempt: None,
            last_failed: None,
            cached_tokens: 0,
            dispatched_at: self.now,
            first_token_at: None,
            last_token_at: self.now,
            generated_tokens: 0,
        };
        self.calls.insert(id, call);
        self.stats.calls += 1;
        self.submit(id);
    }

    /// Selects an endpoint and sends the call to it. If none is available, schedules another
    /// submission.
    pub(super) fn submit(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(program) = self.programs.get(&call.program) else {
            return;
        };
        let request = RouteRequest {
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
            exclude: call.last_failed,
        };
        let router = &mut self.entries[call.entry];
        let Some(route) = router.choose(self.now, &request) else {
            call.last_failed = None;
            self.schedule
                .add(self.now + CALLER_RETRY_DELAY, Event::Submit(id));
            return;
        };
        router.record_sent(self.now, id, &request, route);
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
        call.current_attempt = Some(attempt);
        let entry = call.entry;
        if call.attempts == 1 {
            let endpoint = &self.names[route.endpoint];
            self.retries[entry].record_first_attempt(self.now, client_account, endpoint);
        }
        self.stats.sent += 1;
        let at = self.now + self.latency(entry, route.endpoint);
        self.schedule.add(at, Event::Deliver(attempt));
    }

    /// Delivers a call to the sidecar of its endpoint.
    pub(super) fn deliver(&mut self, attempt: Attempt) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let reply_at = self.now + self.latency(entry, attempt.node);
        if !self.nodes[attempt.node].is_alive {
            self.schedule.add(reply_at, Event::Failed(attempt));
            return;
        }
        let Some(incoming) = self.incoming_call(attempt) else {
            return;
        };
        match self.nodes[attempt.node].push(self.now, incoming) {
            Ok(()) => self.dispatch_queued(attempt.node),
            Err(refusal) => self
                .schedule
                .add(reply_at, Event::Refused { attempt, refusal }),
        }
    }

    /// Builds the call that the sidecar receives; `None` if the call or its program has ended.
    fn incoming_call(&self, attempt: Attempt) -> Option<IncomingCall> {
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
        Some(IncomingCall {
            queued: QueuedCall { attempt, work },
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

    /// Handles a complete answer and advances the branch.
    pub(super) fn handle_answer(
        &mut self,
        attempt: Attempt,
        usage: EngineUsage,
        load: &SidecarLoad,
    ) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let router = &mut self.entries[entry];
        router.record_finished(self.now, attempt.node, attempt.call, CallOutcome::Answered);
        self.observe_load(entry, attempt.node, load, &[]);
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
            program.append_answer(call.branch, max_tokens);
            let id = program.spec.id;
            let router = &mut self.entries[entry];
            router.record_answer(self.now, attempt.node, id, usage);
        }
        self.advance(call.program, call.branch);
    }

    /// Handles a failed attempt.
    pub(super) fn handle_failure(&mut self, attempt: Attempt) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        let router = &mut self.entries[entry];
        router.record_finished(self.now, attempt.node, attempt.call, CallOutcome::Failed);
        let delay = self.retry_delay(attempt);
        self.schedule_retry(attempt, delay);
    }

    /// Handles the refusal of a sidecar. Repeated deadline refusals end the program.
    pub(super) fn handle_refusal(&mut self, attempt: Attempt, refusal: &Refusal) {
        let Some(entry) = self.entry_of(attempt) else {
            return;
        };
        self.stats.refused += 1;
        let router = &mut self.entries[entry];
        router.record_finished(self.now, attempt.node, attempt.call, CallOutcome::Cancelled);
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        if refusal.code == RefusalCode::Deadline {
            call.deadline_refusals += 1;
            if call.deadline_refusals >= MAX_DEADLINE_REFUSALS {
                let program = call.program;
                self.end_program(program, false);
                return;
            }
        }
        let delay_ms = refusal.retry_after_ms.unwrap_or_default();
        self.schedule_retry(attempt, Duration::from_millis(delay_ms));
    }

    /// Schedules another attempt after a delay. It avoids the endpoint of the last attempt.
    fn schedule_retry(&mut self, attempt: Attempt, delay: Duration) {
        let Some(call) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        call.current_attempt = None;
        call.last_failed = Some(attempt.node);
        call.generated_tokens = 0;
        let submit = Event::Submit(attempt.call);
        self.schedule.add(self.now + delay, submit);
    }

    /// Returns the delay before a failed call is retried. If the retry budget is exhausted, this is
    /// the delay of the caller.
    fn retry_delay(&mut self, attempt: Attempt) -> Duration {
        if !self.cfg.policy.is_galenapick() {
            return BASELINE_RETRY_DELAY;
        }
        let Some(call) = self.calls.get(&attempt.call) else {
            return CALLER_RETRY_DELAY;
        };
        let Some(program) = self.programs.get(&call.program) else {
            return CALLER_RETRY_DELAY;
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
        let delay = retries.next_backoff(self.now, &failed, &mut self.rng);
        delay.unwrap_or(CALLER_RETRY_DELAY)
    }

    /// Cancels a call of an ended program.
    pub(super) fn cancel(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if let Some(attempt) = call.current_attempt {
            let router = &mut self.entries[call.entry];
            router.record_finished(self.now, attempt.node, id, CallOutcome::Cancelled);
            self.nodes[attempt.node].cancel(self.now, id);
            self.dispatch_queued(attempt.node);
        }
    }

    /// Returns the entry of an attempt, or `None` if a later attempt replaced it or the call ended.
    pub(super) fn entry_of(&self, attempt: Attempt) -> Option<usize> {
        let call = self.calls.get(&attempt.call)?;
        (call.current_attempt == Some(attempt)).then_some(call.entry)
    }

    /// Returns whether the policy releases the caches of ended programs.
    pub(super) fn sends_releases(&self) -> bool {
        self.cfg.policy.uses(Component::Release)
    }
}
