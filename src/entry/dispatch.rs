//! Sending a call to an endpoint, and to another one where the first fails.

use crate::coordination::choice::{Choice, Sent, SentEnd, Target, Want};
use crate::coordination::retry::FailedCall;
use crate::entry::{Entry, lock};
use crate::ids::{CallId, EndpointId, ProgramId};
use crate::protocol::link::{
    ActionReply, Event, Generate, Generated, Invoke, Messages, Reply, Request, SidecarLoad, Tokens,
};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::transport::link::{Exchange, Inbound, LinkError};
use crate::transport::replay::{Replay, Run};
use smallvec::SmallVec;
use smol::Timer;
use std::time::{Duration, Instant};

/// When to come back if no endpoint can take a call, in milliseconds.
const NO_ENDPOINT_RETRY_MS: u64 = 500;

/// How often a broken link to the same endpoint is opened again for one call.
const REOPENS_MAX: u32 = 2;

/// Pause before a broken link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// A call on its way to an endpoint.
pub(super) struct Dispatch<'a> {
    /// The call.
    pub(super) call: CallId,
    /// Its program.
    pub(super) program: ProgramId,
    /// The client account, for the retry budget.
    pub(super) client_account: &'a str,
    /// When its time is up.
    pub(super) deadline: Instant,
    /// What it needs.
    pub(super) target: Target<'a>,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub(super) answer_tokens: u32,
    /// Whether it may run twice.
    pub(super) repeatable: bool,
    /// Where a run of it may be under way already.
    pub(super) seen_at: Option<EndpointId>,
    /// Endpoints that have failed it.
    pub(super) failed: SmallVec<[EndpointId; 4]>,
}

/// A generation with the endpoint that ran it.
pub(super) struct FinishedGeneration {
    /// The endpoint.
    pub(super) endpoint: EndpointId,
    /// What it says.
    pub(super) generated: Generated,
}

impl<L: Log> Entry<L> {
    /// Chooses an endpoint for a call.
    pub(super) fn choose(&self, dispatch: &Dispatch<'_>) -> Result<Choice, Refusal> {
        let now = Instant::now();
        if let Some(seen) = self.choose_seen(dispatch, now) {
            return Ok(seen);
        }
        let cached = lock(&self.0.cache).cached(now, dispatch.program);
        let want = Want {
            target: dispatch.target,
            prompt_tokens: dispatch.prompt_tokens,
            answer_tokens: dispatch.answer_tokens,
            cached: &cached,
            near: &self.0.config.failure_domain,
            exclude: &dispatch.failed,
        };
        let mut rng = fastrand::Rng::new();
        let choice = lock(&self.0.chooser).choose(now, &want, &mut rng);
        choice.ok_or_else(|| {
            let message = "No endpoint can take the call now.";
            Refusal::not_run(RefusalCode::NoEndpoint, message).retry_after_ms(NO_ENDPOINT_RETRY_MS)
        })
    }

    /// Returns the endpoint that a call runs at already, if it can still be used.
    fn choose_seen(&self, dispatch: &Dispatch<'_>, now: Instant) -> Option<Choice> {
        let endpoint = dispatch.seen_at.as_ref()?;
        let usable = lock(&self.0.chooser).usable(now, endpoint);
        let choice = Choice {
            endpoint: endpoint.clone(),
            expected_wait: Duration::ZERO,
            expected_cached_tokens: dispatch.prompt_tokens,
        };
        (usable && !dispatch.failed.contains(endpoint)).then_some(choice)
    }

