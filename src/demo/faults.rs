//! Seeded fault injection while programs run.

use super::progress::Progress;
use crate::cluster::{ClusterNode, InProcess, LocalCluster};
use crate::daemon::Daemon;
use crate::protocol::vms::NodeRole;
use crate::standin::{EngineControl, LogControl, Outage, ServiceControl};
use smol::Timer;
use std::future::pending;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Delay before the first fault.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(300);

/// Upper bound of the time between two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 1_500;

/// Kind of fault. The displayed name appears in the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Fault {
    KillEntry,
    KillSidecar,
    SilenceLinks,
    SilenceCallers,
    CutLinks,
    StopLog,
    LoseAppendAnswers,
    DelayAppends,
    LoseServiceAnswers,
    HangService,
    SilenceEngine,
}

/// All kinds of fault. The order is fixed, so that a seed always selects the same faults.
const FAULTS: [Fault; 11] = [
    Fault::KillEntry,
    Fault::KillSidecar,
    Fault::SilenceLinks,
    Fault::SilenceCallers,
    Fault::CutLinks,
    Fault::StopLog,
    Fault::LoseAppendAnswers,
    Fault::DelayAppends,
    Fault::LoseServiceAnswers,
    Fault::HangService,
    Fault::SilenceEngine,
];

/// Record of the injected faults.
#[derive(Debug, Default)]
pub(super) struct FaultLog {
    lines: Mutex<Vec<String>>,
}

