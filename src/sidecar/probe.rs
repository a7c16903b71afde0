//! Background tasks of a sidecar: engine load, cache release, expiry of answers; and probe replies.

use crate::ids::ProgramId;
use crate::protocol::engine::{CacheEvent, Engine};
use crate::protocol::link::{Digest, Reply};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::{Endpoint, Sidecar, lock};
use smol::Timer;
use std::time::{Duration, Instant};

/// Interval between reads of the engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads of the engine's cache events.
const EVENTS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between sweeps over queue, answers and caches.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Polls the engine's load. Does nothing for a service.
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

    /// Polls the engine's cache events. Does nothing for a service.
    ///
    /// This finds caches that an earlier incarnation left behind, so that they can be released.
    pub(crate) async fn watch_cache(self) {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            return;
        };
        let mut last_sequence = 0;
        loop {
            if let Ok(events) = engine.cache_events(last_sequence).await {
                self.record_cache_events(&events);
                last_sequence = events.last().map_or(last_sequence, |event| event.sequence);
            }
            Timer::after(EVENTS_INTERVAL).await;
        }
    }

    fn record_cache_events(&self, events: &[CacheEvent]) {
        let mut releases = lock(&self.0.cache_releases);
        for event in events.iter().filter(|event| event.held_tokens > 0) {
            releases.add_reported(Instant::now(), event.program);
        }
    }

    /// Records that owners have confirmed these programs as alive.
    pub(crate) fn confirm(&self, programs: &[ProgramId]) {
        let mut releases = lock(&self.0.cache_releases);
        for program in programs {
            releases.confirm(Instant::now(), *program);
        }
    }

    /// Periodically expires queued calls and answers, and releases caches that are due.
    pub(crate) async fn sweep(self) {
        loop {
            Timer::after(SWEEP_INTERVAL).await;
            self.0.queue.expire();
            self.expire_answers();
            self.release_due_caches().await;
        }
    }

    /// Stops calls without a reader for the orphan timeout, and removes expired answers.
    fn expire_answers(&self) {
        let config = &self.0.config;
        lock(&self.0.generations).retain(|_, generation| {
            let idle = generation.output.idle_time();
            if generation.output.result().is_some() {
                return idle < config.answer_retention;
            }
            if idle >= config.orphan_timeout {
                generation.stop();
            }
            true
        });
    }

    async fn release_due_caches(&self) {
        let due = lock(&self.0.cache_releases).take_due(Instant::now());
        for program in due {
            self.release_at_engine(program).await;
        }
    }

    /// Stops a program's calls and releases its cache. Retries later if the engine fails.
    pub(crate) async fn release_cache(&self, program: ProgramId) -> Reply {
        self.stop_program(program);
        lock(&self.0.cache_releases).release(Instant::now(), program);
        self.release_at_engine(program).await
    }

    async fn release_at_engine(&self, program: ProgramId) -> Reply {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            return Reply::CachedTokens { tokens: 0 };
        };
        match engine.release(program).await {
            Ok(tokens) => {
                lock(&self.0.cache_releases).on_release_answer(program, tokens);
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

    /// Returns this sidecar's digest in reply to a probe.
    pub(crate) fn answer_probe(&self, _digest: &Digest) -> Digest {
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
