//! Membership: which nodes are live, suspect, failed or leaving, judged by probes, peers' digests
//! and the platform's list of VMs.
//!
//! The result is only a hint. If two nodes disagree, that costs time but never correctness.

use crate::ids::{Epoch, FailureDomain, Incarnation, NodeId, Offset, Partition};
use crate::protocol::link::{Digest, Heard, SidecarLoad};
use crate::protocol::vms::{NodeRole, Vm, VmState};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of [`Membership`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time without an answer after which a node is suspect.
    pub suspect_after: Duration,
    /// Time without an answer after which a node counts as failed.
    pub failed_after: Duration,
    /// Maximum number of other nodes reported in one digest.
    pub max_heard: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(1_500),
            failed_after: Duration::from_millis(2_500),
            max_heard: 8,
        }
    }
}

/// Believed state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum NodeState {
    /// It answers probes in time.
    Live,
    /// It has not answered for [`MembershipConfig::suspect_after`].
    Suspect,
    /// It has not answered for [`MembershipConfig::failed_after`].
    Failed,
    /// It or the platform has announced that it will stop.
    Leaving,
}

/// Another node, as this one knows it.
///
/// Invariants: `last_heard` never decreases within one incarnation. `unanswered_since` is the time
/// of the first probe sent after `last_heard`.
#[derive(Clone, Debug)]
pub struct Node {
    /// Role of the node.
    pub role: NodeRole,
    /// Address on which it accepts links.
    pub address: String,
    /// Failure domain of the node; empty if unknown.
    pub failure_domain: FailureDomain,
    /// Incarnation of the node; 0 before its first heartbeat.
    pub incarnation: Incarnation,
    /// Time of its last heartbeat. Before the first, the time at which it was added.
    pub last_heard: Instant,
    /// Time of the first probe that is still unanswered.
    pub unanswered_since: Option<Instant>,
    /// Time of the last probe.
    last_probed: Option<Instant>,
    /// Whether it has announced that it will stop.
    pub leaving: bool,
    /// Configuration version that it runs.
    pub configuration: Offset,
    /// Its last reported load, if it is a sidecar.
    pub load: Option<SidecarLoad>,
    /// Whether it is in the settings and is therefore never removed.
    is_configured: bool,
}

/// This node's view of all other nodes.
///
/// ```
/// use galenapick::protocol::vms::NodeRole;
/// use galenapick::{Membership, MembershipConfig, NodeState};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let cfg = MembershipConfig::default();
/// let mut members = Membership::new("entry-1", 1, cfg);
/// members.add(now, "entry-2", NodeRole::Entry, "127.0.0.1:7001", "a");
/// assert_eq!(members.pick_probe_targets(now, NodeRole::Entry, 1), ["entry-2"]);
/// assert_eq!(members.state(now, "entry-2"), Some(NodeState::Live));
/// assert_eq!(members.state(now + cfg.failed_after, "entry-2"), Some(NodeState::Failed));
/// ```
pub struct Membership {
    node: NodeId,
    incarnation: Incarnation,
    config: MembershipConfig,
    nodes: HashMap<NodeId, Node>,
    owners: HashMap<Partition, (NodeId, Epoch)>,
    heard_cursor: usize,
}

impl Membership {
    /// Creates a view without other nodes.
    pub fn new(node: &str, incarnation: Incarnation, config: MembershipConfig) -> Self {
        Self {
            node: node.to_string(),
            incarnation,
            config,
            nodes: HashMap::new(),
            owners: HashMap::new(),
            heard_cursor: 0,
        }
    }

    /// Adds a node from the settings. It counts as heard from at `now`.
    pub fn add(&mut self, now: Instant, node: &str, role: NodeRole, address: &str, domain: &str) {
        if node == self.node {
            return;
        }
        let new = new_node(now, role, address, domain, true);
        self.nodes.insert(node.to_string(), new);
    }

