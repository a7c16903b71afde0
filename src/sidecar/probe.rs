//! Background work of a sidecar: the engine's load, cache to release, answers to forget.

use crate::ids::ProgramId;
use crate::protocol::engine::{Engine, EngineOrder};
use crate::protocol::link::{Digest, Reply};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::{Endpoint, Sidecar, lock};
use smol::Timer;
use std::time::Duration;

/// Time between two reads of the engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

impl<E: Engine, S: Service> Sidecar<E, S> {
    pub(crate) async fn watch_engine(self) {
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
        let due = lock(&self.0.memory).due(self.0.config.confirm_lapse);
        for program in due {
            self.release(program).await;
        }
    }

    /// Frees a program's cache; what the engine does not agree to now is tried again.
    pub(crate) async fn release(&self, program: ProgramId) -> Reply {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            return Reply::Held { tokens: 0 };
        };
        lock(&self.0.memory).release(program);
        self.stop_program(program);
        match engine.release(program).await {
            Ok(0) => {
                lock(&self.0.memory).forget(program);
                Reply::Held { tokens: 0 }
            }
            Ok(tokens) => Reply::Held { tokens },
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

    /// Passes an order on if its fencing number is not old.
    pub(crate) async fn order(&self, order: EngineOrder, fence: u64) -> Reply {
        let Endpoint::Engine(engine) = &self.0.endpoint else {
            let message = "The endpoint is no engine.";
            return Reply::Refused(Refusal::not_run(RefusalCode::NoEndpoint, message));
        };
        match engine.order(order, fence).await {
            Ok(()) => Reply::Done,
            Err(e) => Reply::Refused(Refusal::unknown(RefusalCode::EndpointFailed, e.to_string())),
        }
    }

    /// Answers a probe.
    pub(crate) fn probe(&self, _digest: &Digest) -> Digest {
        let config = &self.0.config;
        Digest {
            node: config.node.clone(),
            incarnation: config.incarnation,
            leaving: self.is_leaving(),
            load: Some(self.load()),
            serving: Some(config.serving.clone()),
            ..Digest::default()
        }
    }
}
