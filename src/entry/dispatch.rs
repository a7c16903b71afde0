//! Dispatch of calls to endpoints, with retries at other endpoints on failure.

use crate::coordination::choice::{
    CallOutcome, CallWork, Choice, EndpointRequirements, Obstacle, Target,
};
use crate::coordination::retry::FailedCall;
use crate::entry::crashes::FingerprintedCall;
use crate::entry::owner::budget::GenerationReservation;
use crate::entry::{Entry, lock};
use crate::ids::{CallId, EndpointId, ProgramId};
use crate::protocol::link::{
    ActionReply, Event, Generate, Generated, Invoke, LinkProtocol, Reply, Request, SidecarLoad,
    Tokens,
};
use crate::protocol::log::Log;
use crate::protocol::refusal::{Ran, Refusal, RefusalCode};
use crate::transport::link::{Exchange, Inbound, LinkError};
use crate::transport::replay::{ReplayBuffer, Run};
use smallvec::SmallVec;
use smol::Timer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Retry delay sent to the caller if no endpoint can take a call, in milliseconds.
const NO_ENDPOINT_RETRY_MS: u64 = 500;

/// Maximum number of times that one call reopens a broken link to the same endpoint.
const REOPENS_MAX: u32 = 2;

/// Pause before a broken link is reopened.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// A call to be dispatched, with the state of its attempts.
pub(super) struct DispatchedCall<'a> {
    /// Id of the call.
    pub(super) call: CallId,
    /// Program of the call.
    pub(super) program: ProgramId,
    /// Client account whose retry budget is charged.
    pub(super) client_account: &'a str,
    /// Time after which no further attempt starts.
    pub(super) deadline: Instant,
    /// Model or service that the endpoint must serve.
    pub(super) target: Target<'a>,
    /// Estimated number of tokens in the prompt.
    pub(super) prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub(super) answer_tokens: u32,
    /// Whether the call may run more than once.
    pub(super) repeatable: bool,
    /// Endpoint at which a previous owner started the call, if known.
    pub(super) seen_at: Option<EndpointId>,
    /// The call with its fingerprints.
    pub(super) fingerprinted: FingerprintedCall,
    /// Endpoints where an attempt failed. Further attempts exclude them.
    pub(super) failed: SmallVec<[EndpointId; 4]>,
}

/// A completed generation.
pub(super) struct FinishedGeneration {
    /// Endpoint that ran the generation.
    pub(super) endpoint: EndpointId,
    /// Token counts, timing and load reported by the sidecar.
    pub(super) generated: Generated,
}

impl<L: Log> Entry<L> {
    /// Chooses an endpoint for a call, preferring the one where it already runs.
    ///
    /// Refuses with `NoEndpoint` if none is available.
    pub(super) fn choose(&self, dispatch: &DispatchedCall<'_>) -> Result<Choice, Refusal> {
        let now = Instant::now();
        if let Some(running) = self.choose_running(dispatch, now) {
            return Ok(running);
        }
        let cached = lock(&self.0.cache).holders(now, dispatch.program);
        let requirements = EndpointRequirements {
            target: dispatch.target,
            prompt_tokens: dispatch.prompt_tokens,
            answer_tokens: dispatch.answer_tokens,
            cache_holders: &cached,
            local_domain: &self.0.config.failure_domain,
            exclude: &dispatch.failed,
        };
        let mut rng = fastrand::Rng::new();
        let mut chooser = lock(&self.0.chooser);
        let choice = chooser.choose(now, &requirements, &mut rng);
        choice.ok_or_else(|| refuse_no_endpoint(&chooser.obstacles(now, &requirements)))
    }

    /// Returns the endpoint where the call already runs, if that endpoint is usable and has not
    /// failed the call.
    fn choose_running(&self, dispatch: &DispatchedCall<'_>, now: Instant) -> Option<Choice> {
        let endpoint = dispatch.seen_at.as_ref()?;
        let usable = lock(&self.0.chooser).is_usable(now, endpoint);
        let choice = Choice {
            endpoint: endpoint.clone(),
            expected_wait: Duration::ZERO,
            expected_cached_tokens: dispatch.prompt_tokens,
        };
        (usable && !dispatch.failed.contains(endpoint)).then_some(choice)
    }