    /// Merges the platform's list of VMs, which may be out of date. Returns the nodes that were
    /// removed: those that are neither listed nor in the settings and have failed.
    pub fn merge_vms(&mut self, now: Instant, vms: &[Vm]) -> Vec<NodeId> {
        for vm in vms.iter().filter(|vm| vm.node != self.node) {
            let node = self
                .nodes
                .entry(vm.node.clone())
                .or_insert_with(|| new_node(now, vm.role, &vm.address, &vm.failure_domain, false));
            if node.address != vm.address {
                *node = new_node(
                    now,
                    vm.role,
                    &vm.address,
                    &vm.failure_domain,
                    node.is_configured,
                );
            }
            node.failure_domain.clone_from(&vm.failure_domain);
            node.leaving |= vm.state == VmState::Leaving;
        }
        let is_removed = |name: &&NodeId| {
            let is_listed = vms.iter().any(|vm| vm.node == **name);
            let has_failed = self.state(now, name) == Some(NodeState::Failed);
            !is_listed && has_failed && !self.nodes[*name].is_configured
        };
        let removed: Vec<NodeId> = self.nodes.keys().filter(is_removed).cloned().collect();
        for name in &removed {
            self.nodes.remove(name);
        }
        removed
    }

    /// Applies the digest of a node, which describes itself and nodes it has heard from.
    pub fn apply_digest(&mut self, now: Instant, digest: &Digest) {
        self.record_heartbeat(now, &digest.node, digest.incarnation, digest.leaving);
        if let Some(node) = self.nodes.get_mut(&digest.node) {
            node.configuration = node.configuration.max(digest.configuration);
            if digest.load.is_some() {
                node.load.clone_from(&digest.load);
            }
        }
        for (partition, epoch) in &digest.owned {
            self.set_owner(*partition, &digest.node, *epoch);
        }
        for heard in &digest.heard {
            let heard_at = now.checked_sub(Duration::from_millis(heard.age_ms));
            if let Some(heard_at) = heard_at {
                self.record_heartbeat(heard_at, &heard.node, heard.incarnation, heard.leaving);
            }
        }
    }

