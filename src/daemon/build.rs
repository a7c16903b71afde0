//! Builds a node from the settings.

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
use crate::transport::link::{Context as LinkContext, LinkTiming, Traffic};
use crate::transport::spawn::Spawner;
use anyhow::Context;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of nodes of each role that an entry probes in one round.
const PROBES_PER_ROUND: usize = 3;

/// Longest wait for the commit of a turn before the turn is answered as pending.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a sidecar keeps a finished answer for readers.
const ANSWER_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a sidecar stops a call that no owner reads.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns the number of executor threads of a daemon. HTTP is served on other threads.
pub(super) fn executor_threads(settings: &Settings) -> usize {
    match settings.node.role {
        NodeRole::Entry => 2,
        NodeRole::Sidecar => 1,
    }
}

/// Builds the node and its links from the settings.
pub(super) struct NodeBuilder<'a> {
    settings: &'a Settings,
    spawner: Spawner,
    incarnation: Incarnation,
    traffic: Arc<Traffic>,
}

impl<'a> NodeBuilder<'a> {
    /// Creates a builder with a new incarnation number.
    pub(super) fn new(settings: &'a Settings, spawner: Spawner) -> Self {
        Self {
            settings,
            spawner,
            incarnation: new_incarnation(),
            traffic: Arc::default(),
        }
    }

    /// Returns the byte counters of the links.
    pub(super) fn traffic(&self) -> Arc<Traffic> {
        self.traffic.clone()
    }

    /// Builds the node that the settings describe and starts its tasks.
    pub(super) fn build_node(&self) -> anyhow::Result<Node> {
        match self.settings.node.role {
            NodeRole::Entry => Ok(Node::Entry(self.build_entry()?)),
            NodeRole::Sidecar => Ok(Node::Sidecar(self.build_sidecar()?)),
        }
    }

    /// Returns the context for accepted links.
    pub(super) fn link_context<S>(&self, handler: S) -> LinkContext<S> {
        LinkContext {
            identity: Identity {
                node: self.settings.node.name.clone(),
                incarnation: self.incarnation,
                secret: self.settings.secret.bytes().into(),
            },
            timing: self.link_timing(),
            spawner: self.spawner.clone(),
            handler,
            traffic: self.traffic.clone(),
        }
    }

    fn link_timing(&self) -> LinkTiming {
        let timing = &self.settings.timing;
        LinkTiming {
            heartbeat_interval: Duration::from_millis(timing.link_ping_ms),
            silence_timeout: Duration::from_millis(timing.link_silence_ms),
            max_redial_backoff: Duration::from_millis(timing.redial_ms),
            ..LinkTiming::default()
        }
    }

    fn build_entry(&self) -> anyhow::Result<Entry<HttpLog>> {
        let settings = self.settings;
        let log_url = settings.platform.log_url.as_deref();
        let log_url = log_url.context("an entry needs log_url in section [platform]")?;
        let timeout = Duration::from_millis(settings.timing.log_timeout_ms);
        let log = HttpLog::new(log_url, timeout);
        let environments = Environments::default();
        let entry = Entry::start(self.entry_config(), log, environments, self.spawner.clone());
        for (node, address) in &settings.entries {
            entry.add_node(node, NodeRole::Entry, &address.to_string(), "");
        }
        for (node, address) in &settings.sidecars {
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
            link: self.link_timing(),
            membership: MembershipConfig {
                suspect_after: Duration::from_millis(timing.suspect_after_ms),
                failed_after: Duration::from_millis(timing.failed_after_ms),
                ..MembershipConfig::default()
            },
            probe_interval: Duration::from_millis(timing.probe_interval_ms),
            probes_per_round: PROBES_PER_ROUND,
            vms_interval: Duration::from_millis(timing.vms_interval_ms),
            call_timeout: CALL_TIMEOUT,
            commit_timeout: COMMIT_TIMEOUT,
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

    fn build_sidecar(&self) -> anyhow::Result<Sidecar<HttpEngine, HttpService>> {
        let settings = self.settings;
        let endpoint = settings.endpoint.as_ref();
        let endpoint = endpoint.context("a sidecar needs the section [endpoint]")?;
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
            answer_retention: ANSWER_RETENTION,
            orphan_timeout: ORPHAN_TIMEOUT,
            serving: serving(endpoint),
            releases: ReleaseConfig {
                unconfirmed_timeout: Duration::from_millis(timing.confirm_lapse_ms),
                ..ReleaseConfig::default()
            },
        };
        if endpoint.kind == EndpointKind::Engine && !endpoint.checks_fencing {
            log::info!(target: "sidecar", "sidecar: the engine does not check fencing numbers; only this sidecar rejects outdated orders");
        }
        let timeout = Duration::from_millis(timing.log_timeout_ms);
        let endpoint_client = match endpoint.kind {
            EndpointKind::Engine => Endpoint::Engine(HttpEngine::new(&endpoint.url, timeout)),
            EndpointKind::Service => Endpoint::Service(HttpService::new(
                &endpoint.url,
                Duration::from_millis(timing.service_timeout_ms),
            )),
        };
        Ok(Sidecar::start(
            config,
            endpoint_client,
            self.spawner.clone(),
        ))
    }
}

/// Returns the interval between two appends to the stream of one partition. With it, all partitions of
/// the deployment together stay within `appends_per_s`, whichever nodes own them.
fn append_interval(settings: &PartitionSettings) -> Duration {
    let min_interval = Duration::from_millis(settings.append_interval_ms);
    let rate_interval =
        Duration::from_secs(1) * u32::from(settings.count) / settings.appends_per_s.max(1);
    min_interval.max(rate_interval)
}

/// Puts environments in force that are not in the log. All are treated as promoted to production.
pub(super) fn serve_environments(entry: &Entry<HttpLog>, environments: Vec<Environment>) {
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
            // The settings do not contain versions, so loaded models are reported as version 1.
            let first_version = |model: &String| (model.clone(), 1);
            Serving::Models(endpoint.models.iter().map(first_version).collect())
        }
        EndpointKind::Service => Serving::Service(endpoint.service.clone()),
    }
}

/// Returns a new incarnation number: the time in milliseconds followed by random bits. Later
/// incarnations of a node have higher numbers as long as its clock does not go back.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.unwrap_or_default().as_millis() as u64;
    (now_ms << RANDOM_BITS) | fastrand::u64(..1 << RANDOM_BITS)
}

/// Number of random bits in an incarnation number.
const RANDOM_BITS: u32 = 16;
