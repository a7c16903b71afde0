//! The sidecar: the process beside an endpoint that orders its calls and keeps their answers.

mod action;
mod generation;
mod orders;
mod probe;
mod queue;
mod serve;
#[cfg(test)]
mod tests;

use crate::configuration::ConfigurationCell;
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::cache::{CacheReleases, ReleaseConfig};
use crate::coordination::dispatch::{DispatchLimits, DispatchTable};
use crate::coordination::fence::OrderFence;
use crate::ids::{CallId, EndpointId, Epoch, Incarnation, Partition};
use crate::protocol::engine::{Engine, EngineLoad};
use crate::protocol::link::{Serving, SidecarLoad, Tokens};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::protocol::service::Service;
use crate::sidecar::generation::Generation;
use crate::sidecar::queue::Queue;
use crate::state::kept::PendingEntries;
use crate::transport::spawn::Spawner;
use event_listener::Event;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Memory for entries that the log has not taken.
const KEPT_MAX_BYTES: usize = 16 << 20;

/// What stands beside the sidecar.
#[derive(Clone)]
pub(crate) enum Endpoint<E, S> {
    /// A model engine.
    Engine(E),
    /// A plain service.
    Service(S),
}

/// Settings of a sidecar.
#[derive(Clone, Debug)]
pub(crate) struct SidecarConfig {
    /// Its name, also the endpoint's.
    pub(crate) node: EndpointId,
    /// This run of it.
    pub(crate) incarnation: Incarnation,
    /// The queue.
    pub(crate) admission: AdmissionConfig,
    /// Longest wait for an engine's first token.
    pub(crate) first_token: Duration,
    /// Longest wait between two tokens.
    pub(crate) token_gap: Duration,
    /// Longest wait for a service's answer.
    pub(crate) service_timeout: Duration,
    /// How long an answer can be read again after its end.
    pub(crate) keep_answers: Duration,
    /// How long a call runs on when nobody reads its answer.
    pub(crate) orphan_after: Duration,
    /// What the endpoint serves.
    pub(crate) serving: Serving,
    /// When caches are released.
    pub(crate) releases: ReleaseConfig,
}

/// A sidecar. Clones are the same one.
pub(crate) struct Sidecar<E, S>(Arc<Inner<E, S>>);

impl<E, S> Clone for Sidecar<E, S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Invariant: `fences` holds the highest epoch heard of for each partition; a lower one is refused.
/// `newest_order` is locked while an order is under way, so that orders reach the engine in turn.
struct Inner<E, S> {
    config: SidecarConfig,
    endpoint: Endpoint<E, S>,
    spawner: Spawner,
    queue: Queue,
    generations: Mutex<HashMap<CallId, Generation>>,
    dispatches: Mutex<DispatchTable>,
    action_over: Event,
    fences: Mutex<HashMap<Partition, Epoch>>,
    newest_order: smol::lock::Mutex<OrderFence>,
    releases: Mutex<CacheReleases>,
    kept: Mutex<PendingEntries>,
    engine_load: Mutex<EngineLoad>,
    leaving: AtomicBool,
    configuration: ConfigurationCell,
}

/// The text of an answer as the sidecar keeps it.
type Text = crate::transport::replay::Replay<Tokens, Result<generation::Whole, Refusal>>;

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Makes a sidecar and starts its background tasks.
    pub(crate) fn start(config: SidecarConfig, endpoint: Endpoint<E, S>, spawner: Spawner) -> Self {
        let sidecar = Self(Arc::new(Inner {
            queue: Queue::new(config.admission.clone()),
            endpoint,
            spawner: spawner.clone(),
            generations: Mutex::default(),
            dispatches: Mutex::new(DispatchTable::new(
                config.incarnation,
                DispatchLimits::default(),
            )),
            action_over: Event::new(),
            fences: Mutex::default(),
            newest_order: smol::lock::Mutex::default(),
            releases: Mutex::new(CacheReleases::new(config.releases)),
            kept: Mutex::new(PendingEntries::new(KEPT_MAX_BYTES)),
            engine_load: Mutex::default(),
            leaving: AtomicBool::new(false),
            configuration: ConfigurationCell::default(),
            config,
        }));
        spawner.spawn(sidecar.clone().watch_load());
        spawner.spawn(sidecar.clone().watch_cache());
        spawner.spawn(sidecar.clone().sweep());
        sidecar
    }

    /// Takes no new work from now on; what runs goes on.
    pub(crate) fn leave(&self) {
        self.0.leaving.store(true, Ordering::Relaxed);
    }

    /// Counts the calls that wait or run.
    pub(crate) fn open_calls(&self) -> usize {
        let generations = lock(&self.0.generations);
        let open = generations.values().filter(|g| g.text.end().is_none());
        open.count() + self.0.queue.open_actions()
    }

    /// Returns the configuration version in force here.
    pub(crate) fn configuration_version(&self) -> crate::ids::Offset {
        self.0.configuration.version()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }

    fn load(&self) -> SidecarLoad {
        SidecarLoad {
            leaving: self.is_leaving(),
            engine: lock(&self.0.engine_load).clone(),
            ..self.0.queue.load()
        }
    }

    /// Refuses an owner that a newer one has replaced.
    fn check_fence(&self, partition: Partition, epoch: Epoch) -> Result<(), Refusal> {
        let mut fences = lock(&self.0.fences);
        let highest = fences.entry(partition).or_insert(epoch);
        if epoch < *highest {
            let message = "A newer owner has the partition.";
            return Err(Refusal::not_run(RefusalCode::NoOwner, message));
        }
        *highest = epoch;
        Ok(())
    }

    fn check_open(&self) -> Result<(), Refusal> {
        if self.is_leaving() {
            let message = "The endpoint is leaving.";
            return Err(Refusal::not_run(RefusalCode::NoEndpoint, message));
        }
        Ok(())
    }
}

/// Locks a mutex; a panic elsewhere does not spread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