    /// Runs a generation, retrying at other endpoints within the retry budget and the program's budget.
    ///
    /// Tokens are copied into the reservation's answer as they arrive. Those of failed runs are charged.
    pub(super) async fn generate(
        &self,
        dispatch: &mut DispatchedCall<'_>,
        mut generate: Generate,
        reservation: &mut GenerationReservation<'_, L>,
    ) -> Result<FinishedGeneration, Refusal> {
        let mut attempts = 0;
        loop {
            let choice = self.choose(dispatch)?;
            generate.expected_cached_tokens = choice.expected_cached_tokens;
            let endpoint = choice.endpoint.clone();
            let mut guard = self.record_dispatch(dispatch, &choice, attempts);
            let sent_at = Instant::now();
            let result = self
                .generate_at(&endpoint, &generate, reservation.answer())
                .await;
            guard.outcome = generation_outcome(&result);
            drop(guard);
            let mut refusal = match result {
                Ok(generated) => {
                    self.record_answer(&dispatch.fingerprinted);
                    self.record_generation(&endpoint, dispatch.program, &generated);
                    return Ok(FinishedGeneration {
                        endpoint,
                        generated,
                    });
                }
                Err(refusal) => refusal,
            };
            if let Some(lifetime) = refusal.crashed.take() {
                self.record_crash(&dispatch.fingerprinted, &endpoint, lifetime, sent_at);
            }
            reservation.charge_failed_run();
            attempts += 1;
            self.back_off(dispatch, &endpoint, attempts, refusal)
                .await?;
            reservation.renew().await?;
        }
    }

    /// Waits before the next attempt and excludes the failed endpoint.
    ///
    /// Returns the refusal as an error if the call must not be retried.
    pub(super) async fn back_off(
        &self,
        dispatch: &mut DispatchedCall<'_>,
        endpoint: &EndpointId,
        attempts: u32,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if !is_endpoint_fault(refusal.code) {
            return Err(refusal);
        }
        self.check_quarantine(&dispatch.fingerprinted, attempts)?;
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
        let wait = lock(&self.0.retries).next_backoff(now, &failed, &mut fastrand::Rng::new());
        let Some(wait) = wait else {
            return Err(refusal);
        };
        dispatch.failed.push(endpoint.clone());
        Timer::after(wait).await;
        self.check_quarantine(&dispatch.fingerprinted, attempts)
    }

