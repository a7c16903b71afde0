//! Generations: queueing, streaming from the engine, and retention of the output for owners.

use crate::coordination::admission::Cost;
use crate::coordination::cache::CacheReleases;
use crate::coordination::crashes::Lifetime;
use crate::coordination::pacing::Urgency;
use crate::ids::{CallId, ProgramId, format_id};
use crate::limits::MAX_EXTRA_EVENTS;
use crate::protocol::engine::{
    Engine, EngineError, EngineEvent, EngineStream, EngineUsage, GenerateRequest,
};
use crate::protocol::failure::Connection;
use crate::protocol::link::{Generate, Tokens};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::lifetime::LifetimeNumber;
use crate::sidecar::pace::longest_wait;
use crate::sidecar::queue::AdmissionSlot;
use crate::sidecar::{Endpoint, GenerationOutput, Sidecar, lock};
use crate::transport::replay::Run;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of times a stream is reopened before the call fails, and of attempts to cancel a
/// call.
const REOPENS_MAX: u32 = 4;

/// Pause before a stream is reopened or a cancellation is retried.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Retry delay sent to the caller of a call under which the engine crashed, in milliseconds.
const CRASH_RETRY_MS: u64 = 500;

/// A generation that is running, or whose output is still retained.
#[derive(Clone)]
pub(crate) struct Generation {
    /// Program of the call.
    pub(crate) program: ProgramId,
    /// Tokens and final result.
    pub(crate) output: GenerationOutput,
    stop: Sender<()>,
}

impl Generation {
    /// Stops the generation if it is queued or running.
    pub(crate) fn stop(&self) {
        self.stop.close();
    }
}

/// Usage and timing of a completed generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct GenerationSummary {
    /// Token counts reported by the engine.
    pub(crate) usage: EngineUsage,
    /// Time in the queue.
    pub(crate) queued: Duration,
    /// Time in the engine.
    pub(crate) ran: Duration,
}

/// What decides how long the requests of a generation wait for their engine.
#[derive(Clone, Copy)]
struct RequestTiming {
    urgency: Urgency,
    /// Deadline of its program.
    deadline: Instant,
}

/// Why a generation failed.
enum GenerationError {
    Stopped,
    Engine(EngineError),
    /// The engine crashed while it had the call.
    Crashed(Lifetime),
    Stalled,
    /// The engine sent more tokens or events than the call allows.
    TooLong,
    /// The engine takes no more requests before this time.
    RateLimited(Duration),
}

impl GenerationError {
    fn into_refusal(self) -> Refusal {
        match self {
            Self::Stopped => Refusal::not_run(RefusalCode::Ended, "The call was cancelled."),
            Self::Stalled => refuse_failed("The engine stopped sending."),
            Self::TooLong => refuse_failed("The engine sent more than the call allows."),
            Self::RateLimited(wait) => {
                let message = "The engine takes no more requests now.";
                let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                Refusal::not_run(RefusalCode::Overloaded, message).retry_after_ms(wait_ms.max(1))
            }
            Self::Engine(e) => refuse_failed(&e.to_string()),
            Self::Crashed(lifetime) => refuse_failed("The engine crashed while it had the call.")
                .retry_after_ms(CRASH_RETRY_MS)
                .crashed(Some(lifetime)),
        }
    }

    /// Returns what became of the connection; `None` unless the engine could not be reached.
    fn connection(&self) -> Option<Connection> {
        match self {
            Self::Engine(EngineError::Unreachable(lost)) => Some(lost.connection),
            _ => None,
        }
    }
}

