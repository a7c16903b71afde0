//! Trial and production.

use serde::{Deserialize, Serialize};

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
