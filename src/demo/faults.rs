//! Seeded faults while the programs run.

use super::progress::Progress;
use crate::cluster::{ClusterNode, InProcess, LocalCluster};
use crate::daemon::Daemon;
use crate::protocol::vms::NodeRole;
use crate::standin::{EngineControl, LogControl, Outage, ServiceControl};
use smol::Timer;
use std::future::pending;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Wait before the first fault.
const FIRST_AFTER: Duration = Duration::from_millis(300);

/// Longest wait between two faults.
const LONGEST_WAIT_MS: u64 = 1_500;

/// A kind of fault.
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

/// All kinds, in the order in which a seed draws them.
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

/// The faults that were injected.
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

    /// The faults, in their order.
    pub(super) fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Injects faults.
pub(super) struct Chaos<'a> {
    rng: fastrand::Rng,
    cluster: &'a mut LocalCluster<InProcess>,
    log: &'a FaultLog,
    progress: &'a Progress,
    begun: Instant,
    /// Nodes that were killed, and when they are started again.
    dead: Vec<(Instant, String)>,
}

impl<'a> Chaos<'a> {
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
            begun: Instant::now(),
            dead: Vec::new(),
        }
    }

    /// Injects faults until it is dropped.
    pub(super) async fn run<T>(&mut self) -> T {
        Timer::after(FIRST_AFTER).await;
        loop {
            let fault = FAULTS[self.rng.usize(..FAULTS.len())];
            self.inject(fault).await;
            // Often the next one comes before this one is over.
            let wait = self.rng.u64(..LONGEST_WAIT_MS);
            Timer::after(Duration::from_millis(wait)).await;
            if let Err(error) = self.start_dead(Instant::now()).await {
                self.note(format!("a node did not start again: {error}"));
                pending::<()>().await;
            }
        }
    }

    /// Ends every fault.
    pub(super) async fn heal(&mut self) -> anyhow::Result<()> {
        let platform = &self.cluster.platform;
        platform
            .log
            .control(LogControl {
                outage: Some(Outage::None),
                ..LogControl::default()
            })
            .await;
        let Some(far) = self.dead.iter().map(|(at, _)| *at).max() else {
            return Ok(());
        };
        self.start_dead(far).await
    }

    /// Starts the nodes that are due again.
    async fn start_dead(&mut self, now: Instant) -> anyhow::Result<()> {
        while let Some(index) = self.dead.iter().position(|(at, _)| *at <= now) {
            let name = self.dead[index].1.clone();
            self.cluster.start_node(&name).await?;
            // Only now, so that nothing is forgotten when this is dropped while it waits.
            self.dead.remove(index);
            self.note(format!("{name} started again"));
        }
        Ok(())
    }

    async fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillEntry => self.kill(NodeRole::Entry, fault),
            Fault::KillSidecar => self.kill(NodeRole::Sidecar, fault),
            Fault::SilenceLinks => self.on_node(fault, |node| node.link.silence()),
            Fault::SilenceCallers => self.on_node(fault, |node| node.http.silence()),
            Fault::CutLinks => self.on_node(fault, |node| {
                node.link.cut();
                node.http.cut();
            }),
            Fault::StopLog | Fault::LoseAppendAnswers | Fault::DelayAppends => {
                self.on_log(fault).await;
            }
            Fault::LoseServiceAnswers | Fault::HangService => self.on_service(fault).await,
            Fault::SilenceEngine => self.on_engine(fault).await,
        }
    }

    /// Kills a node of a role that runs, unless it is the last.
    fn kill(&mut self, role: NodeRole, fault: Fault) {
        let names = self.cluster.names_of(role);
        let alive = |name: &&String| !self.dead.iter().any(|(_, dead)| dead == *name);
        let alive: Vec<String> = names.iter().filter(alive).cloned().collect();
        if alive.is_empty() {
            return;
        }
        let name = alive[self.rng.usize(..alive.len())].clone();
        let down = Duration::from_millis(self.rng.u64(200..3_000));
        self.note(format!("{fault} {name} for {down:?}"));
        self.cluster.kill_node(&name);
        self.dead.push((Instant::now() + down, name));
    }

    fn on_node(&mut self, fault: Fault, act: impl FnOnce(&ClusterNode<Daemon>)) {
        let names = self.cluster.names();
        let name = &names[self.rng.usize(..names.len())];
        self.note(format!("{fault} {name}"));
        if let Some(node) = self.cluster.node(name) {
            act(node);
        }
    }

    async fn on_log(&mut self, fault: Fault) {
        let time_ms = self.rng.u64(200..4_000);
        let count = self.rng.u32(1..6);
        let kinds = [Outage::Refuse, Outage::Hang, Outage::Error];
        let outage = kinds[self.rng.usize(..kinds.len())];
        let control = match fault {
            Fault::StopLog => LogControl {
                outage: Some(outage),
                outage_ms: Some(time_ms),
                ..LogControl::default()
            },
            Fault::LoseAppendAnswers => LogControl {
                lose_answers: Some(count),
                ..LogControl::default()
            },
            _ => LogControl {
                delay_appends: Some(count),
                delay_ms: Some(time_ms),
                ..LogControl::default()
            },
        };
        self.note(format!("{fault}, {outage}, {time_ms} ms, {count} appends"));
        self.cluster.platform.log.control(control).await;
    }

    async fn on_service(&mut self, fault: Fault) {
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
        self.note(format!("{fault}, {count} requests"));
        let services: Vec<_> = self.cluster.platform.services().collect();
        let service = services[self.rng.usize(..services.len())];
        service.control(control).await;
    }

    async fn on_engine(&mut self, fault: Fault) {
        self.note(fault.to_string());
        let engines: Vec<_> = self.cluster.platform.engines().collect();
        let engine = engines[self.rng.usize(..engines.len())];
        let control = EngineControl {
            silence: Some(true),
            ..EngineControl::default()
        };
        engine.control(control).await;
    }

    fn note(&self, what: String) {
        let at_s = self.begun.elapsed().as_secs_f64();
        self.progress.say(&format!("fault: {what}"));
        self.log.add(format!("{at_s:.1} s: {what}"));
    }
}