/// Refusal for a failed generation.
///
/// It reports the call as not run, because a generation has no visible side effects and may run
/// elsewhere.
fn refuse_failed(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::EndpointFailed, message)
}

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Returns the generation of a call, starting it if it is new.
    ///
    /// Refuses requests of replaced owners, and new calls during shutdown.
    pub(crate) fn get_or_start(&self, generate: Generate) -> Result<Generation, Refusal> {
        self.check_fence(generate.partition, generate.epoch)?;
        let call = generate.request.call;
        let mut generations = lock(&self.0.generations);
        if let Some(known) = generations.get(&call) {
            return Ok(known.clone());
        }
        self.check_not_leaving()?;
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            let message = "The endpoint is no engine.";
            return Err(Refusal::not_run(RefusalCode::NoEndpoint, message));
        };
        let (stop, stopped) = async_channel::bounded(1);
        let generation = Generation {
            program: generate.request.program,
            output: GenerationOutput::new(),
            stop,
        };
        generation.output.start(self.new_run());
        generations.insert(call, generation.clone());
        let run = self
            .clone()
            .run(engine.clone(), generate, generation.clone(), stopped);
        self.0.spawner.spawn(run);
        Ok(generation)
    }

    /// Creates a random id for a new run at this sidecar.
    fn new_run(&self) -> Run {
        Run {
            id: fastrand::u64(1..),
            node: self.0.config.node.clone(),
        }
    }

    /// Marks a program's cache as in use until the guard is dropped.
    fn mark_in_use(&self, program: ProgramId) -> InUseGuard<'_> {
        lock(&self.0.cache_releases).begin_call(Instant::now(), program);
        InUseGuard {
            releases: &self.0.cache_releases,
            program,
        }
    }

    async fn run(
        self,
        engine: E,
        generate: Generate,
        generation: Generation,
        stopped: Receiver<()>,
    ) {
        let call = generate.request.call;
        let stop_requested = async {
            let _ = stopped.recv().await;
            Err(GenerationError::Stopped.into_refusal())
        };
        let result = self
            .queue_and_stream(&engine, generate, &generation)
            .or(stop_requested)
            .await;
        if result.is_err() {
            // The engine may still be generating, even if it does not answer.
            self.0.spawner.spawn(self.clone().cancel(engine, call));
        }
        generation.output.finish(result);
    }

    async fn cancel(self, engine: E, call: CallId) {
        for _ in 0..REOPENS_MAX {
            if engine.cancel(call).await.is_ok() {
                return;
            }
            Timer::after(REOPEN_PAUSE).await;
        }
        log::warn!(
            target: "sidecar",
            "sidecar: engine did not accept the cancellation of a call; it may keep generating"
        );
    }

    async fn queue_and_stream(
        &self,
        engine: &E,
        generate: Generate,
        generation: &Generation,
    ) -> Result<GenerationSummary, Refusal> {
        let request = generate.request;
        let uncached = prompt_tokens(&request).saturating_sub(generate.expected_cached_tokens);
        let cost = Cost {
            uncached_tokens: uncached,
            max_tokens: request.max_tokens,
        };
        let priority = generate.priority;
        let (attained_tokens, is_production) = (priority.attained_tokens, priority.production);
        let time_left = Duration::from_millis(priority.slack_ms);
        let waiting = self
            .0
            .queue
            .wait_for_slot(request.call, request.program, priority, cost);
        let mut slot = waiting.await?;
        let queued = slot.waited();
        let _in_use = self.mark_in_use(request.program);
        let started = Instant::now();
        let timing = RequestTiming {
            urgency: Urgency {
                is_under_way: attained_tokens > 0,
                priority: u32::from(!is_production),
            },
            deadline: started + time_left,
        };
        let streamed = self
            .stream(engine, request, timing, generation, &mut slot)
            .await;
        slot.observed.ran = started.elapsed();
        let usage = streamed.map_err(GenerationError::into_refusal)?;
        slot.observed.uncached_tokens = usage.prompt_tokens - usage.cached_tokens;
        slot.observed.completion_tokens = usage.completion_tokens;
        Ok(GenerationSummary {
            usage,
            queued,
            ran: slot.observed.ran,
        })
    }

    /// Streams a generation from the engine, reopening the stream if it breaks or stalls.
    ///
    /// An engine that no longer knows a call on whose connection it had it, or that is no longer
    /// there, has crashed. The call is not sent to it again, because it may be the cause.
    async fn stream(
        &self,
        engine: &E,
        request: GenerateRequest,
        timing: RequestTiming,
        generation: &Generation,
        slot: &mut AdmissionSlot<'_>,
    ) -> Result<EngineUsage, GenerationError> {
        let call = request.call;
        let max_tokens = request.max_tokens;
        let started = Instant::now();
        let mut lifetime = self.0.lifetimes.current();
        let mut is_lost = false;
        self.wait_for_engine(engine, timing).await?;
        let mut opened = engine.generate(request.clone()).await;
        for _ in 0..REOPENS_MAX {
            let error = match opened {
                Ok(stream) => {
                    is_lost = false;
                    let allowance = StreamAllowance::new(max_tokens);
                    let read = self.read_stream(stream, allowance, generation, slot, started);
                    match read.await {
                        Err(GenerationError::TooLong) => {
                            log::warn!(
                                target: "sidecar",
                                "sidecar: engine sent more than {max_tokens} tokens for a call; stopping it"
                            );
                            return Err(GenerationError::TooLong);
                        }
                        Err(failure) => failure,
                        usage => return usage,
                    }
                }
                Err(EngineError::Refused(reason)) => {
                    return Err(GenerationError::Engine(EngineError::Refused(reason)));
                }
                Err(e) => GenerationError::Engine(e),
            };
            if let Some(Connection::Ended) = error.connection() {
                is_lost = true;
                self.0.lifetimes.end(lifetime);
            }
            if let GenerationError::Stalled = error {
                log::info!(target: "sidecar", "sidecar: engine stream stalled, reopening it");
            }
            Timer::after(REOPEN_PAUSE).await;
            self.wait_for_engine(engine, timing).await?;
            opened = engine.resume(call, generation.output.next_index()).await;
            if is_lost && is_unknown_call(&opened) {
                return Err(self.crashed(call, lifetime));
            }
            if is_unknown_call(&opened) && generation.output.next_index() == 0 {
                lifetime = self.0.lifetimes.current();
                self.wait_for_engine(engine, timing).await?;
                opened = engine.generate(request.clone()).await;
            }
        }
        let error = match opened {
            Ok(_) => return Err(GenerationError::Stalled),
            Err(e) => GenerationError::Engine(e),
        };
        match error.connection() {
            Some(Connection::Refused | Connection::Ended) if is_lost => {
                Err(self.crashed(call, lifetime))
            }
            _ => Err(error),
        }
    }

    /// Waits until the engine takes another request. A call that would wait for too long is given up.
    async fn wait_for_engine(
        &self,
        engine: &E,
        timing: RequestTiming,
    ) -> Result<(), GenerationError> {
        let time_left = timing.deadline.saturating_duration_since(Instant::now());
        let rate = || engine.rate_limit();
        let paced = self
            .0
            .pace
            .wait(rate, timing.urgency, longest_wait(time_left));
        paced.await.map_err(GenerationError::RateLimited)
    }

    fn crashed(&self, call: CallId, number: LifetimeNumber) -> GenerationError {
        let lifetime = self.0.lifetimes.tag(number);
        log::info!(
            target: "sidecar",
            "sidecar: engine crashed while it had call {} (lifetime {number}, {lifetime:016x})",
            format_id(call)
        );
        GenerationError::Crashed(lifetime)
    }

    /// Reads one stream until it ends, breaks or stalls.
    async fn read_stream(
        &self,
        mut stream: E::Stream,
        mut allowance: StreamAllowance,
        generation: &Generation,
        slot: &mut AdmissionSlot<'_>,
        started: Instant,
    ) -> Result<EngineUsage, GenerationError> {
        let mut last = None;
        loop {
            let limit = match last {
                None => self.0.config.first_token_timeout,
                Some(_) => self.0.config.token_gap_timeout,
            };
            let stalled = async {
                Timer::after(limit).await;
                Some(Err(GenerationError::Stalled))
            };
            let next = async {
                stream
                    .next()
                    .await
                    .map(|e| e.map_err(GenerationError::Engine))
            };
            let event = next.or(stalled).await;
            // A stream that ends without its final event is resumed, like a broken one.
            let event = event.unwrap_or(Err(GenerationError::Engine(EngineError::Unknown)))?;
            match event {
                EngineEvent::Done(usage) => return Ok(usage),
                EngineEvent::Delta {
                    index,
                    tokens,
                    text,
                } => {
                    allowance.take(index.saturating_add(tokens))?;
                    self.record_token_timing(&mut last, tokens, slot, started);
                    let chunk = Tokens {
                        index,
                        count: tokens,
                        text,
                    };
                    let pushed = generation.output.push(chunk);
                    pushed.map_err(|_| GenerationError::Engine(EngineError::Unknown))?;
                }
            }
        }
    }

    fn record_token_timing(
        &self,
        last: &mut Option<Instant>,
        tokens: u32,
        slot: &mut AdmissionSlot<'_>,
        started: Instant,
    ) {
        let now = Instant::now();
        match *last {
            Some(previous) => self
                .0
                .queue
                .record_token_gap((now - previous) / tokens.max(1)),
            None if slot.observed.first_token.is_none() => {
                slot.observed.first_token = Some(now - started);
                slot.record_first_token();
            }
            None => {}
        }
        *last = Some(now);
    }
}