impl FaultLog {
    fn add(&self, line: String) {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    /// Returns a description of each fault, in the order of injection.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Injects random faults into a cluster.
pub(super) struct FaultInjector<'a> {
    rng: fastrand::Rng,
    cluster: &'a mut LocalCluster<InProcess>,
    log: &'a FaultLog,
    progress: &'a Progress,
    started_at: Instant,
    /// Nodes that were killed, with the time at which they are due for a restart.
    down_nodes: Vec<(Instant, String)>,
}

impl<'a> FaultInjector<'a> {
    pub(super) fn new(
        seed: u64,
        cluster: &'a mut LocalCluster<InProcess>,
        log: &'a FaultLog,
        progress: &'a Progress,
    ) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            cluster,
            log,
            progress,
            started_at: Instant::now(),
            down_nodes: Vec::new(),
        }
    }

    /// Injects faults until the future is dropped. It never completes.
    pub(super) async fn run<T>(&mut self) -> T {
        Timer::after(FIRST_FAULT_DELAY).await;
        loop {
            let fault = FAULTS[self.rng.usize(..FAULTS.len())];
            self.inject(fault).await;
            // The interval is often shorter than the fault, so that faults overlap.
            let interval_ms = self.rng.u64(..MAX_FAULT_INTERVAL_MS);
            Timer::after(Duration::from_millis(interval_ms)).await;
            if let Err(error) = self.restart_due_nodes(Instant::now()).await {
                self.record(format!("a node did not start again: {error}"));
                pending::<()>().await;
            }
        }
    }

    /// Ends an outage of the log and restarts all nodes that are down.
    pub(super) async fn clear_faults(&mut self) -> anyhow::Result<()> {
        let platform = &self.cluster.platform;
        platform
            .log
            .control(LogControl {
                outage: Some(Outage::None),
                ..LogControl::default()
            })
            .await;
        let Some(last_restart) = self.down_nodes.iter().map(|(at, _)| *at).max() else {
            return Ok(());
        };
        self.restart_due_nodes(last_restart).await
    }

    /// Restarts the nodes that are due at `now`.
    async fn restart_due_nodes(&mut self, now: Instant) -> anyhow::Result<()> {
        while let Some(index) = self.down_nodes.iter().position(|(at, _)| *at <= now) {
            let name = self.down_nodes[index].1.clone();
            self.cluster.start_node(&name).await?;
            // Removed only after the start. If the future is dropped earlier, the node stays due.
            self.down_nodes.remove(index);
            self.record(format!("{name} started again"));
        }
        Ok(())
    }

    async fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillEntry => self.kill(NodeRole::Entry, fault),
            Fault::KillSidecar => self.kill(NodeRole::Sidecar, fault),
            Fault::SilenceLinks => self.inject_node_fault(fault, |node| node.link.silence()),
            Fault::SilenceCallers => self.inject_node_fault(fault, |node| node.http.silence()),
            Fault::CutLinks => self.inject_node_fault(fault, |node| {
                node.link.cut();
                node.http.cut();
            }),
            Fault::StopLog | Fault::LoseAppendAnswers | Fault::DelayAppends => {
                self.inject_log_fault(fault).await;
            }
            Fault::LoseServiceAnswers | Fault::HangService => {
                self.inject_service_fault(fault).await
            }
            Fault::SilenceEngine => self.inject_engine_fault(fault).await,
        }
    }

    /// Kills a random running node of a role, if there is one.
    fn kill(&mut self, role: NodeRole, fault: Fault) {
        let names = self.cluster.names_with_role(role);
        let alive = |name: &&String| !self.down_nodes.iter().any(|(_, down)| down == *name);
        let alive: Vec<String> = names.iter().filter(alive).cloned().collect();
        if alive.is_empty() {
            return;
        }
        let name = alive[self.rng.usize(..alive.len())].clone();
        let downtime = Duration::from_millis(self.rng.u64(200..3_000));
        self.record(format!("{fault} {name} for {downtime:?}"));
        self.cluster.kill_node(&name);
        self.down_nodes.push((Instant::now() + downtime, name));
    }

    fn inject_node_fault(&mut self, fault: Fault, apply: impl FnOnce(&ClusterNode<Daemon>)) {
        let names = self.cluster.names();
        let name = &names[self.rng.usize(..names.len())];
        self.record(format!("{fault} {name}"));
        if let Some(node) = self.cluster.node(name) {
            apply(node);
        }
    }

    async fn inject_log_fault(&mut self, fault: Fault) {
        let duration_ms = self.rng.u64(200..4_000);
        let count = self.rng.u32(1..6);
        let outages = [Outage::Refuse, Outage::Hang, Outage::Error];
        let outage = outages[self.rng.usize(..outages.len())];
        let control = match fault {
            Fault::StopLog => LogControl {
                outage: Some(outage),
                outage_ms: Some(duration_ms),
                ..LogControl::default()
            },
            Fault::LoseAppendAnswers => LogControl {
                lose_answers: Some(count),
                ..LogControl::default()
            },
            _ => LogControl {
                delay_appends: Some(count),
                delay_ms: Some(duration_ms),
                ..LogControl::default()
            },
        };
        self.record(format!(
            "{fault}, {outage}, {duration_ms} ms, {count} appends"
        ));
        self.cluster.platform.log.control(control).await;
    }

    async fn inject_service_fault(&mut self, fault: Fault) {
        let count = self.rng.u32(1..4);
        let control = match fault {
            Fault::HangService => ServiceControl {
                hang_after: Some(count),
                hang_before: Some(self.rng.u32(0..2)),
                ..ServiceControl::default()
            },
            _ => ServiceControl {
                lose_answers: Some(count),
                cut_before: Some(self.rng.u32(0..2)),
                ..ServiceControl::default()
            },
        };
        self.record(format!("{fault}, {count} requests"));
        let services: Vec<_> = self.cluster.platform.services().collect();
        let service = services[self.rng.usize(..services.len())];
        service.control(control).await;
    }

    async fn inject_engine_fault(&mut self, fault: Fault) {
        self.record(fault.to_string());
        let engines: Vec<_> = self.cluster.platform.engines().collect();
        let engine = engines[self.rng.usize(..engines.len())];
        let control = EngineControl {
            silence: Some(true),
            ..EngineControl::default()
        };
        engine.control(control).await;
    }

    fn record(&self, description: String) {
        let at_s = self.started_at.elapsed().as_secs_f64();
        self.progress.print(&format!("fault: {description}"));
        self.log.add(format!("{at_s:.1} s: {description}"));
    }
}