    /// Records a heartbeat, direct or reported by a peer, that was received at `at`.
    pub fn record_heartbeat(
        &mut self,
        at: Instant,
        name: &str,
        incarnation: Incarnation,
        leaving: bool,
    ) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if incarnation != node.incarnation && at >= node.last_heard {
            node.incarnation = incarnation;
            node.leaving = leaving;
        }
        if incarnation == node.incarnation {
            node.last_heard = node.last_heard.max(at);
            node.unanswered_since = node.unanswered_since.filter(|since| *since > at);
            node.leaving |= leaving;
        }
    }

    /// Records the owner of a partition. An epoch that is not higher than the known one is ignored.
    pub fn set_owner(&mut self, partition: Partition, node: &str, epoch: Epoch) {
        let known = self.owners.get(&partition);
        if known.is_none_or(|(_, known)| epoch > *known) {
            self.owners.insert(partition, (node.to_string(), epoch));
        }
    }

    /// Returns the last known owner of a partition.
    pub fn owner(&self, partition: Partition) -> Option<&NodeId> {
        self.owners.get(&partition).map(|(node, _)| node)
    }

    /// Returns the believed state of a node, or `None` if the node is unknown.
    pub fn state(&self, now: Instant, name: &str) -> Option<NodeState> {
        let node = self.nodes.get(name)?;
        let silent_for = node
            .unanswered_since
            .map(|since| now.saturating_duration_since(since));
        let silent_for = silent_for.unwrap_or_default();
        Some(if silent_for >= self.config.failed_after {
            NodeState::Failed
        } else if node.leaving {
            NodeState::Leaving
        } else if silent_for >= self.config.suspect_after {
            NodeState::Suspect
        } else {
            NodeState::Live
        })
    }

    /// Returns whether an incarnation of a node may still be running.
    pub fn is_alive(&self, now: Instant, name: &str, incarnation: Incarnation) -> bool {
        if name == self.node {
            return incarnation == self.incarnation;
        }
        let Some(node) = self.nodes.get(name) else {
            return false;
        };
        let is_replaced = node.incarnation != 0 && node.incarnation != incarnation;
        !is_replaced && self.state(now, name) != Some(NodeState::Failed)
    }

    /// Returns the other nodes of a role that may take work, in no particular order.
    pub fn candidates(&self, now: Instant, role: NodeRole) -> Vec<NodeId> {
        let is_usable = |name: &str| {
            let state = self.state(now, name);
            matches!(state, Some(NodeState::Live | NodeState::Suspect))
        };
        let nodes = self.nodes.iter().filter(|(_, node)| node.role == role);
        let names = nodes.map(|(name, _)| name).filter(|name| is_usable(name));
        names.cloned().collect()
    }

    /// Returns whether each node has either sent a heartbeat or failed to answer in time.
    pub fn is_settled(&self, now: Instant) -> bool {
        let has_settled = |name: &NodeId, node: &Node| {
            node.incarnation != 0 || self.state(now, name) == Some(NodeState::Failed)
        };
        self.nodes
            .iter()
            .all(|(name, node)| has_settled(name, node))
    }

    /// Returns all other nodes by name, in no particular order.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    /// Returns a node by its name.
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Picks up to `count` nodes of a role to probe now, and records the probes. Nodes with an
    /// unanswered probe that do not count as failed yet come first, then the least recently probed.
    pub fn pick_probe_targets(
        &mut self,
        now: Instant,
        role: NodeRole,
        count: usize,
    ) -> Vec<NodeId> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.role == role);
        let mut targets: Vec<(bool, Option<Instant>, NodeId)> = nodes
            .map(|(name, node)| {
                (
                    !self.is_probe_urgent(now, node),
                    node.last_probed,
                    name.clone(),
                )
            })
            .collect();
        targets.sort_unstable();
        targets.truncate(count);
        let picked: Vec<NodeId> = targets.into_iter().map(|(_, _, name)| name).collect();
        for name in &picked {
            self.record_probe(now, name);
        }
        picked
    }

    /// Records that a probe is sent to a node.
    pub fn record_probe(&mut self, now: Instant, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.last_probed = Some(now);
            node.unanswered_since.get_or_insert(now);
        }
    }

    /// Returns whether a node has an unanswered probe but does not count as failed yet.
    fn is_probe_urgent(&self, now: Instant, node: &Node) -> bool {
        let failed_after = self.config.failed_after;
        let silence = |since| now.saturating_duration_since(since);
        node.unanswered_since
            .is_some_and(|since| silence(since) < failed_after)
    }

    /// Returns the digest that this node sends to its peers. The caller adds the remaining fields.
    pub fn digest(&mut self, now: Instant, owned: Vec<(Partition, Epoch)>) -> Digest {
        Digest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            owned,
            heard: self.heard_entries(now),
            ..Digest::default()
        }
    }

    /// Returns the last heartbeats of some entries. Successive calls rotate through all of them.
    fn heard_entries(&mut self, now: Instant) -> Vec<Heard> {
        let is_known_entry = |node: &Node| node.incarnation != 0 && node.role == NodeRole::Entry;
        let mut names: Vec<&NodeId> = self.nodes.keys().collect();
        names.sort_unstable();
        let nodes = names.iter().map(|name| (*name, &self.nodes[*name]));
        let all: Vec<(&NodeId, &Node)> = nodes.filter(|(_, node)| is_known_entry(node)).collect();
        let count = all.len().min(self.config.max_heard);
        let start = self.heard_cursor % all.len().max(1);
        self.heard_cursor = start + count;
        let window = all.iter().cycle().skip(start).take(count);
        let to_heard = |(name, node): &(&NodeId, &Node)| Heard {
            node: (*name).clone(),
            incarnation: node.incarnation,
            age_ms: now.saturating_duration_since(node.last_heard).as_millis() as u64,
            leaving: node.leaving,
        };
        window.map(to_heard).collect()
    }
}

fn new_node(
    now: Instant,
    role: NodeRole,
    address: &str,
    domain: &str,
    is_configured: bool,
) -> Node {
    Node {
        role,
        address: address.to_string(),
        failure_domain: domain.to_string(),
        incarnation: 0,
        last_heard: now,
        unanswered_since: None,
        last_probed: None,
        leaving: false,
        configuration: 0,
        load: None,
        is_configured,
    }
}
