//! Records of the configuration stream, and the configuration as it passes between nodes.
//!
//! Invariant: two images with the same version are the same, as an image is what the fold makes of
//! the stream up to the record at that offset.

use crate::ids::{EnvironmentId, Offset};
use serde::{Deserialize, Serialize};

/// The stream that holds the configuration.
pub const CONFIGURATION_STREAM: &str = "configuration";

/// How far an environment has come.
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
    /// Its share is capped and it stands below production in every queue.
    #[default]
    Trial,
    /// It has shown that it meets its objectives.
    Production,
}

/// One append to the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationRecord {
    /// An operator's change.
    Change(Change),
    /// The configuration carried over, so that what is before it may be trimmed.
    ///
    /// Accepted only if the image's version is the one in force when the fold meets it.
    #[serde(rename = "Carried")]
    Checkpoint {
        /// See [`Change::root`].
        root: Offset,
        /// The configuration.
        image: ConfigurationImage,
    },
}

impl ConfigurationRecord {
    /// Returns the root that the record names.
    pub fn root(&self) -> Offset {
        match self {
            Self::Change(change) => change.root,
            Self::Checkpoint { root, .. } => *root,
        }
    }
}

/// An operator's change of one environment.
///
/// Accepted only if `expects` is the environment's version when the fold meets it; the record's
/// offset is then the new version. So a change that stands in the stream twice is accepted once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The environment.
    pub environment: EnvironmentId,
    /// The version that the change replaces; 0 for an environment that never was.
    pub expects: Offset,
    /// Who.
    pub operator: String,
    /// Names the operation: the answer to a repeat is the answer to the first.
    pub key: String,
    /// When, in Unix milliseconds by the writer's clock.
    pub at_ms: u64,
    /// Offset of an accepted [`ConfigurationRecord::Checkpoint`] at which a reader may start, or 0
    /// for the start of the stream.
    pub root: Offset,
    /// What.
    pub action: ChangeAction,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Replaces the document.
    Apply {
        /// The INI document.
        document: String,
    },
    /// Puts the environment into production.
    Promote(Promotion),
    /// Takes the environment out of service.
    Retire {
        /// Why.
        reason: String,
    },
}

/// Why an environment was put into production.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promotion {
    /// What was shown, one fact a line.
    pub evidence: Vec<String>,
    /// Why it was promoted although the evidence falls short.
    pub override_reason: Option<String>,
}

/// The whole configuration, as nodes pass it to each other and as it is carried over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationImage {
    /// Offset of the last accepted change; 0 if there is none.
    pub version: Offset,
    /// All environments by name, retired ones too.
    pub environments: Vec<EnvironmentImage>,
}

/// One environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnvironmentImage {
    /// Its name.
    pub name: EnvironmentId,
    /// Offset of its last accepted change.
    pub version: Offset,
    /// Trial or production.
    pub stage: Stage,
    /// Whether it is out of service.
    pub retired: bool,
    /// Its INI document.
    pub document: String,
    /// Its newest changes, oldest first.
    pub changes: Vec<AcceptedChange>,
}

/// What is remembered of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The version that it made.
    pub version: Offset,
    /// The version that it replaced.
    pub replaced: Offset,
    /// Who.
    pub operator: String,
    /// The operation's key.
    pub key: String,
    /// When, in Unix milliseconds by the writer's clock.
    pub at_ms: u64,
    /// What.
    pub kind: ChangeKind,
}

/// The kind of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The document was replaced.
    Applied,
    /// It went into production.
    Promoted(Promotion),
    /// It went out of service, for this reason.
    Retired(String),
}