    /// Records a dispatched call in the load estimates. Dropping the guard records its end.
    pub(super) fn record_dispatch(
        &self,
        dispatch: &DispatchedCall<'_>,
        choice: &Choice,
        attempts: u32,
    ) -> DispatchGuard<'_, L> {
        let now = Instant::now();
        let uncached = dispatch
            .prompt_tokens
            .saturating_sub(choice.expected_cached_tokens);
        let work = CallWork {
            uncached_tokens: uncached,
            answer_tokens: dispatch.answer_tokens,
        };
        lock(&self.0.chooser).begin_call(now, &choice.endpoint, dispatch.call, work);
        if attempts == 0 {
            lock(&self.0.retries).record_first_attempt(
                now,
                dispatch.client_account,
                &choice.endpoint,
            );
        }
        DispatchGuard {
            entry: self,
            endpoint: choice.endpoint.clone(),
            call: dispatch.call,
            program: dispatch.program,
            outcome: CallOutcome::Cancelled,
        }
    }

    async fn generate_at<R: Clone + Send + 'static>(
        &self,
        endpoint: &EndpointId,
        generate: &Generate,
        output: &ReplayBuffer<Tokens, R>,
    ) -> Result<Generated, Refusal> {
        for _ in 0..=REOPENS_MAX {
            // The request is idempotent: a sidecar that already runs the call resumes its stream.
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

    /// Copies a sidecar's token stream into `output` until the final reply.
    async fn copy_stream<R: Clone + Send + 'static>(
        &self,
        exchange: &mut Exchange<LinkProtocol>,
        output: &ReplayBuffer<Tokens, R>,
    ) -> Result<Reply, LinkError> {
        loop {
            match exchange.next().await? {
                Inbound::Reply(reply) => return Ok(reply),
                Inbound::Event(Event::Started { run, endpoint }) => output.start(Run {
                    id: run,
                    node: endpoint,
                }),
                Inbound::Event(Event::Tokens(tokens)) => {
                    output.push(tokens).map_err(|_| LinkError::Broken)?;
                }
                Inbound::Event(Event::Accepted { .. }) => {}
            }
        }
    }

    /// Sends one service call to an endpoint, without a retry.
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
        lock(&self.0.cache).record_answer(
            Instant::now(),
            endpoint,
            program,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.completion_tokens,
        );
        self.record_load(endpoint, &generated.load);
    }

    /// Cancels a call at an endpoint in the background.
    fn cancel_at(&self, endpoint: EndpointId, call: CallId) {
        let links = self.0.links.clone();
        self.0.spawner.spawn(async move {
            // An unreachable sidecar stops the call on its own after its orphan timeout.
            let _ = links.ask(&endpoint, Request::Cancel { call }).await;
        });
    }

    /// Updates the endpoint's load from the report attached to an answer.
    pub(super) fn record_load(&self, endpoint: &EndpointId, load: &SidecarLoad) {
        lock(&self.0.chooser).update_load(Instant::now(), endpoint, load);
    }
}

/// Records the end of a dispatched call when dropped. The default is a cancelled call.
pub(super) struct DispatchGuard<'a, L: Log> {
    entry: &'a Entry<L>,
    endpoint: EndpointId,
    call: CallId,
    program: ProgramId,
    /// How the call ended.
    pub(super) outcome: CallOutcome,
}

impl<L: Log> Drop for DispatchGuard<'_, L> {
    fn drop(&mut self) {
        let mut chooser = lock(&self.entry.0.chooser);
        chooser.finish_call(Instant::now(), &self.endpoint, self.call, self.outcome);
        drop(chooser);
        // A node that lost the partition does not cancel: the next owner resumes the sidecar's run.
        let owned = self.entry.partition(self.program).epoch().is_some();
        if self.outcome != CallOutcome::Answered && owned {
            self.entry.cancel_at(self.endpoint.clone(), self.call);
        }
    }
}

fn generation_outcome(result: &Result<Generated, Refusal>) -> CallOutcome {
    match result {
        Err(refusal) if refusal.code == RefusalCode::EndpointFailed => CallOutcome::Failed,
        _ => CallOutcome::Answered,
    }
}

/// Returns whether a refusal is specific to the endpoint, so that another one may succeed.
fn is_endpoint_fault(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::EndpointFailed | RefusalCode::NoEndpoint | RefusalCode::Overloaded
    )
}

/// Refusal for an unreachable endpoint.
///
/// It reports the call as not run, because a generation has no side effects.
pub(super) fn refuse_unreachable(error: &LinkError) -> Refusal {
    let refusal = Refusal::not_run(RefusalCode::EndpointFailed, error.to_string());
    refusal.retry_after_ms(NO_ENDPOINT_RETRY_MS)
}

/// Refusal for a call that no endpoint can take, with the number of endpoints by their obstacles.
fn refuse_no_endpoint(obstacles: &BTreeMap<Obstacle, usize>) -> Refusal {
    let counts = obstacles.iter();
    let counts: Vec<String> = counts
        .map(|(obstacle, count)| format!("{count} {obstacle}"))
        .collect();
    let reason = match counts.as_slice() {
        [] => "none is known".to_owned(),
        counts => counts.join(", "),
    };
    let message = format!("No endpoint can take the call now: {reason}.");
    Refusal::not_run(RefusalCode::NoEndpoint, message).retry_after_ms(NO_ENDPOINT_RETRY_MS)
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
