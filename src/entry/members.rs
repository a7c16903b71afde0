//! Background tasks of membership: VM list, probes, and the assignment of partitions to entries.

use crate::coordination::choice::{EndpointInfo, EndpointKind, EndpointState};
use crate::coordination::membership::NodeState;
use crate::coordination::rendezvous::rendezvous;
use crate::entry::{Entry, lock};
use crate::ids::{Epoch, NodeId, Partition};
use crate::protocol::link::{Digest, Reply, Request, Serving};
use crate::protocol::log::Log;
use crate::protocol::vms::{NodeRole, VmList};
use futures_lite::FutureExt;
use smol::Timer;
use std::time::Instant;

/// Number of entries that probe each partition owner in every round, ready to replace it.
const WATCHERS_PER_OWNER: usize = 2;

impl<L: Log> Entry<L> {
    /// Adds a node that the settings list. Ignores this node itself.
    pub(crate) fn add_node(&self, node: &str, role: NodeRole, address: &str, domain: &str) {
        if node == self.0.config.node {
            return;
        }
        lock(&self.0.membership).add(Instant::now(), node, role, address, domain);
        self.0.links.set_address(node, address);
    }

    /// Starts polling the VM list. A failed read leaves the known nodes unchanged.
    pub(crate) fn watch_vms(&self, list: impl VmList) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            loop {
                if let Some(vms) = list.vms().await {
                    entry.apply_vms(&vms);
                }
                Timer::after(entry.0.config.vms_interval).await;
            }
        });
    }

    fn apply_vms(&self, vms: &[crate::protocol::vms::Vm]) {
        let removed_nodes = lock(&self.0.membership).merge_vms(Instant::now(), vms);
        for node in removed_nodes {
            self.0.links.remove(&node);
            lock(&self.0.chooser).remove(&node);
            lock(&self.0.cache).clear_endpoint(&node);
            self.0.operator_services.configurator.remove_peer(&node);
        }
        for vm in vms.iter().filter(|vm| vm.node != self.0.config.node) {
            self.0.links.set_address(&vm.node, &vm.address);
        }
    }

    /// Starts the periodic task that probes nodes and updates ownership and endpoint states.
    pub(super) fn watch_membership(&self) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            loop {
                entry.probe_round();
                entry.update_ownership();
                entry.update_endpoint_states();
                entry.share_crashes();
                let jitter = 0.75 + fastrand::f64() / 2.0;
                Timer::after(entry.0.config.probe_interval.mul_f64(jitter)).await;
            }
        });
    }

    fn probe_round(&self) {
        let digest = self.digest();
        let now = Instant::now();
        let probes = self.0.config.probes_per_round;
        let mut membership = lock(&self.0.membership);
        let mut targets = membership.pick_probe_targets(now, NodeRole::Entry, probes);
        let sidecars = membership.pick_probe_targets(now, NodeRole::Sidecar, probes);
        drop(membership);
        for owner in self.watched_owners() {
            if !targets.contains(&owner) {
                lock(&self.0.membership).record_probe(now, &owner);
                targets.push(owner);
            }
        }
        // Sidecars do not need information about other nodes.
        let sidecar_digest = Digest {
            heard: Vec::new(),
            owned: Vec::new(),
            ..digest.clone()
        };
        let entries = targets.into_iter().map(|node| (node, digest.clone()));
        let sidecars = sidecars
            .into_iter()
            .map(|node| (node, sidecar_digest.clone()));
        for (node, digest) in entries.chain(sidecars) {
            let entry = self.clone();
            self.0
                .spawner
                .spawn(async move { entry.probe(node, digest).await });
        }
    }

    /// Returns the owners that this node is next in rank to replace.
    ///
    /// They are probed in every round, so that the number of entries does not delay the detection
    /// of a failed owner.
    fn watched_owners(&self) -> Vec<NodeId> {
        let own_node = &self.0.config.node;
        let live = self.live_entries();
        let mut owners = Vec::new();
        for partition in 0..self.0.config.partitions {
            let owner = lock(&self.0.membership).owner(partition).cloned();
            let Some(owner) = owner.filter(|owner| owner != own_node && !owners.contains(owner))
            else {
                continue;
            };
            let key = partition_key(partition);
            let others = live.iter().filter(|node| **node != owner);
            let ranked = rendezvous(&key, others.map(String::as_str));
            if ranked
                .iter()
                .take(WATCHERS_PER_OWNER)
                .any(|node| node == own_node)
            {
                owners.push(owner);
            }
        }
        owners
    }

    async fn probe(&self, node: NodeId, digest: Digest) {
        let timeout = async {
            Timer::after(self.0.config.membership.suspect_after).await;
            None
        };
        let ask = async { self.0.links.ask(&node, Request::Probe(digest)).await.ok() };
        match ask.or(timeout).await {
            Some(Reply::Probed(digest)) => self.apply_digest(&digest),
            // The connection may be dead while a new one would work.
            _ => (self.0.links).close_silent(&node, self.0.config.membership.suspect_after),
        }
    }

    /// Applies a digest to the configuration, the chooser and the membership view.
    pub(super) fn apply_digest(&self, digest: &Digest) {
        let configurator = &self.0.operator_services.configurator;
        configurator.record_peer_version(&digest.node, digest.configuration);
        self.update_endpoint(digest);
        let mut membership = lock(&self.0.membership);
        let known = membership.node(&digest.node);
        let is_new_entry = known.is_some_and(|node| {
            node.role == NodeRole::Entry && node.incarnation != digest.incarnation
        });
        membership.apply_digest(Instant::now(), digest);
        drop(membership);
        if is_new_entry {
            self.fetch_crash_reports(digest.node.clone());
        }
    }

    /// Updates the chooser from a sidecar's digest. Ignores digests without a load.
    fn update_endpoint(&self, digest: &Digest) {
        let Some(load) = &digest.load else {
            return;
        };
        let now = Instant::now();
        let domain = self.failure_domain(&digest.node);
        let mut chooser = lock(&self.0.chooser);
        if let Some(serving) = &digest.serving {
            chooser.upsert(now, &digest.node, endpoint_info(serving, domain));
        }
        chooser.update_load(now, &digest.node, load);
        if digest.leaving {
            chooser.set_state(&digest.node, EndpointState::Leaving);
        }
    }

    fn failure_domain(&self, node: &str) -> String {
        let membership = lock(&self.0.membership);
        let known = membership
            .node(node)
            .map(|node| node.failure_domain.clone());
        known.unwrap_or_default()
    }

    /// Builds the digest that this node sends to peers.
    pub(super) fn digest(&self) -> Digest {
        // Computed before the lock, because a partition locks the membership to check its owner.
        let owned = self.owned_epochs();
        let digest = lock(&self.0.membership).digest(Instant::now(), owned);
        Digest {
            leaving: self.is_leaving(),
            configuration: self.0.environments.version(),
            ..digest
        }
    }

    fn owned_epochs(&self) -> Vec<(Partition, Epoch)> {
        let epochs = self.0.partitions.iter().zip(0..);
        epochs
            .filter_map(|(handle, partition)| Some((partition, handle.epoch()?)))
            .collect()
    }

    /// Returns the entries that may own partitions.
    ///
    /// This node is excluded during shutdown, unless it is the last entry and has open calls.
    fn live_entries(&self) -> Vec<NodeId> {
        let own_node = &self.0.config.node;
        let now = Instant::now();
        let others = lock(&self.0.membership).candidates(now, NodeRole::Entry);
        let is_last = others.is_empty() && self.open_calls() > 0;
        let own_node = (!self.is_leaving() || is_last).then(|| own_node.clone());
        others.into_iter().chain(own_node).collect()
    }

    /// Tells each partition whether this node should own it.
    fn update_ownership(&self) {
        let live = self.live_entries();
        for (handle, partition) in self.0.partitions.iter().zip(0..) {
            let key = partition_key(partition);
            let ranked = rendezvous(&key, live.iter().map(String::as_str));
            handle.set_should_own(ranked.first() == Some(&self.0.config.node.as_str()));
        }
    }

    /// Returns the node that should own a partition, by rendezvous hashing over the live entries.
    pub(super) fn preferred_owner(&self, partition: Partition) -> Option<NodeId> {
        let live = self.live_entries();
        let key = partition_key(partition);
        let ranked = rendezvous(&key, live.iter().map(String::as_str));
        ranked.first().map(|node| (*node).to_string())
    }

    /// Copies the states of the sidecars from the membership view to the chooser.
    fn update_endpoint_states(&self) {
        let now = Instant::now();
        let membership = lock(&self.0.membership);
        let sidecars = membership
            .nodes()
            .filter(|(_, n)| n.role == NodeRole::Sidecar);
        let states: Vec<(NodeId, EndpointState)> = sidecars
            .map(|(name, _)| (name.clone(), endpoint_state(membership.state(now, name))))
            .collect();
        drop(membership);
        let mut chooser = lock(&self.0.chooser);
        for (endpoint, state) in states {
            chooser.set_state(&endpoint, state);
        }
    }
}

fn partition_key(partition: Partition) -> String {
    format!("partition/{partition}")
}

fn endpoint_state(state: Option<NodeState>) -> EndpointState {
    match state {
        Some(NodeState::Live) => EndpointState::Live,
        Some(NodeState::Leaving) => EndpointState::Leaving,
        Some(NodeState::Suspect | NodeState::Failed) | None => EndpointState::Suspect,
    }
}

fn endpoint_info(serving: &Serving, failure_domain: String) -> EndpointInfo {
    match serving {
        Serving::Models(models) => EndpointInfo {
            kind: EndpointKind::Engine,
            models: models.clone(),
            failure_domain,
        },
        Serving::Service(service) => EndpointInfo {
            kind: EndpointKind::Service(service.clone()),
            models: Vec::new(),
            failure_domain,
        },
    }
}
