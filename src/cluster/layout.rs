//! Options of a local cluster and the nodes that it consists of. A [`Deployment`] is an example
//! environment with engines and a service of its own.

use crate::ids::{FailureDomain, NodeId};
use crate::protocol::vms::{NodeRole, Vm, VmState};
use crate::workload::Deployment;
use std::net::SocketAddr;
use strum::IntoEnumIterator;

/// Options of a local cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines in each deployment.
    pub engines: usize,
    /// Number of servers of each deployment's service.
    pub services: usize,
    /// Number of partitions over which programs are spread.
    pub partitions: u16,
    /// Factor on the processing times of engines and services.
    pub time_scale: f64,
    /// Time without confirmation from an entry after which a sidecar releases a program's cache.
    pub confirm_lapse_ms: u64,
    /// Minimum interval between two appends of an owner to the same stream.
    pub append_interval_ms: u64,
    /// Sustained rate of appends that the log accepts, per second.
    pub appends_per_s: f64,
    /// Log level of the nodes.
    pub log_level: String,
    /// Text appended to the settings file of every node.
    pub extra_settings: String,
    /// Seed of the stand-ins and fault proxies.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            services: 2,
            partitions: 16,
            time_scale: 0.25,
            confirm_lapse_ms: 5_000,
            append_interval_ms: 20,
            appends_per_s: 400.0,
            log_level: "warn".to_owned(),
            extra_settings: String::new(),
            seed: 1,
        }
    }
}

/// Endpoint that a sidecar serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// Engine of a deployment, with its index from 0.
    Engine(Deployment, usize),
    /// Server of a deployment's service, with its index from 0.
    Service(Deployment, usize),
}

/// Name, location and role of a node in a local cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSpec {
    /// Name, unique in the cluster.
    pub name: NodeId,
    /// Failure domain that it belongs to.
    pub failure_domain: FailureDomain,
    /// Endpoint that it serves; `None` for an entry.
    pub endpoint: Option<Endpoint>,
}

impl NodeSpec {
    /// Returns sidecar if the node has an endpoint, otherwise entry.
    pub fn role(&self) -> NodeRole {
        match self.endpoint {
            Some(_) => NodeRole::Sidecar,
            None => NodeRole::Entry,
        }
    }

    /// Returns the record of this node for the list of VMs.
    pub(super) fn vm(&self, address: SocketAddr) -> Vm {
        Vm {
            node: self.name.clone(),
            role: self.role(),
            address: address.to_string(),
            failure_domain: self.failure_domain.clone(),
            state: VmState::Live,
        }
    }
}

/// All nodes of a local cluster, entries last.
#[derive(Clone, Debug)]
pub(super) struct Layout {
    pub(super) nodes: Vec<NodeSpec>,
}

impl Layout {
    pub(super) fn of(options: &ClusterOptions) -> Self {
        let mut nodes = Vec::new();
        for deployment in Deployment::iter() {
            for index in 0..options.engines {
                nodes.push(sidecar(Endpoint::Engine(deployment, index)));
            }
            for index in 0..options.services {
                nodes.push(sidecar(Endpoint::Service(deployment, index)));
            }
        }
        for index in 0..options.entries {
            let deployment = match index % 2 {
                0 => Deployment::SaaMubadala,
                _ => Deployment::Cedarfen,
            };
            nodes.push(NodeSpec {
                name: format!("entry-{}", index + 1),
                failure_domain: failure_domain_of(deployment, index),
                endpoint: None,
            });
        }
        Self { nodes }
    }
}

fn sidecar(endpoint: Endpoint) -> NodeSpec {
    let (name, deployment, index) = match endpoint {
        Endpoint::Engine(deployment, index) => (deployment.model(), deployment, index),
        Endpoint::Service(deployment, index) => (deployment.service(), deployment, index),
    };
    NodeSpec {
        name: format!("{name}-{}", index + 1),
        failure_domain: failure_domain_of(deployment, index),
        endpoint: Some(endpoint),
    }
}

/// Assigns nodes to the failure domains of a deployment in turn.
fn failure_domain_of(deployment: Deployment, index: usize) -> FailureDomain {
    let domains = deployment.failure_domains();
    domains[index % domains.len()].to_owned()
}
