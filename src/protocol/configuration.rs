//! Records of the configuration stream, and the configuration as exchanged between nodes.
//!
//! Invariant: two images of the same version are equal, because an image is the result of folding
//! the stream up to the record at that offset.

use crate::ids::{EnvironmentId, Offset};
use serde::{Deserialize, Serialize};

/// Name of the stream that holds the configuration.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// Stage of an environment.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Stage {
    /// Its share of capacity is capped, and queues rank it below production.
    #[default]
    Trial,
    /// It has been promoted after meeting its objectives, or by override.
    Production,
}

/// One record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationRecord {
    /// A change by an operator.
    Change(Change),
    /// A checkpoint of the configuration, after which earlier records may be trimmed.
    ///
    /// Accepted only if the image's version is the current one when the fold reaches the record.
    #[serde(rename = "Carried")]
    Checkpoint {
        /// See [`Change::root`].
        root: Offset,
        /// The configuration.
        image: ConfigurationImage,
    },
}

impl ConfigurationRecord {
    /// Returns the root named by the record.
    pub fn root(&self) -> Offset {
        match self {
            Self::Change(change) => change.root,
            Self::Checkpoint { root, .. } => *root,
        }
    }
}

/// A change of one environment by an operator.
///
/// Accepted only if `expects` is the environment's version when the fold reaches the record. The
/// record's offset then becomes the new version, so a change that was appended twice is accepted
/// once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The environment.
    pub environment: EnvironmentId,
    /// The version that the change replaces; 0 for a new environment.
    pub expects: Offset,
    /// The operator who made the change.
    pub operator: String,
    /// Idempotency key: a retry receives the answer to the original request.
    pub key: String,
    /// Time of the change, in Unix milliseconds by the writer's clock.
    pub at_ms: u64,
    /// Offset of an accepted [`ConfigurationRecord::Checkpoint`] at which a reader may start, or 0
    /// for the start of the stream.
    pub root: Offset,
    /// The change to apply.
    pub action: ChangeAction,
}

/// The effect of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Replaces the document.
    Apply {
        /// The INI document.
        document: String,
    },
    /// Promotes the environment to production.
    Promote(Promotion),
    /// Retires the environment.
    Retire {
        /// Reason for retiring it.
        reason: String,
    },
}

/// Justification of a promotion to production.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    /// Supporting facts, one per item.
    pub evidence: Vec<String>,
    /// Reason for promoting it despite insufficient evidence; `None` without an override.
    pub override_reason: Option<String>,
}

/// The whole configuration, as exchanged between nodes and stored in checkpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationImage {
    /// Offset of the last accepted change; 0 if there is none.
    pub version: Offset,
    /// All environments, including retired ones, sorted by name.
    pub environments: Vec<EnvironmentImage>,
}

/// One environment of a [`ConfigurationImage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvironmentImage {
    /// Its name.
    pub name: EnvironmentId,
    /// Offset of its last accepted change.
    pub version: Offset,
    /// Its stage.
    pub stage: Stage,
    /// Whether it has been retired.
    pub retired: bool,
    /// Its INI document.
    pub document: String,
    /// Its most recent changes, oldest first.
    pub changes: Vec<AcceptedChange>,
}

/// Summary of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The version that it created.
    pub version: Offset,
    /// The version that it replaced.
    pub replaced: Offset,
    /// The operator who made the change.
    pub operator: String,
    /// Idempotency key of the operation.
    pub key: String,
    /// Time of the change, in Unix milliseconds by the writer's clock.
    pub at_ms: u64,
    /// Kind of the change.
    pub kind: ChangeKind,
}

/// The kind of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The document was replaced.
    Applied,
    /// The environment was promoted to production.
    Promoted(Promotion),
    /// The environment was retired for this reason.
    Retired(String),
}
