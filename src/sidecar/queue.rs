//! The admission queue with waiting callers.

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

/// Calls in the order in which the endpoint gets them.
pub(crate) struct Queue {
    admission: Mutex<Admission<Sender<()>>>,
    actions: AtomicUsize,
}

impl Queue {
    /// Makes an empty queue.
    pub(crate) fn new(config: AdmissionConfig) -> Self {
        Self {
            admission: Mutex::new(Admission::new(config)),
            actions: AtomicUsize::new(0),
        }
    }

    /// Waits for a call's turn. The returned slot is given back when dropped.
    pub(crate) async fn enter(
        &self,
        call: CallId,
        program: ProgramId,
        priority: Priority,
        cost: Cost,
    ) -> Result<Slot<'_>, Refusal> {
        let (turn, granted) = async_channel::bounded(1);
        let waiting = PendingCall {
            call,
            program,
            priority,
            cost,
            item: turn,
        };
        lock(&self.admission).push(Instant::now(), waiting)?;
        let slot = Slot {
            queue: self,
            call,
            entered: Instant::now(),
            observed: CallObservation::default(),
        };
        self.advance();
        match granted.recv().await {
            Ok(()) => Ok(slot),
            Err(_) => Err(expired()),
        }
    }

    /// Drops the waiting calls whose deadline has passed; their callers are refused.
    pub(crate) fn expire(&self) {
        drop(lock(&self.admission).expire(Instant::now()));
        self.advance();
    }

    /// Notes the time between two tokens of a stream.
    pub(crate) fn token_gap(&self, gap: Duration) {
        lock(&self.admission).token_gap(Instant::now(), gap);
    }

    /// Returns the load.
    pub(crate) fn load(&self) -> SidecarLoad {
        lock(&self.admission).load()
    }

    /// Counts service calls under way.
    pub(crate) fn open_actions(&self) -> usize {
        self.actions.load(Ordering::Relaxed)
    }

    /// Counts a service call until the guard is dropped.
    pub(crate) fn count_action(&self) -> ActionGuard<'_> {
        self.actions.fetch_add(1, Ordering::Relaxed);
        ActionGuard(self)
    }

    fn first_token(&self, call: CallId) {
        lock(&self.admission).first_token(Instant::now(), call);
        self.advance();
    }

    fn leave(&self, call: CallId, observed: CallObservation) {
        let mut admission = lock(&self.admission);
        admission.finish(Instant::now(), call, observed);
        // A call that never got its turn is still waiting.
        drop(admission.cancel(call));
        drop(admission);
        self.advance();
    }

    fn advance(&self) {
        let mut admission = lock(&self.admission);
        while let Some(turn) = admission.pop(Instant::now()) {
            // A caller that is not there any more gives the slot back by dropping it.
            let _ = turn.try_send(());
        }
    }
}

fn expired() -> Refusal {
    Refusal::not_run(RefusalCode::Deadline, "The deadline passed in the queue.")
}

/// A place in the queue, then at the endpoint.
pub(crate) struct Slot<'a> {
    queue: &'a Queue,
    call: CallId,
    entered: Instant,
    /// What is reported when the slot is given back.
    pub(crate) observed: CallObservation,
}

impl Slot<'_> {
    /// Returns the time since the call came.
    pub(crate) fn waited(&self) -> Duration {
        self.entered.elapsed()
    }

    /// Notes the first token.
    pub(crate) fn first_token(&self) {
        self.queue.first_token(self.call);
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.queue.leave(self.call, self.observed);
    }
}

/// Counts a service call.
pub(crate) struct ActionGuard<'a>(&'a Queue);

impl Drop for ActionGuard<'_> {
    fn drop(&mut self) {
        self.0.actions.fetch_sub(1, Ordering::Relaxed);
    }
}
