//! Events and their schedule in virtual time.

use crate::ids::{CallId, ProgramId};
use crate::protocol::engine::{CacheEvent, EngineUsage};
use crate::protocol::link::SidecarLoad;
use crate::protocol::refusal::Refusal;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

/// Event at a point in virtual time.
pub(super) enum Event {
    /// A program arrives.
    Arrive(usize),
    /// A branch resumes after a pause.
    Resume {
        /// The program.
        program: usize,
        /// The branch.
        branch: usize,
    },
    /// An entry selects an endpoint for a call.
    Submit(CallId),
    /// A call arrives at a sidecar.
    Deliver(Attempt),
    /// An engine completes a step.
    Step(usize),
    /// A service completes a call.
    ServiceDone(Attempt),
    /// An entry receives a complete answer.
    Answer {
        /// Attempt that was answered.
        attempt: Attempt,
        /// Token counts; zero for a service.
        usage: EngineUsage,
        /// Load report attached to the answer.
        load: Box<SidecarLoad>,
    },
    /// An entry learns that an attempt has failed.
    Failed(Attempt),
    /// An entry receives the refusal of a sidecar.
    Refused {
        /// Attempt that was refused.
        attempt: Attempt,
        /// Reason and retry delay.
        refusal: Refusal,
    },
    /// An entry probes an endpoint.
    Probe {
        /// The entry.
        entry: usize,
        /// The endpoint.
        node: usize,
    },
    /// An entry receives the answer to a probe.
    Observe {
        /// The entry.
        entry: usize,
        /// The endpoint.
        node: usize,
        /// Load report.
        load: Box<SidecarLoad>,
        /// Cache events that are new to the entry.
        events: Vec<CacheEvent>,
    },
    /// A sidecar receives the request to release a program's cache.
    Release {
        /// The endpoint.
        node: usize,
        /// The program.
        program: ProgramId,
    },
    /// A program's deadline passes.
    Deadline(usize),
    /// The configured fault occurs.
    InjectFault,
}

/// Attempt to run a call on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// Call that is attempted.
    pub(crate) call: CallId,
    /// Number of the attempt, from 1.
    pub(crate) number: u32,
    /// Index of the endpoint.
    pub(crate) node: usize,
}

/// Event with its time and its position among events of the same time.
struct Scheduled {
    at: Instant,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Queue of future events, ordered by time. Events of the same time keep the order in which they
/// were added, so that runs are reproducible.
#[derive(Default)]
pub(super) struct Schedule {
    heap: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl Schedule {
    /// Adds an event.
    pub(super) fn add(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence: self.sequence,
            event,
        }));
    }

    /// Removes and returns the next event; `None` if the queue is empty.
    pub(super) fn next(&mut self) -> Option<(Instant, Event)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
