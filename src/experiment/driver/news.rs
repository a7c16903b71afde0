//! Probes, load reports, cache releases and faults.

use super::event::Event;
use super::{Driver, domain_of};
use crate::experiment::faults::ExperimentFault;
use crate::ids::ProgramId;
use crate::protocol::engine::CacheEvent;
use crate::protocol::link::SidecarLoad;
use std::time::Duration;

/// Interval at which an entry probes an endpoint.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Additional delay of load reports under [`ExperimentFault::LateLoads`].
const LATE_REPORT_DELAY: Duration = Duration::from_secs(2);

/// Interval between two attempts to release a cache.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl Driver<'_> {
    /// Probes an endpoint and schedules the next probe. Dead endpoints do not answer.
    pub(super) fn probe_endpoint(&mut self, entry: usize, node: usize) {
        let next_probe = self.now + PROBE_INTERVAL;
        self.schedule.add(next_probe, Event::Probe { entry, node });
        let latency = self.latency(entry, node) * 2;
        let target = &mut self.nodes[node];
        if !target.is_alive {
            return;
        }
        let load = Box::new(target.load(self.now));
        let events = target.new_events(self.now, entry);
        let report_delay = match self.cfg.fault {
            ExperimentFault::LateLoads => LATE_REPORT_DELAY,
            _ => Duration::ZERO,
        };
        let observe = Event::Observe {
            entry,
            node,
            load,
            events,
        };
        self.schedule
            .add(self.now + latency + report_delay, observe);
    }

    /// Applies the load and cache events from a probe, or the load attached to an answer.
    pub(super) fn observe_load(
        &mut self,
        entry: usize,
        node: usize,
        load: &SidecarLoad,
        events: &[CacheEvent],
    ) {
        let router = &mut self.entries[entry];
        router.update_load(self.now, node, load);
        router.apply_cache_events(self.now, node, events);
    }

    /// Requests the release of an ended program's cache from the engines that hold it.
    pub(super) fn release_caches(&mut self, entry: usize, program: ProgramId) {
        let holders = self.entries[entry].remove_program(program);
        if !self.sends_releases() {
            return;
        }
        for node in holders {
            let at = self.now + self.latency(entry, node);
            self.schedule.add(at, Event::Release { node, program });
        }
    }

    /// Releases a program's cache, and schedules another attempt if the engine still held tokens.
    pub(super) fn release_cache(&mut self, node: usize, program: ProgramId) {
        let target = &mut self.nodes[node];
        let Some(engine) = &mut target.engine else {
            return;
        };
        if engine.release(program, self.now) > 0 {
            let release = Event::Release { node, program };
            self.schedule
                .add(self.now + RELEASE_RETRY_INTERVAL, release);
        }
    }

    /// Injects the configured fault, if it is one that occurs at a point in time.
    pub(super) fn inject_fault(&mut self) {
        match self.cfg.fault {
            ExperimentFault::Dead => self.kill(0),
            ExperimentFault::Slow => self.nodes[0].speed = 0.1,
            ExperimentFault::DomainLost => self.kill_domain(),
            _ => (),
        }
    }

    fn kill_domain(&mut self) {
        let failed_domain = domain_of(self.deployment, 0);
        for node in 0..self.nodes.len() {
            if domain_of(self.deployment, node) == failed_domain {
                self.kill(node);
            }
        }
    }

    /// Copies the token counts of the engines into the statistics. Tokens that are still cached are
    /// released first, so that they count as unused.
    pub(super) fn collect_cache_counts(&mut self) {
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
