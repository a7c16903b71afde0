//! Generations: from the queue through the engine into a text that owners follow.

use crate::coordination::admission::Cost;
use crate::coordination::cache::CacheReleases;
use crate::ids::{CallId, ProgramId};
use crate::protocol::engine::{
    Engine, EngineError, EngineEvent, EngineStream, EngineUsage, GenerateRequest,
};
use crate::protocol::link::{Generate, Tokens};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::queue::Slot;
use crate::sidecar::{Endpoint, Sidecar, Text, lock};
use crate::transport::replay::Run;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Timer;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often a stream is opened again before the call fails.
const REOPENS_MAX: u32 = 4;

/// Pause before a stream is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// A generation under way or kept for reading again.
#[derive(Clone)]
pub(crate) struct Generation {
    /// Its program.
    pub(crate) program: ProgramId,
    /// Its text.
    pub(crate) text: Text,
    stop: Sender<()>,
}

impl Generation {
    /// Stops the generation if it runs.
    pub(crate) fn stop(&self) {
        self.stop.close();
    }
}

/// What is known when a generation is whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Whole {
    /// Token counts.
    pub(crate) usage: EngineUsage,
    /// Time in the queue.
    pub(crate) queued: Duration,
    /// Time in the engine.
    pub(crate) ran: Duration,
}

/// Why a generation did not become whole.
enum Failure {
    Stopped,
    Engine(EngineError),
    Stalled,
}

impl Failure {
    fn refusal(self) -> Refusal {
        match self {
            Self::Stopped => Refusal::not_run(RefusalCode::Ended, "The call was cancelled."),
            Self::Stalled => failed("The engine stopped sending."),
            Self::Engine(e) => failed(&e.to_string()),
        }
    }
}

