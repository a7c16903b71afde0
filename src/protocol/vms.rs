//! Interface to the platform's list of VMs.

use crate::ids::{FailureDomain, NodeId};
use serde::{Deserialize, Serialize};
use std::future::Future;

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// Role of the node on a VM.
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
    /// Serves callers' requests and owns partitions.
    Entry,
    /// Runs alongside an endpoint and queues its calls.
    Sidecar,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The node that runs on it.
    pub node: NodeId,
    /// Its role.
    pub role: NodeRole,
    /// Address on which it accepts links, as `IP:port`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its state.
    pub state: VmState,
}

/// The list of VMs. It lags behind the actual state by seconds.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the list. Returns `None` if the platform does not answer.
    fn vms(&self) -> impl Future<Output = Option<Vec<Vm>>> + Send;
}
