//! Typed access to the keys of one section.
//!
//! Each key that is read counts as known. The remaining keys are reported as unknown at the end.

use super::document::{Document, Entry, Section};
use super::fault::{Fault, FaultKind};
use super::nearest::nearest;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Reads the keys of a section and collects faults.
///
/// Invariant: after [`Reader::finish`], each key of the section has been read or reported.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    file: &'a str,
    name: &'a str,
    section: Option<&'a Section>,
    known: Vec<&'a str>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// Creates a reader for the section with a name, which may be absent.
    pub(crate) fn new(document: &'a Document, name: &'a str) -> Self {
        Self {
            file: &document.file,
            name,
            section: document.section(name),
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Creates a reader for a given section.
    pub(crate) fn for_section(document: &'a Document, section: &'a Section) -> Self {
        Self {
            file: &document.file,
            name: &section.name,
            section: Some(section),
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// Returns all entries of the section, for sections whose keys are user-defined names.
    pub(crate) fn entries(&self) -> &'a [Entry] {
        self.section.map_or(&[], |section| &section.entries)
    }

    /// Marks a key as known and returns its first entry. A repeated key is reported as a fault.
    pub(crate) fn entry(&mut self, key: &'a str) -> Option<&'a Entry> {
        self.known.push(key);
        let mut found = self.entries().iter().filter(|entry| entry.key == key);
        let first = found.next()?;
        if let Some(second) = found.next() {
            self.fault(key, Some(second.line), FaultKind::Repeated);
        }
        Some(first)
    }

    /// Parses a value with a function. A value for which the function returns `None` is reported as a
    /// fault; `allowed` describes the allowed values.
    pub(crate) fn parse<T>(
        &mut self,
        key: &'a str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = self.entry(key)?;
        let value = parse(&entry.value);
        if value.is_none() {
            self.invalid_value(entry, &entry.value, allowed);
        }
        value
    }

    /// Parses a value with [`FromStr`]; returns `default` if the key is not set or invalid.
    pub(crate) fn value<T: FromStr>(&mut self, key: &'a str, allowed: &str, default: T) -> T {
        self.parse(key, allowed, |text| text.parse().ok())
            .unwrap_or(default)
    }

    /// Parses a number within a range; returns `default` if the key is not set or invalid.
    pub(crate) fn number<T>(&mut self, key: &'a str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        self.parse(key, &allowed, |text| {
            text.parse().ok().filter(|value| range.contains(value))
        })
        .unwrap_or(default)
    }

    /// Reads a value that must not be empty; `None` if the key is not set or the value is empty.
    pub(crate) fn text(&mut self, key: &'a str, allowed: &str) -> Option<String> {
        self.parse(key, allowed, |text| {
            (!text.is_empty()).then(|| text.to_string())
        })
    }

    /// Reads a comma-separated list; empty if the key is not set.
    pub(crate) fn list(&mut self, key: &'a str) -> Vec<String> {
        self.entry(key)
            .map(|entry| split_list(&entry.value))
            .unwrap_or_default()
    }

    /// Reads a required value. If it is missing or empty, reports a fault and returns an empty string.
    pub(crate) fn required(&mut self, key: &'a str, allowed: &str) -> String {
        match self.text(key, allowed) {
            Some(text) => text,
            None => {
                self.missing(key, allowed);
                String::new()
            }
        }
    }

    /// Reports a key as missing. Has no effect if the key is set, because an invalid value has already
    /// been reported.
    pub(crate) fn missing(&mut self, key: &str, allowed: &str) {
        if self.entries().iter().any(|entry| entry.key == key) {
            return;
        }
        let line = self.section.map(|section| section.line);
        let allowed = allowed.to_string();
        self.fault(key, line, FaultKind::Missing { allowed });
    }

    /// Reports an invalid value.
    pub(crate) fn invalid_value(&mut self, entry: &Entry, read: &str, allowed: &str) {
        let kind = FaultKind::Value {
            read: read.to_string(),
            allowed: allowed.to_string(),
        };
        self.fault(&entry.key, Some(entry.line), kind);
    }

    /// Reports a fault of a key, or of the section if `key` is empty.
    pub(crate) fn fault(&mut self, key: &str, line: Option<usize>, kind: FaultKind) {
        self.faults.push(Fault {
            file: self.file.to_string(),
            line,
            section: self.name.to_string(),
            key: key.to_string(),
            kind,
        });
    }

    /// Reports keys that have not been read as unknown, and returns all faults.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        for entry in self.entries() {
            if self.known.contains(&entry.key.as_str()) {
                continue;
            }
            let nearest = nearest(&entry.key, self.known.iter().copied()).map(str::to_string);
            self.fault(
                &entry.key,
                Some(entry.line),
                FaultKind::UnknownKey { nearest },
            );
        }
        self.faults
    }

    /// Returns all faults without reporting unknown keys, for sections whose keys are user-defined.
    pub(crate) fn finish_with_any_keys(self) -> Vec<Fault> {
        self.faults
    }
}

/// Splits a comma-separated list; trims the items and skips empty ones.
pub(crate) fn split_list(text: &str) -> Vec<String> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(str::to_string)
        .collect()
}

/// Parses a 32-byte hash from 64 hexadecimal digits.
pub(crate) fn parse_hash(text: &str) -> Option<[u8; 32]> {
    blake3::Hash::from_hex(text.trim())
        .ok()
        .map(|hash| *hash.as_bytes())
}