/// A failed generation changed nothing that anybody can see, so that it may run elsewhere.
fn failed(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::EndpointFailed, message)
}

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Returns the generation of a call, starting it if it is new.
    pub(crate) fn generation(&self, generate: Generate) -> Result<Generation, Refusal> {
        self.check_fence(generate.partition, generate.epoch)?;
        let call = generate.request.call;
        let mut generations = lock(&self.0.generations);
        if let Some(known) = generations.get(&call) {
            return Ok(known.clone());
        }
        self.check_open()?;
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            let message = "The endpoint is no engine.";
            return Err(Refusal::not_run(RefusalCode::NoEndpoint, message));
        };
        let (stop, stopped) = async_channel::bounded(1);
        let generation = Generation {
            program: generate.request.program,
            text: Text::new(),
            stop,
        };
        generation.text.start(self.name_run());
        generations.insert(call, generation.clone());
        let run = self
            .clone()
            .run(engine.clone(), generate, generation.clone(), stopped);
        self.0.spawner.spawn(run);
        Ok(generation)
    }

    /// Names a new run of this sidecar.
    fn name_run(&self) -> Run {
        Run {
            id: fastrand::u64(1..),
            place: self.0.config.node.clone(),
        }
    }

    /// Notes that the engine computes for a program, until the guard is dropped.
    fn hold(&self, program: ProgramId) -> Holding<'_> {
        lock(&self.0.releases).begin_call(Instant::now(), program);
        Holding {
            releases: &self.0.releases,
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
        let stopping = async {
            let _ = stopped.recv().await;
            Err(Failure::Stopped.refusal())
        };
        let result = self
            .queue_and_stream(&engine, generate, &generation)
            .or(stopping)
            .await;
        if result.is_err() {
            // The engine may still generate, also when it does not answer now.
            self.0.spawner.spawn(self.clone().cancel(engine, call));
        }
        generation.text.finish(result);
    }

    async fn cancel(self, engine: E, call: CallId) {
        for _ in 0..REOPENS_MAX {
            if engine.cancel(call).await.is_ok() {
                return;
            }
            Timer::after(REOPEN_PAUSE).await;
        }
        log::warn!(target: "sidecar", "sidecar: engine did not take a cancel");
    }

    async fn queue_and_stream(
        &self,
        engine: &E,
        generate: Generate,
        generation: &Generation,
    ) -> Result<Whole, Refusal> {
        let request = generate.request;
        let uncached = prompt_tokens(&request).saturating_sub(generate.expected_cached_tokens);
        let cost = Cost {
            uncached_tokens: uncached,
            max_tokens: request.max_tokens,
        };
        let priority = generate.priority;
        let entering = self
            .0
            .queue
            .enter(request.call, request.program, priority, cost);
        let mut slot = entering.await?;
        let queued = slot.waited();
        let _holding = self.hold(request.program);
        let started = Instant::now();
        let streamed = self.stream(engine, request, generation, &mut slot).await;
        slot.observed.ran = started.elapsed();
        let usage = streamed.map_err(Failure::refusal)?;
        slot.observed.uncached_tokens = usage.prompt_tokens - usage.cached_tokens;
        slot.observed.completion_tokens = usage.completion_tokens;
        Ok(Whole {
            usage,
            queued,
            ran: slot.observed.ran,
        })
    }

    /// Streams a generation, opening it again where it breaks or stalls.
    async fn stream(
        &self,
        engine: &E,
        request: GenerateRequest,
        generation: &Generation,
        slot: &mut Slot<'_>,
    ) -> Result<EngineUsage, Failure> {
        let call = request.call;
        let started = Instant::now();
        let mut opened = engine.generate(request.clone()).await;
        for _ in 0..REOPENS_MAX {
            let broken = match opened {
                Ok(stream) => match self.drain(stream, generation, slot, started).await {
                    Ok(usage) => return Ok(usage),
                    Err(failure) => failure,
                },
                Err(EngineError::Refused(why)) => {
                    return Err(Failure::Engine(EngineError::Refused(why)));
                }
                Err(e) => Failure::Engine(e),
            };
            if let Failure::Stalled = broken {
                log::info!(target: "sidecar", "sidecar: stream stalled, opening it again");
            }
            Timer::after(REOPEN_PAUSE).await;
            opened = engine.resume(call, generation.text.next_index()).await;
            if opened_unknown(&opened) && generation.text.next_index() == 0 {
                opened = engine.generate(request.clone()).await;
            }
        }
        match opened {
            Ok(_) => Err(Failure::Stalled),
            Err(e) => Err(Failure::Engine(e)),
        }
    }

    /// Reads one stream to its end, or until it breaks or stalls.
    async fn drain(
        &self,
        mut stream: E::Stream,
        generation: &Generation,
        slot: &mut Slot<'_>,
        started: Instant,
    ) -> Result<EngineUsage, Failure> {
        let mut last = None;
        loop {
            let limit = match last {
                None => self.0.config.first_token,
                Some(_) => self.0.config.token_gap,
            };
            let stalled = async {
                Timer::after(limit).await;
                Some(Err(Failure::Stalled))
            };
            let next = async { stream.next().await.map(|e| e.map_err(Failure::Engine)) };
            let event = next.or(stalled).await;
            let event = event.unwrap_or(Err(Failure::Engine(EngineError::Unknown)))?;
            match event {
                EngineEvent::Done(usage) => return Ok(usage),
                EngineEvent::Delta {
                    index,
                    tokens,
                    text,
                } => {
                    self.note_gap(&mut last, tokens, slot, started);
                    let part = Tokens {
                        index,
                        count: tokens,
                        text,
                    };
                    let pushed = generation.text.push(part);
                    pushed.map_err(|_| Failure::Engine(EngineError::Unknown))?;
                }
            }
        }
    }

    fn note_gap(
        &self,
        last: &mut Option<Instant>,
        tokens: u32,
        slot: &mut Slot<'_>,
        started: Instant,
    ) {
        let now = Instant::now();
        match *last {
            Some(before) => self.0.queue.token_gap((now - before) / tokens.max(1)),
            None if slot.observed.first_token.is_none() => {
                slot.observed.first_token = Some(now - started);
                slot.first_token();
            }
            None => {}
        }
        *last = Some(now);
    }
}

/// A call of a program that the engine runs.
struct Holding<'a> {
    releases: &'a Mutex<CacheReleases>,
    program: ProgramId,
}

impl Drop for Holding<'_> {
    fn drop(&mut self) {
        lock(self.releases).finish_call(Instant::now(), self.program);
    }
}

fn opened_unknown<T>(opened: &Result<T, EngineError>) -> bool {
    matches!(opened, Err(EngineError::Unknown))
}

/// Bytes of text that make about one token.
const TOKEN_BYTES: usize = 4;

/// Estimates the tokens of a prompt.
pub(crate) fn prompt_tokens(request: &GenerateRequest) -> u32 {
    let bytes: usize = request.messages.iter().map(|m| m.content.len()).sum();
    u32::try_from(bytes / TOKEN_BYTES).unwrap_or(u32::MAX)
}
