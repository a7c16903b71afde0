//! Membership: which nodes are live, suspect or leaving, from probes, hearsay and the VM list.
//!
//! It only proposes. Two nodes that disagree cost time, never correctness.

use crate::ids::{Epoch, FailureDomain, Incarnation, NodeId, Offset, Partition};
use crate::protocol::link::{Digest, Heard, SidecarLoad};
use crate::protocol::vms::{NodeRole, Vm, VmState};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Bounds of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// A node is suspect after so much silence.
    pub suspect_after: Duration,
    /// A node counts as failed after so much silence.
    pub failed_after: Duration,
    /// Other nodes told of in one digest at most.
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

/// What is believed of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum NodeState {
    /// Heard of a moment ago.
    Live,
    /// Silent for a while.
    Suspect,
    /// Silent for long.
    Failed,
    /// It says, or the platform says, that it will stop.
    Leaving,
}

/// A node as this one knows it.
///
/// Invariants: `heard` never goes back within one incarnation; `unanswered` is the first probe
/// that was sent after `heard`.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its role.
    pub role: NodeRole,
    /// Where its links are accepted.
    pub address: String,
    /// Its failure domain; empty if it is not known.
    pub failure_domain: FailureDomain,
    /// Its run; 0 before anything was heard.
    pub incarnation: Incarnation,
    /// When anything was heard of it last.
    pub last_heard: Instant,
    /// Since when a probe is without an answer.
    pub unanswered_since: Option<Instant>,
    /// When it was probed last.
    last_probed: Option<Instant>,
    /// Whether it will stop.
    pub leaving: bool,
    /// The configuration version it runs.
    pub configuration: Offset,
    /// Its load, if it is a sidecar.
    pub load: Option<SidecarLoad>,
    /// Whether it is in the settings and so never forgotten.
    is_configured: bool,
}