    /// Generates at an endpoint, trying others within the retry budget.
    pub(super) async fn generate<R: Clone + Send + 'static>(
        &self,
        dispatch: &mut Dispatch<'_>,
        mut generate: Generate,
        output: &Replay<Tokens, R>,
    ) -> Result<FinishedGeneration, Refusal> {
        let mut attempts = 0;
        loop {
            let choice = self.choose(dispatch)?;
            generate.expected_cached_tokens = choice.expected_cached_tokens;
            let endpoint = choice.endpoint.clone();
            let mut sent = self.record_dispatch(dispatch, &choice, attempts);
            let result = self.generate_at(&endpoint, &generate, output).await;
            sent.end = generation_end(&result);
            drop(sent);
            let refusal = match result {
                Ok(generated) => {
                    self.record_generation(&endpoint, dispatch.program, &generated);
                    return Ok(FinishedGeneration {
                        endpoint,
                        generated,
                    });
                }
                Err(refusal) => refusal,
            };
            attempts += 1;
            self.back_off(dispatch, &endpoint, attempts, refusal)
                .await?;
        }
    }

    /// Waits before another attempt, or gives the refusal back if there is to be none.
    pub(super) async fn back_off(
        &self,
        dispatch: &mut Dispatch<'_>,
        endpoint: &EndpointId,
        attempts: u32,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if !is_endpoint_fault(refusal.code) {
            return Err(refusal);
        }
        let failed = FailedCall {
            client_account: dispatch.client_account,
            endpoint,
            repeatable: dispatch.repeatable,
            ran: refusal.ran,
            attempts,
            deadline: dispatch.deadline,
            expected_run: Duration::ZERO,
        };
        let now = Instant::now();
        let wait = lock(&self.0.retries).next(now, &failed, &mut fastrand::Rng::new());
        let Some(wait) = wait else {
            return Err(refusal);
        };
        dispatch.failed.push(endpoint.clone());
        Timer::after(wait).await;
        Ok(())
    }

    /// Notes that a call is on its way; the guard notes how it ended.
    pub(super) fn record_dispatch(
        &self,
        dispatch: &Dispatch<'_>,
        choice: &Choice,
        attempts: u32,
    ) -> DispatchGuard<'_, L> {
        let now = Instant::now();
        let uncached = dispatch
            .prompt_tokens
            .saturating_sub(choice.expected_cached_tokens);
        let sent = Sent {
            uncached_tokens: uncached,
            answer_tokens: dispatch.answer_tokens,
        };
        lock(&self.0.chooser).sent(now, &choice.endpoint, dispatch.call, sent);
        if attempts == 0 {
            lock(&self.0.retries).first(now, dispatch.client_account, &choice.endpoint);
        }
        DispatchGuard {
            entry: self,
            endpoint: choice.endpoint.clone(),
            call: dispatch.call,
            program: dispatch.program,
            end: SentEnd::Cancelled,
        }
    }

    async fn generate_at<R: Clone + Send + 'static>(
        &self,
        endpoint: &EndpointId,
        generate: &Generate,
        output: &Replay<Tokens, R>,
    ) -> Result<Generated, Refusal> {
        for _ in 0..=REOPENS_MAX {
            // A sidecar that has the call already goes on with it.
            let request = Request::Generate(generate.clone());
            let opened = self.0.links.open(endpoint, request).await;
            let mut exchange = opened.map_err(|e| refuse_unreachable(&e))?;
            match self.copy_stream(&mut exchange, output).await {
                Ok(Reply::Generated(generated)) => return Ok(generated),
                Ok(Reply::Refused(refusal)) => return Err(refusal),
                Ok(_) => return Err(refuse_unexpected_reply()),
                Err(LinkError::Broken | LinkError::Unreachable(_)) => {
                    Timer::after(REOPEN_PAUSE).await;
                }
            }
        }
        Err(refuse_unreachable(&LinkError::Broken))
    }

    /// Copies a stream into an answer.
    async fn copy_stream<R: Clone + Send + 'static>(
        &self,
        exchange: &mut Exchange<Messages>,
        output: &Replay<Tokens, R>,
    ) -> Result<Reply, LinkError> {
        loop {
            match exchange.next().await? {
                Inbound::Reply(reply) => return Ok(reply),
                Inbound::Event(Event::Started { run, endpoint }) => output.start(Run {
                    id: run,
                    place: endpoint,
                }),
                Inbound::Event(Event::Tokens(tokens)) => {
                    output.push(tokens).map_err(|_| LinkError::Broken)?;
                }
                Inbound::Event(Event::Accepted { .. }) => {}
            }
        }
    }

    /// Calls a service once at an endpoint.
    pub(super) async fn invoke_at(
        &self,
        endpoint: &EndpointId,
        invoke: Invoke,
    ) -> Result<ActionReply, LinkError> {
        let reply = self.0.links.ask(endpoint, Request::Invoke(invoke)).await?;
        match reply {
            Reply::Action(action) => {
                self.record_load(endpoint, &action.load);
                Ok(action)
            }
            _ => Err(LinkError::Broken),
        }
    }

    fn record_generation(&self, endpoint: &EndpointId, program: ProgramId, generated: &Generated) {
        let usage = generated.usage;
        lock(&self.0.cache).answered(
            Instant::now(),
            endpoint,
            program,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.completion_tokens,
        );
        self.record_load(endpoint, &generated.load);
    }

    /// Stops a call at an endpoint, without waiting.
    fn cancel_at(&self, endpoint: EndpointId, call: CallId) {
        let links = self.0.links.clone();
        self.0.spawner.spawn(async move {
            // An endpoint that cannot be reached stops the call when nobody reads it.
            let _ = links.ask(&endpoint, Request::Cancel { call }).await;
        });
    }

    /// Takes the load that rides on an answer.
    pub(super) fn record_load(&self, endpoint: &EndpointId, load: &SidecarLoad) {
        lock(&self.0.chooser).observe(Instant::now(), endpoint, load);
    }
}

/// Notes how a call that was sent ended; a dropped call was withdrawn.
pub(super) struct DispatchGuard<'a, L: Log> {
    entry: &'a Entry<L>,
    endpoint: EndpointId,
    call: CallId,
    program: ProgramId,
    /// How it ended.
    pub(super) end: SentEnd,
}

impl<L: Log> Drop for DispatchGuard<'_, L> {
    fn drop(&mut self) {
        let mut chooser = lock(&self.entry.0.chooser);
        chooser.finished(Instant::now(), &self.endpoint, self.call, self.end);
        drop(chooser);
        // After a change of owner the next one goes on with what the sidecar has.
        let owned = self.entry.partition(self.program).epoch().is_some();
        if self.end != SentEnd::Answered && owned {
            self.entry.cancel_at(self.endpoint.clone(), self.call);
        }
    }
}

fn generation_end(result: &Result<Generated, Refusal>) -> SentEnd {
    match result {
        Err(refusal) if refusal.code == RefusalCode::EndpointFailed => SentEnd::Failed,
        _ => SentEnd::Answered,
    }
}

/// Tells whether another endpoint may do better.
fn is_endpoint_fault(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::EndpointFailed | RefusalCode::NoEndpoint | RefusalCode::Overloaded
    )
}

/// Refuses since an endpoint cannot be reached. A generation has no effect, so it has not run.
pub(super) fn refuse_unreachable(error: &LinkError) -> Refusal {
    let refusal = Refusal::not_run(RefusalCode::EndpointFailed, error.to_string());
    refusal.retry_after_ms(NO_ENDPOINT_RETRY_MS)
}

fn refuse_unexpected_reply() -> Refusal {
    Refusal {
        ran: Ran::No,
        ..Refusal::unknown(
            RefusalCode::EndpointFailed,
            "The sidecar gave another reply.",
        )
    }
}
