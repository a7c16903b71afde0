//! Comparison of two environment documents.

use crate::ini::Document;
use crate::protocol::difference::Difference;
use std::collections::BTreeMap;

/// Values by section and key. Each section also has an item with an empty key, so that a section
/// without keys counts as a difference if only one document has it.
type Values = BTreeMap<(String, String), String>;

/// Returns the keys whose values differ between two documents, sorted by section and key. The order
/// of keys and the comments are ignored.
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
