//! Status report of the system from this entry's point of view.

use crate::coordination::membership::{Node, NodeState};
use crate::coordination::partition::{LogHealth, PartitionHandle};
use crate::entry::{Entry, lock, unix_ms};
use crate::ids::Partition;
use crate::protocol::log::Log;
use crate::protocol::operator::{NodeStatus, PartitionStatus, StatusAnswer};
use crate::protocol::vms::NodeRole;
use std::time::Instant;

impl<L: Log> Entry<L> {
    pub(super) fn status(&self) -> StatusAnswer {
        let backlogs = self.0.partitions.iter().map(PartitionHandle::backlog);
        let (entries, bytes) = backlogs.fold((0, 0), |sum, backlog| {
            (sum.0 + backlog.0, sum.1 + backlog.1)
        });
        StatusAnswer {
            node: self.0.config.node.clone(),
            at_ms: unix_ms(),
            configuration: self.0.environments.version(),
            log_down_ms: self.log_down_ms(),
            backlog_entries: entries,
            backlog_bytes: bytes,
            nodes: self.node_statuses(),
            partitions: self.partition_statuses(),
        }
    }

    fn log_down_ms(&self) -> Option<u64> {
        let outages = self
            .0
            .partitions
            .iter()
            .filter_map(|handle| match handle.log_health() {
                LogHealth::Up => None,
                LogHealth::Down { since } => Some(since.elapsed().as_millis() as u64),
            });
        outages.max()
    }

    fn node_statuses(&self) -> Vec<NodeStatus> {
        let now = Instant::now();
        let membership = lock(&self.0.membership);
        let others = membership.nodes().map(|(name, node)| {
            let state = membership.state(now, name).unwrap_or(NodeState::Failed);
            node_status(now, name, node, state)
        });
        let mut nodes: Vec<_> = std::iter::once(self.own_status()).chain(others).collect();
        nodes.sort_by(|a, b| (a.role as u8, &a.node).cmp(&(b.role as u8, &b.node)));
        nodes
    }

    fn own_status(&self) -> NodeStatus {
        let config = &self.0.config;
        NodeStatus {
            node: config.node.clone(),
            role: NodeRole::Entry,
            failure_domain: config.failure_domain.clone(),
            state: if self.is_leaving() { "leaving" } else { "live" }.to_string(),
            heard_ms: 0,
            configuration: self.0.environments.version(),
            queued: 0,
            running: self.open_calls() as u32,
            cap: config.open_calls_max as u32,
            cache_used_tokens: 0,
            cache_total_tokens: 0,
            models: Vec::new(),
        }
    }

    fn partition_statuses(&self) -> Vec<PartitionStatus> {
        let handles = self.0.partitions.iter().zip(0..);
        handles
            .map(|(handle, partition): (_, Partition)| {
                let epoch = handle.epoch();
                let known_owner = lock(&self.0.membership).owner(partition).cloned();
                let own_name = epoch.map(|_| self.0.config.node.clone());
                PartitionStatus {
                    partition,
                    owner: own_name.or(known_owner),
                    epoch,
                    programs: epoch.map(|_| handle.with_state(|s| s.programs().count())),
                }
            })
            .collect()
    }
}

fn node_status(now: Instant, name: &str, node: &Node, state: NodeState) -> NodeStatus {
    let load = node.load.clone().unwrap_or_default();
    let state = match state {
        NodeState::Live => "live",
        NodeState::Suspect => "suspect",
        NodeState::Leaving => "leaving",
        NodeState::Failed => "failed",
    };
    NodeStatus {
        node: name.to_string(),
        role: node.role,
        failure_domain: node.failure_domain.clone(),
        state: state.to_string(),
        heard_ms: now.saturating_duration_since(node.last_heard).as_millis() as u64,
        configuration: node.configuration,
        queued: load.queued,
        running: load.running,
        cap: load.cap,
        cache_used_tokens: load.engine.cache_used_tokens,
        cache_total_tokens: load.engine.cache_total_tokens,
        models: load.engine.models,
    }
}
