//! Content of heartbeats.

use crate::choice::endpoints::InstanceTag;
use crate::fleet::carrier::Report;
use crate::turns::partition::PartitionSet;
#[cfg(test)]
use crate::turns::record::decode;
use serde::{Deserialize, Serialize};

/// A heartbeat of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Datagram", into = "Datagram")]
pub(crate) struct Heartbeat {
    pub(in crate::fleet) gateway: String,
    pub(in crate::fleet) incarnation: u64,
    /// Sequence number within an incarnation. Heartbeats that arrive out of order are dropped.
    pub(in crate::fleet) number: u64,
    pub(in crate::fleet) state: GatewayState,
    pub(in crate::fleet) calls: Vec<(InstanceTag, u32)>,
}

/// Wire format of a heartbeat. It omits the field names, which would take most of the datagram.
type Datagram = (
    (String, u64, u64),
    (bool, PartitionSet, bool, u32),
    Vec<(InstanceTag, u32)>,
);

impl Report for Heartbeat {
    /// Head of an array of three elements, with which each encoding begins.
    const TAG: u8 = 0x83;

    const IS_TAG_ENCODED: bool = true;
}

impl From<Heartbeat> for Datagram {
    fn from(heartbeat: Heartbeat) -> Self {
        let state = heartbeat.state;
        (
            (heartbeat.gateway, heartbeat.incarnation, heartbeat.number),
            (
                state.reaches_store,
                state.loaded,
                state.is_stopping,
                state.processor_permille,
            ),
            heartbeat.calls,
        )
    }
}

impl From<Datagram> for Heartbeat {
    fn from((identity, state, calls): Datagram) -> Self {
        let (gateway, incarnation, number) = identity;
        let (reaches_store, loaded, is_stopping, processor_permille) = state;
        Self {
            gateway,
            incarnation,
            number,
            state: GatewayState {
                reaches_store,
                loaded,
                is_stopping,
                processor_permille,
            },
            calls,
        }
    }
}

/// Returns whether a datagram is a heartbeat.
#[cfg(test)]
pub(crate) fn is_readable_heartbeat(datagram: &[u8]) -> bool {
    decode::<Heartbeat>(datagram).is_ok()
}

/// State that a gateway reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GatewayState {
    /// Whether it reaches the store without a relay.
    pub(crate) reaches_store: bool,
    /// Partitions that it has loaded.
    pub(crate) loaded: PartitionSet,
    /// Whether it is shutting down.
    pub(crate) is_stopping: bool,
    /// Processor share available to its VM, in thousandths of a core.
    pub(crate) processor_permille: u32,
}
