//! Content of heartbeats.

use crate::choice::endpoints::InstanceTag;
use crate::fleet::carrier::Report;
use crate::routes::ConfigurationVersion;
use crate::turns::partition::PartitionSet;
#[cfg(test)]
use crate::turns::record::decode;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Formatter};

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
type Datagram = ((String, u64, u64), StateFields, Vec<(InstanceTag, u32)>);

/// State of the sender. Earlier versions do not send the version of the configuration, nor whether
/// they have read it; that they reach the store stands for the latter.
#[derive(Serialize)]
struct StateFields(bool, PartitionSet, bool, u32, ConfigurationVersion, bool);

impl<'de> Deserialize<'de> for StateFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;

        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = StateFields;

            fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                formatter.write_str("the state of a gateway")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<StateFields, A::Error> {
                let missing = || A::Error::custom("the state lacks a field");
                let reaches_store = fields.next_element()?.ok_or_else(missing)?;
                Ok(StateFields(
                    reaches_store,
                    fields.next_element()?.ok_or_else(missing)?,
                    fields.next_element()?.ok_or_else(missing)?,
                    fields.next_element()?.ok_or_else(missing)?,
                    fields.next_element()?.unwrap_or_default(),
                    fields.next_element()?.unwrap_or(reaches_store),
                ))
            }
        }

        deserializer.deserialize_seq(FieldsVisitor)
    }
}

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
            StateFields(
                state.reaches_store,
                state.loaded,
                state.is_stopping,
                state.processor_permille,
                state.configuration_version,
                state.has_read_configuration,
            ),
            heartbeat.calls,
        )
    }
}

impl From<Datagram> for Heartbeat {
    fn from((identity, state, calls): Datagram) -> Self {
        let (gateway, incarnation, number) = identity;
        let StateFields(
            reaches_store,
            loaded,
            is_stopping,
            processor_permille,
            configuration_version,
            has_read_configuration,
        ) = state;
        Self {
            gateway,
            incarnation,
            number,
            state: GatewayState {
                reaches_store,
                loaded,
                is_stopping,
                processor_permille,
                configuration_version,
                has_read_configuration,
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
    /// Version of its configuration; 0 if it has none.
    pub(crate) configuration_version: ConfigurationVersion,
    /// Whether it has itself recently read the configurations in the store to their end.
    pub(crate) has_read_configuration: bool,
}
