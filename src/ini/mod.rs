//! INI documents that are checked whole: every fault at once, with its line and what is allowed.

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
