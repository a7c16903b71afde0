//! Sending a call to an endpoint, and to another one where the first fails.

use crate::coordination::choice::{CallOutcome, CallWork, Choice, EndpointRequirements, Target};
use crate::coordination::retry::FailedCall;
use crate::entry::{Entry, lock};
use crate::ids::{CallId, EndpointId, ProgramId};
use crate::protocol::link::{
    ActionReply, Event, Generate, Generated, Invoke, LinkProtocol, Reply, Request, SidecarLoad,
    Tokens,
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
const REJOINS_MAX: u32 = 2;

/// Pause before a broken link is opened again.
const REJOIN_PAUSE: Duration = Duration::from_millis(100);

/// A call on its way to an endpoint.
pub(super) struct Sending<'a> {
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
pub(super) struct Finished {
    /// The endpoint.
    pub(super) endpoint: EndpointId,
    /// What it says.
    pub(super) generated: Generated,
}

impl<L: Log> Entry<L> {
    /// Chooses an endpoint for a call.
    pub(super) fn choose(&self, sending: &Sending<'_>) -> Result<Choice, Refusal> {
        let now = Instant::now();
        if let Some(seen) = self.seen_at(sending, now) {
            return Ok(seen);
        }
        let cached = lock(&self.0.cache).holders(now, sending.program);
        let want = EndpointRequirements {
            target: sending.target,
            prompt_tokens: sending.prompt_tokens,
            answer_tokens: sending.answer_tokens,
            cache_holders: &cached,
            local_domain: &self.0.config.failure_domain,
            exclude: &sending.failed,
        };
        let mut rng = fastrand::Rng::new();
        let choice = lock(&self.0.chooser).choose(now, &want, &mut rng);
        choice.ok_or_else(|| {
            let message = "No endpoint can take the call now.";
            Refusal::not_run(RefusalCode::NoEndpoint, message).retry_after_ms(NO_ENDPOINT_RETRY_MS)
        })
    }

    /// Returns the endpoint that a call runs at already, if it can still be used.
    fn seen_at(&self, sending: &Sending<'_>, now: Instant) -> Option<Choice> {
        let endpoint = sending.seen_at.as_ref()?;
        let usable = lock(&self.0.chooser).is_usable(now, endpoint);
        let choice = Choice {
            endpoint: endpoint.clone(),
            expected_wait: Duration::ZERO,
            expected_cached_tokens: sending.prompt_tokens,
        };
        (usable && !sending.failed.contains(endpoint)).then_some(choice)
    }

    /// Generates at an endpoint, trying others within the retry budget.
    pub(super) async fn generate<R: Clone + Send + 'static>(
        &self,
        sending: &mut Sending<'_>,
        mut generate: Generate,
        text: &Replay<Tokens, R>,
    ) -> Result<Finished, Refusal> {
        let mut attempts = 0;
        loop {
            let choice = self.choose(sending)?;
            generate.expected_cached_tokens = choice.expected_cached_tokens;
            let endpoint = choice.endpoint.clone();
            let mut sent = self.begin_sent(sending, &choice, attempts);
            let result = self.generate_at(&endpoint, &generate, text).await;
            sent.end = sent_end(&result);
            drop(sent);
            let refusal = match result {
                Ok(generated) => {
                    self.take_generated(&endpoint, sending.program, &generated);
                    return Ok(Finished {
                        endpoint,
                        generated,
                    });
                }
                Err(refusal) => refusal,
            };
            attempts += 1;
            self.back_off(sending, &endpoint, attempts, refusal).await?;
        }
    }

    /// Waits before another attempt, or gives the refusal back if there is to be none.
    pub(super) async fn back_off(
        &self,
        sending: &mut Sending<'_>,
        endpoint: &EndpointId,
        attempts: u32,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if !is_of_endpoint(refusal.code) {
            return Err(refusal);
        }
        let failed = FailedCall {
            client_account: sending.client_account,
            endpoint,
            repeatable: sending.repeatable,
            ran: refusal.ran,
            attempts,
            deadline: sending.deadline,
            expected_run: Duration::ZERO,
        };
        let now = Instant::now();
        let wait = lock(&self.0.retries).next_backoff(now, &failed, &mut fastrand::Rng::new());
        let Some(wait) = wait else {
            return Err(refusal);
        };
        sending.failed.push(endpoint.clone());
        Timer::after(wait).await;
        Ok(())
    }

    /// Notes that a call is on its way; the guard notes how it ended.
    pub(super) fn begin_sent(
        &self,
        sending: &Sending<'_>,
        choice: &Choice,
        attempts: u32,
    ) -> SentGuard<'_, L> {
        let now = Instant::now();
        let uncached = sending
            .prompt_tokens
            .saturating_sub(choice.expected_cached_tokens);
        let sent = CallWork {
            uncached_tokens: uncached,
            answer_tokens: sending.answer_tokens,
        };
        lock(&self.0.chooser).begin_call(now, &choice.endpoint, sending.call, sent);
        if attempts == 0 {
            lock(&self.0.retries).record_first_attempt(
                now,
                sending.client_account,
                &choice.endpoint,
            );
        }
        SentGuard {
            entry: self,
            endpoint: choice.endpoint.clone(),
            call: sending.call,
            program: sending.program,
            end: CallOutcome::Cancelled,
        }
    }

    async fn generate_at<R: Clone + Send + 'static>(
        &self,
        endpoint: &EndpointId,
        generate: &Generate,
        text: &Replay<Tokens, R>,
    ) -> Result<Generated, Refusal> {
        for _ in 0..=REJOINS_MAX {
            // A sidecar that has the call already goes on with it.
            let request = Request::Generate(generate.clone());
            let opened = self.0.links.open(endpoint, request).await;
            let mut exchange = opened.map_err(|e| unreachable_endpoint(&e))?;
            match self.take_stream(&mut exchange, text).await {
                Ok(Reply::Generated(generated)) => return Ok(generated),
                Ok(Reply::Refused(refusal)) => return Err(refusal),
                Ok(_) => return Err(unexpected_reply()),
                Err(LinkError::Broken | LinkError::Unreachable(_)) => {
                    Timer::after(REJOIN_PAUSE).await;
                }
            }
        }
        Err(unreachable_endpoint(&LinkError::Broken))
    }

    /// Copies a stream into an answer.
    async fn take_stream<R: Clone + Send + 'static>(
        &self,
        exchange: &mut Exchange<LinkProtocol>,
        text: &Replay<Tokens, R>,
    ) -> Result<Reply, LinkError> {
        loop {
            match exchange.next().await? {
                Inbound::Reply(reply) => return Ok(reply),
                Inbound::Event(Event::Started { run, endpoint }) => text.start(Run {
                    id: run,
                    place: endpoint,
                }),
                Inbound::Event(Event::Tokens(tokens)) => {
                    text.push(tokens).map_err(|_| LinkError::Broken)?;
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
                self.take_load(endpoint, &action.load);
                Ok(action)
            }
            _ => Err(LinkError::Broken),
        }
    }

    fn take_generated(&self, endpoint: &EndpointId, program: ProgramId, generated: &Generated) {
        let usage = generated.usage;
        lock(&self.0.cache).record_answer(
            Instant::now(),
            endpoint,
            program,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.completion_tokens,
        );
        self.take_load(endpoint, &generated.load);
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
    pub(super) fn take_load(&self, endpoint: &EndpointId, load: &SidecarLoad) {
        lock(&self.0.chooser).update_load(Instant::now(), endpoint, load);
    }
}

/// Notes how a call that was sent ended; a dropped call was withdrawn.
pub(super) struct SentGuard<'a, L: Log> {
    entry: &'a Entry<L>,
    endpoint: EndpointId,
    call: CallId,
    program: ProgramId,
    /// How it ended.
    pub(super) end: CallOutcome,
}

