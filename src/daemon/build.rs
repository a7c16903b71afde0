//! From settings to a node.

use super::Node;
use crate::adapter::{HttpEngine, HttpLog, HttpService, HttpVmList, HttpWeightStore};
use crate::coordination::admission::AdmissionConfig;
use crate::coordination::cache::ReleaseConfig;
use crate::coordination::commit::CommitLimits;
use crate::coordination::membership::MembershipConfig;
use crate::coordination::partition::PartitionConfig;
use crate::entry::{Entry, EntryConfig, Environments, ServedEnvironment};
use crate::environment::Environment;
use crate::ids::Incarnation;
use crate::protocol::link::Serving;
use crate::protocol::vms::NodeRole;
use crate::settings::{EndpointKind, EndpointSettings, PartitionSettings, Settings};
use crate::sidecar::{Endpoint, Sidecar, SidecarConfig};
use crate::transport::handshake::Identity;
use crate::transport::link::{Context as LinkContext, Timing, Traffic};
use crate::transport::spawn::Spawner;
use anyhow::Context;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Nodes of each role that an entry probes in one round.
const PROBES: usize = 3;

/// Longest wait for a commit before a turn is answered as pending.
const COMMIT_PATIENCE: Duration = Duration::from_secs(3);

/// Longest time that one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// How long a sidecar keeps an answer for reading again.
const KEEP_ANSWERS: Duration = Duration::from_secs(60);

/// How long a sidecar runs a call that no owner reads.
const ORPHAN_AFTER: Duration = Duration::from_secs(15);

/// Threads of a daemon's own executor; HTTP has others.
pub(super) fn threads(settings: &Settings) -> usize {
    match settings.node.role {
        NodeRole::Entry => 2,
        NodeRole::Sidecar => 1,
    }
}

/// What every part of a node is made from.
pub(super) struct Build<'a> {
    settings: &'a Settings,
    spawner: Spawner,
    incarnation: Incarnation,
    traffic: Arc<Traffic>,
}

impl<'a> Build<'a> {
    /// Draws the run's number and keeps the rest.
    pub(super) fn new(settings: &'a Settings, spawner: Spawner) -> Self {
        Self {
            settings,
            spawner,
            incarnation: draw_incarnation(),
            traffic: Arc::default(),
        }
    }

    /// Returns the counter of the links' bytes.
    pub(super) fn traffic(&self) -> Arc<Traffic> {
        self.traffic.clone()
    }

    /// Makes the node that the settings describe and starts its tasks.
    pub(super) fn node(&self) -> anyhow::Result<Node> {
        match self.settings.node.role {
            NodeRole::Entry => Ok(Node::Entry(self.entry()?)),
            NodeRole::Sidecar => Ok(Node::Sidecar(self.sidecar()?)),
        }
    }

    /// Returns what the links that others dial need.
    pub(super) fn link_context<S>(&self, server: S) -> LinkContext<S> {
        LinkContext {
            identity: Identity {
                node: self.settings.node.name.clone(),
                incarnation: self.incarnation,
                secret: self.settings.secret.bytes().into(),
            },
            timing: self.timing(),
            spawner: self.spawner.clone(),
            server,
            traffic: self.traffic.clone(),
        }
    }

    fn timing(&self) -> Timing {
        let timing = &self.settings.timing;
        Timing {
            heartbeat: Duration::from_millis(timing.link_ping_ms),
            deadline: Duration::from_millis(timing.link_silence_ms),
            redial_max: Duration::from_millis(timing.redial_ms),
            ..Timing::default()
        }
    }

    fn entry(&self) -> anyhow::Result<Entry<HttpLog>> {
        let settings = self.settings;
        let log_url = settings.platform.log_url.as_deref();
        let log_url = log_url.context("an entry needs the log's address")?;
        let timeout = Duration::from_millis(settings.timing.log_timeout_ms);
        let log = HttpLog::new(log_url, timeout);
        let environments = Environments::default();
        let entry = Entry::start(self.entry_config(), log, environments, self.spawner.clone());
        for (node, address) in &settings.entries {
            entry.add_node(node, NodeRole::Entry, &address.to_string(), "");
        }
        for (node, address) in &settings.peers {
            entry.add_node(node, NodeRole::Sidecar, &address.to_string(), "");
        }
        if let Some(url) = &settings.platform.vms_url {
            entry.watch_vms(HttpVmList::new(url, timeout));
        }
        if let Some(url) = &settings.platform.weights_url {
            entry.watch_placement(HttpWeightStore::new(url, timeout));
        }
        Ok(entry)
    }

