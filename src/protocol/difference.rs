//! One difference between two environment documents.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A key with different values in two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The section.
    pub section: String,
    /// The key; empty for a section without keys.
    pub key: String,
    /// The old value; `None` if it was not set.
    pub before: Option<String>,
    /// The new value; `None` if it is not set.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}: ", self.section, self.key)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{before} -> {after}"),
            (None, Some(after)) => write!(f, "added {after}"),
            (Some(before), None) => write!(f, "removed {before}"),
            (None, None) => f.write_str("unchanged"),
        }
    }
}
