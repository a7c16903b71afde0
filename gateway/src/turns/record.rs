//! Record formats of the turns topic and the gateways topic.

#[cfg(test)]
mod tests;

use crate::dialect::PartId;
use galenapick::crashes::Lifetime;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::Duration;

/// Value of a record in the turns topic. The key identifies either a completed turn or one writer's
/// reservation for a turn.
///
/// The newest record of a key contains everything that must be retained about it. A gateway that
/// was considered lost may still write its reservation late, so a completed record takes precedence
/// over a settled one, and a settled one over a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TurnRecord {
    /// A turn whose tokens are reserved and that may start to run.
    Reserved {
        /// Program that the turn belongs to.
        program: String,
        /// Maximum number of tokens that count for the turn.
        max_tokens: u64,
    },
    /// A turn that did not complete.
    Settled {
        /// Program that the turn belongs to.
        program: String,
        /// Number of tokens delivered to clients.
        spent_tokens: u64,
    },
    /// A turn that completed and can be continued.
    #[serde(rename = "Kept")]
    Completed(CompletedTurn),
}

/// A completed turn that a later turn can continue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CompletedTurn {
    pub(crate) program: String,
    pub(crate) spent_tokens: u64,
    /// Scoped id of the preceding turn; `None` for the first turn of a chain.
    pub(crate) previous: Option<String>,
    /// Endpoint that ran the turn and therefore has its prompt cached.
    pub(crate) endpoint: String,
    /// Parts of the prompt with their token counts. The last part includes the generated tokens.
    pub(crate) prompt_parts: SmallVec<[(PartId, u32); 4]>,
    /// Time for which the turn can be continued, in milliseconds.
    #[serde(rename = "keep_ms")]
    pub(crate) retention_ms: u64,
    /// Name of the client account whose turn it is; records of an earlier version and turns without
    /// an account lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) account: Option<String>,
    /// Input of the turn, followed by the data of each event and a line feed.
    #[serde(with = "serde_bytes")]
    pub(crate) text: Vec<u8>,
}

/// Address at which a gateway accepts messages from its peers. The record's key is the gateway's
/// name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayRecord {
    /// Address for datagrams and requests from peers.
    pub(crate) address: String,
    /// Random number that identifies one run of the process.
    pub(crate) incarnation: u64,
    /// Processor share available to the gateway's VM, in thousandths of a core.
    pub(crate) processor_permille: u32,
    /// Failure domain of the gateway's VM; earlier versions do not state it.
    #[serde(default)]
    pub(crate) failure_domain: Option<String>,
}

/// A quarantined request. The record's key names its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineRecord {
    /// Time of the last crash by the clock of the writer.
    pub(crate) last_crash_unix_ms: u64,
    /// Lifetimes of endpoints that ended under the request, and whether each is cleared.
    pub(crate) lifetimes: Vec<(Lifetime, bool)>,
    /// Hash of the prefix of a request; records of an earlier version lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) prefix: Option<u64>,
    /// Those of the lifetimes that ended under an attempt which was sent before any other end was known;
    /// records of an earlier version do not name them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) unrepeated: Vec<Lifetime>,
}

impl CompletedTurn {
    /// Time after its end during which the turn can be continued.
    pub(crate) fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

/// Encodes a record or a message between gateways as CBOR.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

/// Decodes a record or a message between gateways from CBOR; the error text gives the cause.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}