    fn entry_config(&self) -> EntryConfig {
        let settings = self.settings;
        let timing = &settings.timing;
        EntryConfig {
            node: settings.node.name.clone(),
            incarnation: self.incarnation,
            failure_domain: settings.node.failure_domain.clone(),
            secret: settings.secret.bytes().into(),
            traffic: self.traffic.clone(),
            partitions: settings.partition.count,
            partition: self.partition_config(),
            link: self.timing(),
            membership: MembershipConfig {
                suspect_after: Duration::from_millis(timing.suspect_after_ms),
                failed_after: Duration::from_millis(timing.failed_after_ms),
                ..MembershipConfig::default()
            },
            probe_interval: Duration::from_millis(timing.probe_interval_ms),
            probes_per_round: PROBES,
            vms_interval: Duration::from_millis(timing.vms_interval_ms),
            call_timeout: CALL_LIMIT,
            commit_timeout: COMMIT_PATIENCE,
            idle_timeout: Duration::from_secs(settings.partition.idle_program_s),
            open_calls_max: settings.limits.open_calls,
        }
    }

    fn partition_config(&self) -> PartitionConfig {
        let settings = self.settings;
        let default = PartitionConfig::default();
        PartitionConfig {
            commit: CommitLimits {
                append_interval: append_interval(&settings.partition),
                backlog_bytes: settings.limits.backlog_bytes,
                ..default.commit
            },
            retention: Duration::from_secs(settings.partition.retention_s),
            ended_retention: Duration::from_secs(settings.partition.ended_program_s),
            cache_bytes: settings.limits.history_cache_bytes
                / usize::from(settings.partition.count),
            log_timeout: Duration::from_millis(settings.timing.log_timeout_ms),
            ..default
        }
    }

    fn sidecar(&self) -> anyhow::Result<Sidecar<HttpEngine, HttpService>> {
        let settings = self.settings;
        let endpoint = settings.endpoint.as_ref();
        let endpoint = endpoint.context("a sidecar needs an endpoint")?;
        let timing = &settings.timing;
        let config = SidecarConfig {
            node: settings.node.name.clone(),
            incarnation: self.incarnation,
            admission: AdmissionConfig {
                max_queued_calls: settings.limits.queued_calls,
                ..AdmissionConfig::default()
            },
            first_token_timeout: Duration::from_millis(timing.first_token_ms),
            token_gap_timeout: Duration::from_millis(timing.token_gap_ms),
            service_timeout: Duration::from_millis(timing.service_timeout_ms),
            answer_retention: KEEP_ANSWERS,
            orphan_timeout: ORPHAN_AFTER,
            serving: serving(endpoint),
            releases: ReleaseConfig {
                unconfirmed_timeout: Duration::from_millis(timing.confirm_lapse_ms),
                ..ReleaseConfig::default()
            },
        };
        if endpoint.kind == EndpointKind::Engine && !endpoint.checks_fencing {
            log::info!(target: "sidecar", "sidecar: orders are fenced here alone");
        }
        let timeout = Duration::from_millis(timing.log_timeout_ms);
        let connected = match endpoint.kind {
            EndpointKind::Engine => Endpoint::Engine(HttpEngine::new(&endpoint.url, timeout)),
            EndpointKind::Service => Endpoint::Service(HttpService::new(
                &endpoint.url,
                Duration::from_millis(timing.service_timeout_ms),
            )),
        };
        Ok(Sidecar::start(config, connected, self.spawner.clone()))
    }
}

/// Returns the time between two appends to one partition's stream: all partitions together, whoever
/// owns them, stay within the deployment's appends.
fn append_interval(settings: &PartitionSettings) -> Duration {
    let least = Duration::from_millis(settings.append_interval_ms);
    let share = Duration::from_secs(1) * u32::from(settings.count) / settings.appends_per_s.max(1);
    least.max(share)
}

/// Puts environments in force that are not in the log.
pub(super) fn adopt(entry: &Entry<HttpLog>, environments: Vec<Environment>) {
    let served = environments.into_iter().map(|document| ServedEnvironment {
        document: Arc::new(document),
        production: true,
    });
    let version = entry.environments().version();
    entry.environments().update(version, served.collect());
}

fn serving(endpoint: &EndpointSettings) -> Serving {
    match endpoint.kind {
        EndpointKind::Engine => {
            let first_version = |model: &String| (model.clone(), 1);
            Serving::Models(endpoint.models.iter().map(first_version).collect())
        }
        EndpointKind::Service => Serving::Service(endpoint.service.clone()),
    }
}

/// Draws the number of a run: later runs have higher ones as long as clocks do not go back.
fn draw_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis() as u64;
    (now_ms << RANDOM_BITS) | fastrand::u64(..1 << RANDOM_BITS)
}

/// Random bits of a run's number.
const RANDOM_BITS: u32 = 16;
