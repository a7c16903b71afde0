//! Validation of section names.

use super::document::{Document, Section};
use super::fault::{Fault, FaultKind};
use super::nearest::nearest;

/// The sections that are allowed in a document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownSections {
    /// Names of sections that may occur once.
    pub(crate) plain: &'static [&'static str],
    /// Kinds of sections whose header includes a user-defined name, such as `model` in
    /// `model matcher-llm`.
    pub(crate) named: &'static [&'static str],
}

impl KnownSections {
    /// Returns the faults for unknown and repeated sections, and the syntax faults of the document.
    pub(crate) fn check(&self, document: &Document) -> Vec<Fault> {
        let mut faults = document.faults.clone();
        for (index, section) in document.sections.iter().enumerate() {
            if !self.is_known(&section.name) {
                let nearest = self.nearest(&section.name);
                faults.push(section_fault(
                    document,
                    section,
                    FaultKind::UnknownSection { nearest },
                ));
            } else if document.sections[..index]
                .iter()
                .any(|s| s.name == section.name)
            {
                faults.push(section_fault(document, section, FaultKind::Repeated));
            }
        }
        faults
    }

    fn is_known(&self, name: &str) -> bool {
        match name.split_once(' ') {
            Some((kind, rest)) => self.named.contains(&kind) && !rest.trim().is_empty(),
            None => self.plain.contains(&name),
        }
    }

    fn nearest(&self, name: &str) -> Option<String> {
        let kind = name.split(' ').next().unwrap_or_default();
        if self.named.contains(&kind) {
            return Some(format!("{kind} NAME"));
        }
        let candidates = self.plain.iter().chain(self.named).copied();
        nearest(kind, candidates).map(str::to_string)
    }
}

fn section_fault(document: &Document, section: &Section, kind: FaultKind) -> Fault {
    Fault {
        file: document.file.clone(),
        line: Some(section.line),
        section: section.name.clone(),
        key: String::new(),
        kind,
    }
}
