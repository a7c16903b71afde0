//! INI documents with line numbers.
//!
//! `rust-ini` parses the values but keeps no line numbers. A separate scan with the same syntax rules
//! finds them.

use super::fault::{Fault, FaultKind};
use ini::{Ini, ParseOption};
use std::collections::HashMap;

/// A parsed document.
#[derive(Debug, Default)]
pub(crate) struct Document {
    /// Name of the file in messages.
    pub(crate) file: String,
    /// The sections in file order.
    pub(crate) sections: Vec<Section>,
    /// Syntax faults.
    pub(crate) faults: Vec<Fault>,
}

/// A section of a document.
#[derive(Debug, Default)]
pub(crate) struct Section {
    /// Name of the section, such as `node` or `model matcher-llm`.
    pub(crate) name: String,
    /// Line of the header, from 1.
    pub(crate) line: usize,
    /// The entries in file order.
    pub(crate) entries: Vec<Entry>,
}

/// A `key = value` line.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The key.
    pub(crate) key: String,
    /// The value, trimmed.
    pub(crate) value: String,
    /// Line of the entry, from 1.
    pub(crate) line: usize,
}

impl Document {
    /// Parses the text of a document. If it has syntax faults, they are stored in `faults` and the
    /// values stay empty.
    pub(crate) fn parse(file: &str, text: &str) -> Self {
        let mut document = Self {
            file: file.to_string(),
            ..Self::default()
        };
        document.scan(text);
        if document.faults.is_empty() {
            document.fill_values(text);
        }
        document
    }

    /// Returns the first section with a name.
    pub(crate) fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Records the lines of sections and keys, and a fault for each line that is neither.
    fn scan(&mut self, text: &str) {
        for (index, raw) in text.lines().enumerate() {
            let line = index + 1;
            let trimmed = raw.trim();
            if trimmed.is_empty() || raw.starts_with(['#', ';']) {
                continue;
            }
            match parse_line(trimmed) {
                Some(Line::Header(name)) => self.sections.push(Section {
                    name: name.to_string(),
                    line,
                    entries: Vec::new(),
                }),
                Some(Line::Key(key)) if !self.sections.is_empty() => self.push_key(key, line),
                _ => self.push_syntax_fault(trimmed, line),
            }
        }
    }

    fn push_key(&mut self, key: &str, line: usize) {
        if let Some(section) = self.sections.last_mut() {
            section.entries.push(Entry {
                key: key.to_string(),
                value: String::new(),
                line,
            });
        }
    }

    fn push_syntax_fault(&mut self, read: &str, line: usize) {
        let section = self.sections.last().map(|section| section.name.clone());
        self.faults.push(Fault {
            file: self.file.clone(),
            line: Some(line),
            section: section.unwrap_or_default(),
            key: String::new(),
            kind: FaultKind::Syntax {
                read: read.to_string(),
            },
        });
    }

    /// Fills in the values from the parser. Sections with equal names are matched by their order, and
    /// so are equal keys within a section.
    fn fill_values(&mut self, text: &str) {
        let ini = match Ini::load_from_str_opt(text, parse_options()) {
            Ok(ini) => ini,
            Err(error) => return self.push_syntax_fault(&error.msg, error.line + 1),
        };
        let mut counts: HashMap<String, usize> = HashMap::new();
        for section in &mut self.sections {
            let nth = counts.entry(section.name.clone()).or_insert(0);
            let properties = ini.section_all(Some(section.name.clone())).nth(*nth);
            *nth += 1;
            if let Some(properties) = properties {
                fill_section(section, properties);
            }
        }
    }
}

fn fill_section(section: &mut Section, properties: &ini::Properties) {
    let mut counts: HashMap<String, usize> = HashMap::new();
    for entry in &mut section.entries {
        let nth = counts.entry(entry.key.clone()).or_insert(0);
        if let Some(value) = properties.get_all(&entry.key).nth(*nth) {
            entry.value = value.trim().to_string();
        }
        *nth += 1;
    }
}

/// The content of a line that is a section header or a key.
enum Line<'a> {
    Header(&'a str),
    Key(&'a str),
}

fn parse_line(line: &str) -> Option<Line<'_>> {
    if let Some(rest) = line.strip_prefix('[') {
        let name = rest.strip_suffix(']')?.trim();
        return (!name.is_empty()).then_some(Line::Header(name));
    }
    let (key, _) = line.split_once(['=', ':'])?;
    let key = key.trim();
    (!key.is_empty()).then_some(Line::Key(key))
}

/// Returns the parser options: values are literal, without quotes, escapes or continuation lines.
fn parse_options() -> ParseOption {
    ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        ..ParseOption::default()
    }
}
