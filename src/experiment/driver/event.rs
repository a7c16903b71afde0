//! Events in virtual time.

use crate::ids::{CallId, ProgramId};
use crate::protocol::engine::{CacheEvent, EngineUsage};
use crate::protocol::link::SidecarLoad;
use crate::protocol::refusal::Refusal;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

/// What happens at a point of time.
pub(super) enum Event {
    /// A program begins.
    Arrive(usize),
    /// A branch goes on.
    Resume {
        /// The program.
        program: usize,
        /// The branch.
        branch: usize,
    },
    /// An entry looks for an endpoint for a call.
    Submit(CallId),
    /// A call comes to a sidecar.
    Deliver(Attempt),
    /// An engine's step is over.
    Step(usize),
    /// A service call is over.
    Served(Attempt),
    /// An entry gets a whole answer.
    Answer {
        /// The call.
        attempt: Attempt,
        /// Token counts; zero for a service.
        usage: EngineUsage,
        /// The load that rides on the answer.
        load: Box<SidecarLoad>,
    },
    /// An entry learns that a call has failed.
    Failed(Attempt),
    /// An entry gets a sidecar's refusal.
    Refused {
        /// The call.
        attempt: Attempt,
        /// Why.
        refusal: Refusal,
    },
    /// An entry probes an endpoint.
    Probe {
        /// The entry.
        entry: usize,
        /// The endpoint.
        node: usize,
    },
    /// An entry gets a probe's answer.
    Observe {
        /// The entry.
        entry: usize,
        /// The endpoint.
        node: usize,
        /// Its load.
        load: Box<SidecarLoad>,
        /// Its new cache events.
        events: Vec<CacheEvent>,
    },
    /// A sidecar is told to release a program's cache.
    Release {
        /// The endpoint.
        node: usize,
        /// The program.
        program: ProgramId,
    },
    /// A program's deadline passes.
    Lapse(usize),
    /// The fault strikes.
    Strike,
}

/// One sending of a call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    /// The call.
    pub(crate) call: CallId,
    /// 1 for the first.
    pub(crate) number: u32,
    /// The endpoint.
    pub(crate) node: usize,
}

/// An event with its time.
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

/// Events to come; those of one time come in the order of their scheduling.
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

    /// Takes the next event.
    pub(super) fn next(&mut self) -> Option<(Instant, Event)> {
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
