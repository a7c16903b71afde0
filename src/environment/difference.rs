//! The difference between two environment documents, key by key.

use crate::ini::Document;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// One key that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The section.
    pub section: String,
    /// The key; empty for a section without keys.
    pub key: String,
    /// The value before; `None` if it was not set.
    pub before: Option<String>,
    /// The value after; `None` if it is not set.
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

/// Values by section and key. A section itself counts as an empty key.
type Values = BTreeMap<(String, String), String>;

/// Compares two documents; the order of keys and comments do not count.
pub(crate) fn differences(before: &str, after: &str) -> Vec<Difference> {
    let before = values(before);
    let after = values(after);
    let mut keys: Vec<_> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter(|key| before.get(*key) != after.get(*key))
        .map(|key| Difference {
            section: key.0.clone(),
            key: key.1.clone(),
            before: before.get(key).cloned(),
            after: after.get(key).cloned(),
        })
        .collect()
}

fn values(text: &str) -> Values {
    let document = Document::parse("", text);
    let mut values = Values::new();
    for section in document.sections {
        values.insert((section.name.clone(), String::new()), String::new());
        for entry in section.entries {
            values.insert((section.name.clone(), entry.key), entry.value);
        }
    }
    values
}
