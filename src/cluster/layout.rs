//! Which nodes a local system has.

use crate::ids::{FailureDomain, NodeId};
use crate::protocol::vms::{NodeRole, Vm, VmState};
use crate::workload::Deployment;
use std::net::SocketAddr;
use strum::IntoEnumIterator;

/// What a local system is like.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterOptions {
    /// Entries.
    pub entries: usize,
    /// Engines of each deployment.
    pub engines: usize,
    /// Servers of each deployment's service.
    pub services: usize,
    /// Partitions of the programs.
    pub partitions: u16,
    /// Multiplies the engines' times.
    pub time_scale: f64,
    /// Time without a confirmation after which a sidecar releases a program's cache.
    pub confirm_lapse_ms: u64,
    /// Shortest time between two appends of one owner to one stream.
    pub append_interval_ms: u64,
    /// Appends a second that the log takes.
    pub appends_per_s: f64,
    /// Level of the nodes' logs.
    pub log_level: String,
    /// Lines added to every node's settings.
    pub extra_settings: String,
    /// Seed of the stand-ins and proxies.
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

/// What stands beside a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// An engine of a deployment, by its number.
    Engine(Deployment, usize),
    /// A server of a deployment's service, by its number.
    Service(Deployment, usize),
}

/// A node of a local system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSpec {
    /// Its name.
    pub name: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// What stands beside it; `None` for an entry.
    pub endpoint: Option<Endpoint>,
}

impl NodeSpec {
    /// Its role.
    pub fn role(&self) -> NodeRole {
        match self.endpoint {
            Some(_) => NodeRole::Sidecar,
            None => NodeRole::Entry,
        }
    }

    /// Its line in the list of VMs.
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

/// All nodes of a local system, entries last.
#[derive(Clone, Debug)]
pub(super) struct Layout {
    pub(super) nodes: Vec<NodeSpec>,
}

impl Layout {
    pub(super) fn of(options: &ClusterOptions) -> Self {
        let mut nodes = Vec::new();
        for deployment in Deployment::iter() {
            for number in 0..options.engines {
                nodes.push(sidecar(Endpoint::Engine(deployment, number)));
            }
            for number in 0..options.services {
                nodes.push(sidecar(Endpoint::Service(deployment, number)));
            }
        }
        for number in 0..options.entries {
            let deployment = match number % 2 {
                0 => Deployment::SaaMubadala,
                _ => Deployment::Cedarfen,
            };
            nodes.push(NodeSpec {
                name: format!("entry-{}", number + 1),
                failure_domain: domain(deployment, number),
                endpoint: None,
            });
        }
        Self { nodes }
    }
}

fn sidecar(endpoint: Endpoint) -> NodeSpec {
    let (name, deployment, number) = match endpoint {
        Endpoint::Engine(deployment, number) => (deployment.model(), deployment, number),
        Endpoint::Service(deployment, number) => (deployment.service(), deployment, number),
    };
    NodeSpec {
        name: format!("{name}-{}", number + 1),
        failure_domain: domain(deployment, number),
        endpoint: Some(endpoint),
    }
}

/// Spreads a deployment's nodes over its failure domains.
fn domain(deployment: Deployment, number: usize) -> FailureDomain {
    let domains = deployment.failure_domains();
    domains[number % domains.len()].to_owned()
}