/// This node's view of all nodes.
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
    /// Makes a view that knows only this node.
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

    /// Adds a node from the settings. It counts as heard of now.
    pub fn add(&mut self, now: Instant, node: &str, role: NodeRole, address: &str, domain: &str) {
        if node == self.node {
            return;
        }
        let new = new_node(now, role, address, domain, true);
        self.nodes.insert(node.to_string(), new);
    }

    /// Takes the platform's list, which lags, and returns the nodes that are forgotten: those that
    /// are neither listed nor in the settings, and do not answer.
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
        let forgotten = |name: &&NodeId| {
            let listed = vms.iter().any(|vm| vm.node == **name);
            let failed = self.state(now, name) == Some(NodeState::Failed);
            !listed && failed && !self.nodes[*name].is_configured
        };
        let forgotten: Vec<NodeId> = self.nodes.keys().filter(forgotten).cloned().collect();
        for name in &forgotten {
            self.nodes.remove(name);
        }
        forgotten
    }

    /// Takes what a node says of itself and of others.
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
            let at = now.checked_sub(Duration::from_millis(heard.age_ms));
            if let Some(at) = at {
                self.record_heartbeat(at, &heard.node, heard.incarnation, heard.leaving);
            }
        }
    }

    /// Notes a sign of life of a node.
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

    /// Notes the owner of a partition; a lower epoch is old news.
    pub fn set_owner(&mut self, partition: Partition, node: &str, epoch: Epoch) {
        let known = self.owners.get(&partition);
        if known.is_none_or(|(_, known)| epoch > *known) {
            self.owners.insert(partition, (node.to_string(), epoch));
        }
    }

    /// Returns the owner of a partition as far as is known.
    pub fn owner(&self, partition: Partition) -> Option<&NodeId> {
        self.owners.get(&partition).map(|(node, _)| node)
    }

    /// Returns what is believed of a node.
    pub fn state(&self, now: Instant, name: &str) -> Option<NodeState> {
        let node = self.nodes.get(name)?;
        let silence = node
            .unanswered_since
            .map(|since| now.saturating_duration_since(since));
        let silence = silence.unwrap_or_default();
        Some(if silence >= self.config.failed_after {
            NodeState::Failed
        } else if node.leaving {
            NodeState::Leaving
        } else if silence >= self.config.suspect_after {
            NodeState::Suspect
        } else {
            NodeState::Live
        })
    }

    /// Tells whether a run of a node may still be at work.
    pub fn is_alive(&self, now: Instant, name: &str, incarnation: Incarnation) -> bool {
        if name == self.node {
            return incarnation == self.incarnation;
        }
        let Some(node) = self.nodes.get(name) else {
            return false;
        };
        let replaced = node.incarnation != 0 && node.incarnation != incarnation;
        !replaced && self.state(now, name) != Some(NodeState::Failed)
    }

    /// Returns the other nodes of a role that may take work.
    pub fn candidates(&self, now: Instant, role: NodeRole) -> Vec<NodeId> {
        let usable = |name: &str| {
            let state = self.state(now, name);
            matches!(state, Some(NodeState::Live | NodeState::Suspect))
        };
        let nodes = self.nodes.iter().filter(|(_, node)| node.role == role);
        let names = nodes.map(|(name, _)| name).filter(|name| usable(name));
        names.cloned().collect()
    }

    /// Tells whether every node has been heard or has had its time to answer.
    pub fn is_settled(&self, now: Instant) -> bool {
        let settled = |name: &NodeId, node: &Node| {
            node.incarnation != 0 || self.state(now, name) == Some(NodeState::Failed)
        };
        self.nodes.iter().all(|(name, node)| settled(name, node))
    }

    /// Returns all nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    /// Finds a node.
    pub fn node(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Picks up to `count` nodes of a role to be probed now: those without an answer first unless
    /// they count as failed, then those that were probed least recently.
    pub fn pick_probe_targets(
        &mut self,
        now: Instant,
        role: NodeRole,
        count: usize,
    ) -> Vec<NodeId> {
        let nodes = self.nodes.iter().filter(|(_, node)| node.role == role);
        let mut due: Vec<(bool, Option<Instant>, NodeId)> = nodes
            .map(|(name, node)| {
                (
                    !self.is_probe_urgent(now, node),
                    node.last_probed,
                    name.clone(),
                )
            })
            .collect();
        due.sort_unstable();
        due.truncate(count);
        let picked: Vec<NodeId> = due.into_iter().map(|(_, _, name)| name).collect();
        for name in &picked {
            self.record_probe(now, name);
        }
        picked
    }

    /// Notes that a node is probed now.
    pub fn record_probe(&mut self, now: Instant, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.last_probed = Some(now);
            node.unanswered_since.get_or_insert(now);
        }
    }

    /// Tells whether a node without an answer may still count as failed or not.
    fn is_probe_urgent(&self, now: Instant, node: &Node) -> bool {
        let failed_after = self.config.failed_after;
        let silence = |since| now.saturating_duration_since(since);
        node.unanswered_since
            .is_some_and(|since| silence(since) < failed_after)
    }

    /// Writes what this node tells others.
    pub fn digest(&mut self, now: Instant, owned: Vec<(Partition, Epoch)>) -> Digest {
        Digest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            owned,
            heard: self.heard_entries(now),
            ..Digest::default()
        }
    }

    /// Tells of some entries, others each time.
    fn heard_entries(&mut self, now: Instant) -> Vec<Heard> {
        let known = |node: &Node| node.incarnation != 0 && node.role == NodeRole::Entry;
        let mut names: Vec<&NodeId> = self.nodes.keys().collect();
        names.sort_unstable();
        let nodes = names.iter().map(|name| (*name, &self.nodes[*name]));
        let all: Vec<(&NodeId, &Node)> = nodes.filter(|(_, node)| known(node)).collect();
        let count = all.len().min(self.config.max_heard);
        let start = self.heard_cursor % all.len().max(1);
        self.heard_cursor = start + count;
        let window = all.iter().cycle().skip(start).take(count);
        let tell = |(name, node): &(&NodeId, &Node)| Heard {
            node: (*name).clone(),
            incarnation: node.incarnation,
            age_ms: now.saturating_duration_since(node.last_heard).as_millis() as u64,
            leaving: node.leaving,
        };
        window.map(tell).collect()
    }
}

fn new_node(now: Instant, role: NodeRole, address: &str, domain: &str, fixed: bool) -> Node {
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
        is_configured: fixed,
    }
}
