//! The platform's list of VMs.

use crate::ids::{FailureDomain, NodeId};
use serde::{Deserialize, Serialize};
use std::future::Future;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// What runs on a VM.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum NodeRole {
    /// Takes callers' requests and owns partitions.
    Entry,
    /// Stands beside an endpoint.
    Sidecar,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The node that runs on it.
    pub node: NodeId,
    /// Its role.
    pub role: NodeRole,
    /// Where its links are accepted, `IP:port`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it stays.
    pub state: VmState,
}

/// The list of VMs. It lags behind the truth by seconds.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list; `None` if the platform does not answer.
    fn vms(&self) -> impl Future<Output = Option<Vec<Vm>>> + Send;
}
