//! Checks of a document's section names.

use super::document::{Document, Section};
use super::fault::{Fault, FaultKind};
use super::nearest::nearest;

/// The sections that a document may have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownSections {
    /// Names of sections that stand once.
    pub(crate) plain: &'static [&'static str],
    /// First words of sections that carry a name, such as `model` of `model matcher-llm`.
    pub(crate) named: &'static [&'static str],
}

impl KnownSections {
    /// Reports unknown and repeated sections and takes over the faults of syntax.
    pub(crate) fn check(&self, document: &Document) -> Vec<Fault> {
        let mut faults = document.faults.clone();
        for (index, section) in document.sections.iter().enumerate() {
            if !self.knows(&section.name) {
                let nearest = self.nearest(&section.name);
                faults.push(fault(
                    document,
                    section,
                    FaultKind::UnknownSection { nearest },
                ));
            } else if document.sections[..index]
                .iter()
                .any(|s| s.name == section.name)
            {
                faults.push(fault(document, section, FaultKind::Repeated));
            }
        }
        faults
    }

    fn knows(&self, name: &str) -> bool {
        match name.split_once(' ') {
            Some((first, rest)) => self.named.contains(&first) && !rest.trim().is_empty(),
            None => self.plain.contains(&name),
        }
    }

    fn nearest(&self, name: &str) -> Option<String> {
        let first = name.split(' ').next().unwrap_or_default();
        if self.named.contains(&first) {
            return Some(format!("{first} NAME"));
        }
        let candidates = self.plain.iter().chain(self.named).copied();
        nearest(first, candidates).map(str::to_string)
    }
}

fn fault(document: &Document, section: &Section, kind: FaultKind) -> Fault {
    Fault {
        file: document.file.clone(),
        line: Some(section.line),
        section: section.name.clone(),
        key: String::new(),
        kind,
    }
}
