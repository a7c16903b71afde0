//! The sidecar process: schedules the calls to its endpoint and retains their answers.

mod action;
mod generation;
mod lifetime;
mod orders;
mod pace;
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
use crate::sidecar::lifetime::{CrashedActions, EndpointLifetimes};
use crate::sidecar::pace::EndpointPace;
use crate::sidecar::queue::AdmissionQueue;
use crate::state::kept::PendingEntries;
use crate::transport::spawn::Spawner;
use event_listener::Event;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum memory for replicas of pending log entries.
const PENDING_MAX_BYTES: usize = 16 << 20;

/// Endpoint that a sidecar serves.
#[derive(Clone)]
pub(crate) enum Endpoint<E, S> {
    /// A model engine.
    Engine(E),
    /// A tool service.
    Service(S),
}

/// Configuration of a sidecar process.
#[derive(Clone, Debug)]
pub(crate) struct SidecarConfig {
    /// Unique name of the node, and of its endpoint.
    pub(crate) node: EndpointId,
    /// Number of this run of the process.
    pub(crate) incarnation: Incarnation,
    /// Configuration of the admission queue.
    pub(crate) admission: AdmissionConfig,
    /// Maximum wait for an engine's first token.
    pub(crate) first_token_timeout: Duration,
    /// Maximum gap between two tokens.
    pub(crate) token_gap_timeout: Duration,
    /// Maximum wait for a service's answer.
    pub(crate) service_timeout: Duration,
    /// Time for which a finished answer can be read again after its last read.
    pub(crate) answer_retention: Duration,
    /// Time after which a call stops if nobody reads its answer.
    pub(crate) orphan_timeout: Duration,
    /// Models or service that the endpoint serves.
    pub(crate) serving: Serving,
    /// Timeouts and limits for the release of caches.
    pub(crate) releases: ReleaseConfig,
}

/// Handle of a sidecar process. Clones share the same state.
pub(crate) struct Sidecar<E, S>(Arc<Inner<E, S>>);

impl<E, S> Clone for Sidecar<E, S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Invariants:
/// - `fences` holds the highest epoch seen for each partition. Lower epochs are refused.
/// - `order_fence` stays locked while an order is in flight, so that the engine gets orders
///   one at a time.
struct Inner<E, S> {
    config: SidecarConfig,
    endpoint: Endpoint<E, S>,
    spawner: Spawner,
    queue: AdmissionQueue,
    pace: EndpointPace,
    generations: Mutex<HashMap<CallId, Generation>>,
    dispatches: Mutex<DispatchTable>,
    action_finished: Event,
    lifetimes: EndpointLifetimes,
    crashed_actions: Mutex<CrashedActions>,
    fences: Mutex<HashMap<Partition, Epoch>>,
    order_fence: smol::lock::Mutex<OrderFence>,
    cache_releases: Mutex<CacheReleases>,
    pending: Mutex<PendingEntries>,
    engine_load: Mutex<EngineLoad>,
    leaving: AtomicBool,
    configuration: ConfigurationCell,
}

/// Replayable token stream of a generation and its final result.
type GenerationOutput =
    crate::transport::replay::ReplayBuffer<Tokens, Result<generation::GenerationSummary, Refusal>>;

impl<E: Engine, S: Service> Sidecar<E, S> {
    /// Creates a sidecar and starts its background tasks.
    pub(crate) fn start(config: SidecarConfig, endpoint: Endpoint<E, S>, spawner: Spawner) -> Self {
        let sidecar = Self(Arc::new(Inner {
            queue: AdmissionQueue::new(config.admission.clone()),
            pace: EndpointPace::default(),
            endpoint,
            spawner: spawner.clone(),
            generations: Mutex::default(),
            dispatches: Mutex::new(DispatchTable::new(
                config.incarnation,
                DispatchLimits::default(),
            )),
            action_finished: Event::new(),
            lifetimes: EndpointLifetimes::new(&config.node, config.incarnation),
            crashed_actions: Mutex::default(),
            fences: Mutex::default(),
            order_fence: smol::lock::Mutex::default(),
            cache_releases: Mutex::new(CacheReleases::new(config.releases)),
            pending: Mutex::new(PendingEntries::new(PENDING_MAX_BYTES)),
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

    /// Starts shutdown: refuses new work, while queued and running calls continue.
    pub(crate) fn leave(&self) {
        self.0.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of queued and running calls.
    pub(crate) fn open_calls(&self) -> usize {
        let generations = lock(&self.0.generations);
        let open = generations.values().filter(|g| g.output.result().is_none());
        open.count() + self.0.queue.open_service_calls()
    }

    /// Returns the configuration version that this sidecar holds.
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

    /// Refuses a request of an owner whose partition has a newer owner, and records newer epochs.
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

    fn check_not_leaving(&self) -> Result<(), Refusal> {
        if self.is_leaving() {
            let message = "The endpoint is leaving.";
            return Err(Refusal::not_run(RefusalCode::NoEndpoint, message));
        }
        Ok(())
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one task does not spread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