/// What an engine may still send on one stream.
struct StreamAllowance {
    events: u64,
    /// Largest position after a token.
    max_end: u64,
}

impl StreamAllowance {
    fn new(max_tokens: u32) -> Self {
        let events = u64::from(max_tokens) + MAX_EXTRA_EVENTS;
        Self {
            events,
            max_end: events,
        }
    }

    /// Takes one event whose last token ends at `end`.
    fn take(&mut self, end: u32) -> Result<(), GenerationError> {
        if self.events == 0 || u64::from(end) > self.max_end {
            return Err(GenerationError::TooLong);
        }
        self.events -= 1;
        Ok(())
    }
}

/// Marks a program's cache as in use by a call, until dropped.
struct InUseGuard<'a> {
    releases: &'a Mutex<CacheReleases>,
    program: ProgramId,
}

impl Drop for InUseGuard<'_> {
    fn drop(&mut self) {
        lock(self.releases).finish_call(Instant::now(), self.program);
    }
}

fn is_unknown_call<T>(opened: &Result<T, EngineError>) -> bool {
    matches!(opened, Err(EngineError::Unknown))
}

/// Approximate number of text bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens in a prompt from its length in bytes.
pub(crate) fn prompt_tokens(request: &GenerateRequest) -> u32 {
    let bytes: usize = request.messages.iter().map(|m| m.content.len()).sum();
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
}
