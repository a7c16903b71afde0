//! Load reports, cache events, releases and faults.

use super::event::Event;
use super::{Driver, domain_of};
use crate::experiment::faults::ExperimentFault;
use crate::ids::ProgramId;
use crate::protocol::engine::CacheEvent;
use crate::protocol::link::SidecarLoad;
use std::time::Duration;

/// Time between two probes of an endpoint by an entry.
pub(super) const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Delay of load reports under [`ExperimentFault::LateLoads`].
const LATE: Duration = Duration::from_secs(2);

/// Time between two tries to release a cache.
const RELEASE_AGAIN: Duration = Duration::from_millis(200);

impl Driver<'_> {
    /// Probes an endpoint.
    pub(super) fn probe(&mut self, entry: usize, node: usize) {
        let again = self.now + PROBE_EVERY;
        self.schedule.add(again, Event::Probe { entry, node });
        let latency = self.latency(entry, node) * 2;
        let found = &mut self.nodes[node];
        if !found.alive {
            return;
        }
        let load = Box::new(found.load(self.now));
        let events = found.events(self.now, entry);
        let late = match self.cfg.fault {
            ExperimentFault::LateLoads => LATE,
            _ => Duration::ZERO,
        };
        let observe = Event::Observe {
            entry,
            node,
            load,
            events,
        };
        self.schedule.add(self.now + latency + late, observe);
    }

    /// Takes a probe's answer, or the load that rides on an answer.
    pub(super) fn observe(
        &mut self,
        entry: usize,
        node: usize,
        load: &SidecarLoad,
        events: &[CacheEvent],
    ) {
        let router = &mut self.entries[entry];
        router.observe(self.now, node, load);
        router.events(self.now, node, events);
    }

    /// Tells the engines that hold the cache of a program that it is over.
    pub(super) fn release_caches(&mut self, entry: usize, program: ProgramId) {
        let holders = self.entries[entry].end(program);
        if !self.releases() {
            return;
        }
        for node in holders {
            let at = self.now + self.latency(entry, node);
            self.schedule.add(at, Event::Release { node, program });
        }
    }

    /// Releases a cache, again and again until the engine holds nothing.
    pub(super) fn release(&mut self, node: usize, program: ProgramId) {
        let found = &mut self.nodes[node];
        let Some(engine) = &mut found.engine else {
            return;
        };
        if engine.release(program, self.now) > 0 {
            let release = Event::Release { node, program };
            self.schedule.add(self.now + RELEASE_AGAIN, release);
        }
    }

    /// Brings the fault about.
    pub(super) fn strike(&mut self) {
        match self.cfg.fault {
            ExperimentFault::Dead => self.kill(0),
            ExperimentFault::Slow => self.nodes[0].speed = 0.1,
            ExperimentFault::DomainLost => self.kill_domain(),
            _ => (),
        }
    }

    fn kill_domain(&mut self) {
        let lost = domain_of(self.deployment, 0);
        for node in 0..self.nodes.len() {
            if domain_of(self.deployment, node) == lost {
                self.kill(node);
            }
        }
    }

    /// Takes the counts of the engines' ledger; what is still held counts as not used again.
    pub(super) fn count_caches(&mut self) {
        for node in &mut self.nodes {
            if let Some(engine) = &mut node.engine {
                for (program, _) in engine.cached_programs() {
                    engine.release(program, self.now);
                }
            }
        }
        let counts = self.ledger.counts();
        self.stats.prompt_tokens = counts.prompt_tokens;
        self.stats.recomputed_tokens = counts.recomputed_tokens;
        self.stats.unused_token_s = counts.unused_token_s;
    }
}
