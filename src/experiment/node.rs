//! One endpoint with its sidecar, driven in virtual time.

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

/// Calls that a service runs at a time.
pub(crate) const SERVICE_CALLS: u32 = 16;

/// What an endpoint runs.
pub(crate) enum Work {
    /// A generation.
    Generate(Box<GenerateRequest>),
    /// A service call that takes so long.
    Serve(Duration),
}

/// A call that waits at a sidecar.
pub(crate) struct Arrived {
    /// The call and its number of sendings.
    pub(crate) attempt: Attempt,
    /// What it does.
    pub(crate) work: Work,
}

/// A call for a sidecar.
pub(crate) struct Offer {
    /// The call and its work.
    pub(crate) arrived: Arrived,
    /// The program.
    pub(crate) program: ProgramId,
    /// Where it stands among others.
    pub(crate) priority: Priority,
    /// The work it brings.
    pub(crate) cost: Cost,
}

/// The queue before an endpoint.
enum Queue {
    /// First come, first served, up to a fixed number in the endpoint.
    Fifo {
        waiting: VecDeque<Arrived>,
        running: u32,
        cap: u32,
    },
    /// The product's.
    Ordered(Box<Admission<Arrived>>),
}

/// An endpoint and the queue before it.
pub(crate) struct Node {
    queue: Queue,
    /// The engine; `None` for a service.
    pub(crate) engine: Option<Box<Batch>>,
    /// Calls handed over.
    pub(crate) live: Vec<Attempt>,
    /// Whether a step of the engine is scheduled.
    pub(crate) stepping: bool,
    /// Share of its full speed.
    pub(crate) speed: f64,
    /// Whether it answers.
    pub(crate) alive: bool,
    /// Last cache event that each entry has read.
    events_read: HashMap<usize, u64>,
}

impl Node {
    /// Makes an endpoint with an engine, or a service.
    pub(crate) fn new(policy: Policy, engine: Option<Batch>) -> Self {
        let cfg = match engine {
            Some(_) => policy.admission(),
            None => policy.service_admission(SERVICE_CALLS),
        };
        let queue = if policy.is_product() {
            Queue::Ordered(Box::new(Admission::new(cfg)))
        } else {
            Queue::Fifo {
                waiting: VecDeque::new(),
                running: 0,
                cap: if engine.is_some() {
                    u32::MAX
                } else {
                    SERVICE_CALLS
                },
            }
        };
        Self {
            queue,
            engine: engine.map(Box::new),
            live: Vec::new(),
            stepping: false,
            speed: 1.0,
            alive: true,
            events_read: HashMap::new(),
        }
    }

    /// Takes a call.
    pub(crate) fn push(&mut self, now: Instant, offer: Offer) -> Result<(), Refusal> {
        match &mut self.queue {
            Queue::Fifo { waiting, .. } => {
                waiting.push_back(offer.arrived);
                Ok(())
            }
            Queue::Ordered(admission) => admission.push(
                now,
                PendingCall {
                    call: offer.arrived.attempt.call,
                    program: offer.program,
                    priority: offer.priority,
                    cost: offer.cost,
                    item: offer.arrived,
                },
            ),
        }
    }

    /// Hands the next call over.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Arrived> {
        match &mut self.queue {
            Queue::Fifo {
                waiting,
                running,
                cap,
            } => {
                if *running >= *cap {
                    return None;
                }
                let next = waiting.pop_front()?;
                *running += 1;
                Some(next)
            }
            Queue::Ordered(admission) => admission.pop(now),
        }
    }

    /// Stops a call, waiting or running.
    pub(crate) fn cancel(&mut self, now: Instant, call: CallId) {
        let was_live = self.live.iter().any(|other| other.call == call);
        self.live.retain(|other| other.call != call);
        if let Some(engine) = &mut self.engine {
            engine.cancel(call, now);
        }
        match &mut self.queue {
            Queue::Fifo {
                waiting, running, ..
            } => {
                waiting.retain(|other| other.attempt.call != call);
                if was_live {
                    *running -= 1;
                }
            }
            Queue::Ordered(admission) => {
                admission.cancel(call);
            }
        }
    }

    /// Notes a first token.
    pub(crate) fn first_token(&mut self, now: Instant, call: CallId) {
        if let Queue::Ordered(admission) = &mut self.queue {
            admission.first_token(now, call);
        }
    }

    /// Notes the time between two tokens.
    pub(crate) fn token_gap(&mut self, now: Instant, gap: Duration) {
        if let Queue::Ordered(admission) = &mut self.queue {
            admission.token_gap(now, gap);
        }
    }

    /// Notes the end of a call.
    pub(crate) fn finish(&mut self, now: Instant, call: CallId, observed: CallObservation) {
        match &mut self.queue {
            Queue::Fifo { running, .. } => *running -= 1,
            Queue::Ordered(admission) => admission.finish(now, call, observed),
        }
    }

    /// Returns the load that the sidecar reports.
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

    /// Reads the cache events that are new to an entry.
    pub(crate) fn events(&mut self, now: Instant, entry: usize) -> Vec<CacheEvent> {
        let Some(engine) = &self.engine else {
            return Vec::new();
        };
        let read = self.events_read.entry(entry).or_default();
        let events = engine.events(*read, now);
        if let Some(last) = events.last() {
            *read = last.sequence;
        }
        events
    }
}