impl<L: Log> Drop for SentGuard<'_, L> {
    fn drop(&mut self) {
        let mut chooser = lock(&self.entry.0.chooser);
        chooser.finish_call(Instant::now(), &self.endpoint, self.call, self.end);
        drop(chooser);
        // After a change of owner the next one goes on with what the sidecar has.
        let owned = self.entry.partition(self.program).epoch().is_some();
        if self.end != CallOutcome::Answered && owned {
            self.entry.cancel_at(self.endpoint.clone(), self.call);
        }
    }
}

fn sent_end(result: &Result<Generated, Refusal>) -> CallOutcome {
    match result {
        Err(refusal) if refusal.code == RefusalCode::EndpointFailed => CallOutcome::Failed,
        _ => CallOutcome::Answered,
    }
}

/// Tells whether another endpoint may do better.
fn is_of_endpoint(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::EndpointFailed | RefusalCode::NoEndpoint | RefusalCode::Overloaded
    )
}

/// Refuses since an endpoint cannot be reached. A generation has no effect, so it has not run.
pub(super) fn unreachable_endpoint(error: &LinkError) -> Refusal {
    let refusal = Refusal::not_run(RefusalCode::EndpointFailed, error.to_string());
    refusal.retry_after_ms(NO_ENDPOINT_RETRY_MS)
}

fn unexpected_reply() -> Refusal {
    Refusal {
        ran: Ran::No,
        ..Refusal::unknown(
            RefusalCode::EndpointFailed,
            "The sidecar gave another reply.",
        )
    }
}
