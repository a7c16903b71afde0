//! Background work on membership: the VM list, probes, and who should own which partition.

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

/// Entries that watch the owner of a partition in order to replace it.
const WATCHERS: usize = 2;

impl<L: Log> Entry<L> {
    /// Adds a node from the settings.
    pub(crate) fn add_node(&self, node: &str, role: NodeRole, address: &str, domain: &str) {
        if node == self.0.config.node {
            return;
        }
        lock(&self.0.members).add(Instant::now(), node, role, address, domain);
        self.0.links.set_address(node, address);
    }

    /// Reads the VM list again and again.
    pub(crate) fn watch_vms(&self, list: impl VmList) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            loop {
                if let Some(vms) = list.vms().await {
                    entry.take_vms(&vms);
                }
                Timer::after(entry.0.config.vms_interval).await;
            }
        });
    }

    fn take_vms(&self, vms: &[crate::protocol::vms::Vm]) {
        let forgotten = lock(&self.0.members).merge_vms(Instant::now(), vms);
        for node in forgotten {
            self.0.links.remove(&node);
            lock(&self.0.chooser).remove(&node);
            lock(&self.0.cache).clear_endpoint(&node);
            self.0.operating.configurator.removed(&node);
        }
        for vm in vms.iter().filter(|vm| vm.node != self.0.config.node) {
            self.0.links.set_address(&vm.node, &vm.address);
        }
    }

    /// Probes other nodes and proposes owners, round by round.
    pub(super) fn watch_members(&self) {
        let entry = self.clone();
        self.0.spawner.spawn(async move {
            loop {
                entry.probe_round();
                entry.propose_owners();
                entry.update_endpoints();
                let jitter = 0.75 + fastrand::f64() / 2.0;
                Timer::after(entry.0.config.probe_interval.mul_f64(jitter)).await;
            }
        });
    }

    fn probe_round(&self) {
        let digest = self.digest();
        let now = Instant::now();
        let probes = self.0.config.probes;
        let mut members = lock(&self.0.members);
        let mut picked = members.pick_probe_targets(now, NodeRole::Entry, probes);
        let sidecars = members.pick_probe_targets(now, NodeRole::Sidecar, probes);
        drop(members);
        for owner in self.watched_owners() {
            if !picked.contains(&owner) {
                lock(&self.0.members).record_probe(now, &owner);
                picked.push(owner);
            }
        }
        // Sidecars have no use for news of entries.
        let brief = Digest {
            heard: Vec::new(),
            owned: Vec::new(),
            ..digest.clone()
        };
        let entries = picked.into_iter().map(|node| (node, digest.clone()));
        let sidecars = sidecars.into_iter().map(|node| (node, brief.clone()));
        for (node, digest) in entries.chain(sidecars) {
            let entry = self.clone();
            self.0
                .spawner
                .spawn(async move { entry.probe(node, digest).await });
        }
    }

    /// Returns the owners that this node ranks next to replace. They are probed in every round, so
    /// that a failed owner is found as soon among many entries as among few.
    fn watched_owners(&self) -> Vec<NodeId> {
        let own = &self.0.config.node;
        let live = self.live_entries();
        let mut owners = Vec::new();
        for partition in 0..self.0.config.partitions {
            let owner = lock(&self.0.members).owner(partition).cloned();
            let Some(owner) = owner.filter(|owner| owner != own && !owners.contains(owner)) else {
                continue;
            };
            let key = partition_key(partition);
            let others = live.iter().filter(|node| **node != owner);
            let ranked = rendezvous(&key, others.map(String::as_str));
            if ranked.iter().take(WATCHERS).any(|node| node == own) {
                owners.push(owner);
            }
        }
        owners
    }

    async fn probe(&self, node: NodeId, digest: Digest) {
        let late = async {
            Timer::after(self.0.config.membership.suspect_after).await;
            None
        };
        let ask = async { self.0.links.ask(&node, Request::Probe(digest)).await.ok() };
        match ask.or(late).await {
            Some(Reply::Probed(digest)) => self.take_digest(&digest),
            // A connection may have gone silent for good while new ones work.
            _ => (self.0.links).close_silent(&node, self.0.config.membership.suspect_after),
        }
    }

    /// Takes what a node says of itself.
    pub(super) fn take_digest(&self, digest: &Digest) {
        let configurator = &self.0.operating.configurator;
        configurator.heard(&digest.node, digest.configuration);
        self.take_endpoint(digest);
        lock(&self.0.members).apply_digest(Instant::now(), digest);
    }

    /// Tells the chooser what a sidecar says of its endpoint.
    fn take_endpoint(&self, digest: &Digest) {
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
        let members = lock(&self.0.members);
        let known = members.node(node).map(|node| node.failure_domain.clone());
        known.unwrap_or_default()
    }

    /// Writes what this node tells others.
    pub(super) fn digest(&self) -> Digest {
        // Taken before the lock: a partition asks the members about its owner.
        let owned = self.owned_epochs();
        let digest = lock(&self.0.members).digest(Instant::now(), owned);
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

    /// Returns the entries that may own partitions. A leaving one may while it is the last and has
    /// calls to finish.
    fn live_entries(&self) -> Vec<NodeId> {
        let own = &self.0.config.node;
        let now = Instant::now();
        let others = lock(&self.0.members).candidates(now, NodeRole::Entry);
        let last = others.is_empty() && self.open_calls() > 0;
        let own = (!self.is_leaving() || last).then(|| own.clone());
        others.into_iter().chain(own).collect()
    }

    /// Says for each partition whether this node should own it.
    fn propose_owners(&self) {
        let live = self.live_entries();
        for (handle, partition) in self.0.partitions.iter().zip(0..) {
            let key = partition_key(partition);
            let ranked = rendezvous(&key, live.iter().map(String::as_str));
            handle.set_should_own(ranked.first() == Some(&self.0.config.node.as_str()));
        }
    }

    /// Returns the node that should own a partition.
    pub(super) fn proposed_owner(&self, partition: Partition) -> Option<NodeId> {
        let live = self.live_entries();
        let key = partition_key(partition);
        let ranked = rendezvous(&key, live.iter().map(String::as_str));
        ranked.first().map(|node| (*node).to_string())
    }

    /// Tells the chooser which endpoints are suspect or leaving.
    fn update_endpoints(&self) {
        let now = Instant::now();
        let members = lock(&self.0.members);
        let sidecars = members.nodes().filter(|(_, n)| n.role == NodeRole::Sidecar);
        let states: Vec<(NodeId, EndpointState)> = sidecars
            .map(|(name, _)| (name.clone(), endpoint_state(members.state(now, name))))
            .collect();
        drop(members);
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
