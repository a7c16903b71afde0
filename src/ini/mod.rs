//! Parsing and validation of INI documents. All faults are reported together, each with its line and
//! the allowed values.

mod document;
mod fault;
mod nearest;
mod reader;
mod sections;
#[cfg(test)]
mod tests;

pub(crate) use document::{Document, Entry, Section};
pub use fault::{Fault, FaultKind, Faults};
#[cfg(test)]
use nearest::nearest;
pub(crate) use reader::{Reader, parse_hash, split_list};
pub(crate) use sections::KnownSections;
