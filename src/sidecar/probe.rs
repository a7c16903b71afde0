//! Background work of a sidecar: the engine's load, cache to release, answers to forget.

use crate::ids::ProgramId;
use crate::protocol::engine::{CacheEvent, Engine};
use crate::protocol::link::{Digest, Reply};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::{Endpoint, Sidecar, lock};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time between two reads of the engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the engine's cache events.
const EVENTS_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Reads the engine's load again and again.
    pub(crate) async fn watch_load(self) {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            return;
        };
        loop {
            if let Ok(load) = engine.load().await {
                *lock(&self.0.engine_load) = load;
            }
            Timer::after(LOAD_INTERVAL).await;
        }
    }

    /// Reads the engine's cache events, so that caches of an earlier run are found and released.
    pub(crate) async fn watch_cache(self) {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            return;
        };
        let mut last = 0;
        loop {
            if let Ok(events) = engine.cache_events(last).await {
                self.take_events(&events);
                last = events.last().map_or(last, |event| event.sequence);
            }
            Timer::after(EVENTS_INTERVAL).await;
        }
    }

    fn take_events(&self, events: &[CacheEvent]) {
        let mut releases = lock(&self.0.releases);
        for event in events.iter().filter(|event| event.held_tokens > 0) {
            releases.add_reported(Instant::now(), event.program);
        }
    }

    /// Notes that owners know these programs to be alive.
    pub(crate) fn confirm(&self, programs: &[ProgramId]) {
        let mut releases = lock(&self.0.releases);
        for program in programs {
            releases.confirm(Instant::now(), *program);
        }
    }

    pub(crate) async fn sweep(self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            self.0.queue.expire();
            self.forget_answers();
            self.release_due().await;
        }
    }

    /// Stops calls that nobody reads and forgets old answers.
    fn forget_answers(&self) {
        let config = &self.0.config;
        lock(&self.0.generations).retain(|_, generation| {
            let idle = generation.text.idle();
            if generation.text.end().is_some() {
                return idle < config.keep_answers;
            }
            if idle >= config.orphan_after {
                generation.stop();
            }
            true
        });
    }

    async fn release_due(&self) {
        let due = lock(&self.0.releases).take_due(Instant::now());
        for program in due {
            self.release_now(program).await;
        }
    }

    /// Frees a program's cache; what the engine does not agree to now is tried again.
    pub(crate) async fn release(&self, program: ProgramId) -> Reply {
        self.stop_program(program);
        lock(&self.0.releases).release(Instant::now(), program);
        self.release_now(program).await
    }

    async fn release_now(&self, program: ProgramId) -> Reply {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            return Reply::CachedTokens { tokens: 0 };
        };
        match engine.release(program).await {
            Ok(tokens) => {
                lock(&self.0.releases).on_release_answer(program, tokens);
                Reply::CachedTokens { tokens }
            }
            Err(e) => Reply::Refused(Refusal::unknown(RefusalCode::EndpointFailed, e.to_string())),
        }
    }

    fn stop_program(&self, program: ProgramId) {
        for generation in lock(&self.0.generations).values() {
            if generation.program == program {
                generation.stop();
            }
        }
    }

    /// Answers a probe.
    pub(crate) fn probe(&self, _digest: &Digest) -> Digest {
        let config = &self.0.config;
        Digest {
            node: config.node.clone(),
            incarnation: config.incarnation,
            leaving: self.is_leaving(),
            configuration: self.0.configuration.version(),
            load: Some(self.load()),
            serving: Some(config.serving.clone()),
            ..Digest::default()
        }
    }
}
