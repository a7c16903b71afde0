//! Endpoint with its sidecar in virtual time.

use super::driver::Attempt;
use super::policy::Policy;
use crate::coordination::admission::{Admission, CallObservation, Cost, PendingCall};
use crate::ids::{CallId, ProgramId};
use crate::protocol::engine::{CacheEvent, GenerateRequest};
use crate::protocol::link::{Priority, SidecarLoad};
use crate::protocol::refusal::Refusal;
use crate::standin::engine::batch::Batch;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of calls that a service processes concurrently.
pub(crate) const SERVICE_CONCURRENCY: u32 = 16;

/// Work of an endpoint for a call.
pub(crate) enum Work {
    /// Model call.
    Generate(Box<GenerateRequest>),
    /// Service call, with its processing time.
    Serve(Duration),
}

/// Call in the queue of a sidecar.
pub(crate) struct QueuedCall {
    /// Attempt that brought the call to the sidecar.
    pub(crate) attempt: Attempt,
    /// Work for the endpoint.
    pub(crate) work: Work,
}

/// Call that arrives at a sidecar.
pub(crate) struct IncomingCall {
    /// Call as it is put into the queue.
    pub(crate) queued: QueuedCall,
    /// Program of the call.
    pub(crate) program: ProgramId,
    /// Priority in the queue.
    pub(crate) priority: Priority,
    /// Estimated cost.
    pub(crate) cost: Cost,
}

/// Queue in front of an endpoint.
enum Queue {
    /// First in, first out, with a fixed limit of running calls; used by the baseline policies.
    Fifo {
        waiting: VecDeque<QueuedCall>,
        running: u32,
        max_running: u32,
    },
    /// Admission queue of galenapick.
    Ordered(Box<Admission<QueuedCall>>),
}

/// Endpoint and the queue in front of it.
pub(crate) struct Node {
    queue: Queue,
    /// Model of the engine; `None` for a service.
    pub(crate) engine: Option<Box<Batch>>,
    /// Calls dispatched to the endpoint and not finished.
    pub(crate) dispatched: Vec<Attempt>,
    /// Whether the end of an engine step is scheduled.
    pub(crate) is_step_scheduled: bool,
    /// Speed as a share of full speed, from 0 to 1.
    pub(crate) speed: f64,
    /// Whether the endpoint is up.
    pub(crate) is_alive: bool,
    /// Sequence number of the last cache event that each entry has read.
    last_event_read: HashMap<usize, u64>,
}

impl Node {
    /// Creates an endpoint: an engine if one is given, otherwise a server of the service.
    pub(crate) fn new(policy: Policy, engine: Option<Batch>) -> Self {
        let cfg = match engine {
            Some(_) => policy.admission(),
            None => policy.service_admission(SERVICE_CONCURRENCY),
        };
        let queue = if policy.is_galenapick() {
            Queue::Ordered(Box::new(Admission::new(cfg)))
        } else {
            Queue::Fifo {
                waiting: VecDeque::new(),
                running: 0,
                max_running: if engine.is_some() {
                    u32::MAX
                } else {
                    SERVICE_CONCURRENCY
                },
            }
        };
        Self {
            queue,
            engine: engine.map(Box::new),
            dispatched: Vec::new(),
            is_step_scheduled: false,
            speed: 1.0,
            is_alive: true,
            last_event_read: HashMap::new(),
        }
    }

    /// Queues a call, or returns the refusal of the admission queue.
    pub(crate) fn push(&mut self, now: Instant, incoming: IncomingCall) -> Result<(), Refusal> {
        match &mut self.queue {
            Queue::Fifo { waiting, .. } => {
                waiting.push_back(incoming.queued);
                Ok(())
            }
            Queue::Ordered(admission) => admission.push(
                now,
                PendingCall {
                    call: incoming.queued.attempt.call,
                    program: incoming.program,
                    priority: incoming.priority,
                    cost: incoming.cost,
                    item: incoming.queued,
                },
            ),
        }
    }

    /// Removes the next call that may be dispatched; `None` if there is none.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<QueuedCall> {
        match &mut self.queue {
            Queue::Fifo {
                waiting,
                running,
                max_running,
            } => {
                if *running >= *max_running {
                    return None;
                }
                let next = waiting.pop_front()?;
                *running += 1;
                Some(next)
            }
            Queue::Ordered(admission) => admission.pop(now),
        }
    }

    /// Cancels a queued or running call.
    pub(crate) fn cancel(&mut self, now: Instant, call: CallId) {
        let was_dispatched = self.dispatched.iter().any(|other| other.call == call);
        self.dispatched.retain(|other| other.call != call);
        if let Some(engine) = &mut self.engine {
            engine.cancel(call, now);
        }
        match &mut self.queue {
            Queue::Fifo {
                waiting, running, ..
            } => {
                waiting.retain(|other| other.attempt.call != call);
                if was_dispatched {
                    *running -= 1;
                }
            }
            Queue::Ordered(admission) => {
                admission.cancel(call);
            }
        }
    }

    /// Records the first token of a call.
    pub(crate) fn record_first_token(&mut self, now: Instant, call: CallId) {
        if let Queue::Ordered(admission) = &mut self.queue {
            admission.record_first_token(now, call);
        }
    }

    /// Records the time between two tokens.
    pub(crate) fn record_token_gap(&mut self, now: Instant, gap: Duration) {
        if let Queue::Ordered(admission) = &mut self.queue {
            admission.record_token_gap(now, gap);
        }
    }

    /// Records the end of a call.
    pub(crate) fn record_finished(
        &mut self,
        now: Instant,
        call: CallId,
        observation: CallObservation,
    ) {
        match &mut self.queue {
            Queue::Fifo { running, .. } => *running -= 1,
            Queue::Ordered(admission) => admission.finish(now, call, observation),
        }
    }

    /// Returns the current load report of the sidecar.
    pub(crate) fn load(&mut self, now: Instant) -> SidecarLoad {
        let mut load = match &self.queue {
            Queue::Fifo {
                waiting, running, ..
            } => SidecarLoad {
                queued: waiting.len() as u32,
                running: *running,
                ..SidecarLoad::default()
            },
            Queue::Ordered(admission) => admission.load(),
        };
        if let Some(engine) = &mut self.engine {
            load.engine = engine.load(now);
            load.engine.models.clear();
        }
        load
    }

    /// Returns the cache events that an entry has not read yet.
    pub(crate) fn new_events(&mut self, now: Instant, entry: usize) -> Vec<CacheEvent> {
        let Some(engine) = &self.engine else {
            return Vec::new();
        };
        let read = self.last_event_read.entry(entry).or_default();
        let events = engine.events(*read, now);
        if let Some(last) = events.last() {
            *read = last.sequence;
        }
        events
    }
}
