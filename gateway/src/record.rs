//! Records of the turns' topic and of the gateways' topic.

use crate::dialect::PartId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::Duration;

/// What stands under a turn's id, if it was kept, or under one of its reservations' keys.
///
/// The newest record of a key says all that must last of it. A reservation may be written late, by
/// a gateway that was taken for lost: what was kept stands first, then what was settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TurnRecord {
    /// A turn that may begin to run.
    Reserved {
        /// Its program.
        program: String,
        /// Tokens that it generates at most.
        max_tokens: u64,
    },
    /// A turn that did not end whole.
    Settled {
        /// Its program.
        program: String,
        /// Tokens that clients were given.
        spent_tokens: u64,
    },
    /// A turn that ended whole and can be continued.
    #[serde(rename = "Kept")]
    Completed(CompletedTurn),
}

/// A turn that can be continued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CompletedTurn {
    pub(crate) program: String,
    pub(crate) spent_tokens: u64,
    /// The turn before, if it is not the first of its chain.
    pub(crate) previous: Option<String>,
    /// The endpoint that ran it, and so holds its prompt in memory.
    pub(crate) endpoint: String,
    /// Parts of its prompt with their tokens, the last one with what it generated.
    pub(crate) prompt_parts: SmallVec<[(PartId, u32); 4]>,
    /// How long it can be continued, in milliseconds.
    #[serde(rename = "keep_ms")]
    pub(crate) retention_ms: u64,
    /// Its input, then the data of each event with a line feed.
    #[serde(with = "serde_bytes")]
    pub(crate) text: Vec<u8>,
}

/// Where a gateway listens for others; stands under the gateway's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayRecord {
    /// Address for datagrams and calls of other gateways.
    pub(crate) address: String,
    /// Differs between two lifetimes of its process.
    pub(crate) incarnation: u64,
    /// What its VM may use, in thousandths of a core.
    pub(crate) processor_permille: u32,
}

impl CompletedTurn {
    /// How long the turn can be continued after its end.
    pub(crate) fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

/// Encodes a record or a message between gateways.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut bytes).expect("writing to memory can't fail");
    bytes
}

/// Decodes a record or a message between gateways; the error says why it can't be read.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}
