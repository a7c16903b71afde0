//! Asynchronous admission queue of a sidecar.

use crate::coordination::admission::{
    Admission, AdmissionConfig, CallObservation, Cost, PendingCall,
};
use crate::ids::{CallId, ProgramId};
use crate::protocol::link::{Priority, SidecarLoad};
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::sidecar::lock;
use async_channel::Sender;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Admission queue, and the count of running service calls.
///
/// Service calls do not wait in the queue.
pub(crate) struct AdmissionQueue {
    admission: Mutex<Admission<Sender<()>>>,
    service_calls: AtomicUsize,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub(crate) fn new(config: AdmissionConfig) -> Self {
        Self {
            admission: Mutex::new(Admission::new(config)),
            service_calls: AtomicUsize::new(0),
        }
    }

    /// Waits until a call is admitted. Dropping the returned slot releases it.
    ///
    /// Refuses with `Deadline` if the call's deadline passes in the queue.
    pub(crate) async fn wait_for_slot(
        &self,
        call: CallId,
        program: ProgramId,
        priority: Priority,
        cost: Cost,
    ) -> Result<AdmissionSlot<'_>, Refusal> {
        let (grant, granted) = async_channel::bounded(1);
        let waiting = PendingCall {
            call,
            program,
            priority,
            cost,
            item: grant,
        };
        lock(&self.admission).push(Instant::now(), waiting)?;
        let slot = AdmissionSlot {
            queue: self,
            call,
            entered: Instant::now(),
            observed: CallObservation::default(),
        };
        self.grant_ready();
        match granted.recv().await {
            Ok(()) => Ok(slot),
            Err(_) => Err(refuse_expired()),
        }
    }

    /// Removes queued calls whose deadline has passed. Their callers are refused.
    pub(crate) fn expire(&self) {
        drop(lock(&self.admission).expire(Instant::now()));
        self.grant_ready();
    }

    /// Records the time between two tokens of a stream, which adapts the cap on running calls.
    pub(crate) fn record_token_gap(&self, gap: Duration) {
        lock(&self.admission).record_token_gap(Instant::now(), gap);
    }

    /// Returns the load of the queue and of the running calls.
    pub(crate) fn load(&self) -> SidecarLoad {
        lock(&self.admission).load()
    }

    /// Returns the number of running service calls.
    pub(crate) fn open_service_calls(&self) -> usize {
        self.service_calls.load(Ordering::Relaxed)
    }

    /// Counts a service call as running until the guard is dropped.
    pub(crate) fn count_service_call(&self) -> ServiceCallGuard<'_> {
        self.service_calls.fetch_add(1, Ordering::Relaxed);
        ServiceCallGuard(self)
    }

    fn record_first_token(&self, call: CallId) {
        lock(&self.admission).record_first_token(Instant::now(), call);
        self.grant_ready();
    }

    fn release_slot(&self, call: CallId, observed: CallObservation) {
        let mut admission = lock(&self.admission);
        admission.finish(Instant::now(), call, observed);
        // A call that was never admitted is still queued.
        drop(admission.cancel(call));
        drop(admission);
        self.grant_ready();
    }

    fn grant_ready(&self) {
        let mut admission = lock(&self.admission);
        while let Some(grant) = admission.pop(Instant::now()) {
            // If the caller has gone, dropping its slot releases the admission again.
            let _ = grant.try_send(());
        }
    }
}

fn refuse_expired() -> Refusal {
    Refusal::not_run(RefusalCode::Deadline, "The deadline passed in the queue.")
}

/// Position of a call, first in the queue and then at the endpoint.
pub(crate) struct AdmissionSlot<'a> {
    queue: &'a AdmissionQueue,
    call: CallId,
    entered: Instant,
    /// Measurements that are reported when the slot is released.
    pub(crate) observed: CallObservation,
}

impl AdmissionSlot<'_> {
    /// Returns the time since the call was queued.
    pub(crate) fn waited(&self) -> Duration {
        self.entered.elapsed()
    }

    /// Records the arrival of the first token.
    pub(crate) fn record_first_token(&self) {
        self.queue.record_first_token(self.call);
    }
}

impl Drop for AdmissionSlot<'_> {
    fn drop(&mut self) {
        self.queue.release_slot(self.call, self.observed);
    }
}

/// Counts a service call as running until dropped.
pub(crate) struct ServiceCallGuard<'a>(&'a AdmissionQueue);

impl Drop for ServiceCallGuard<'_> {
    fn drop(&mut self) {
        self.0.service_calls.fetch_sub(1, Ordering::Relaxed);
    }
}
