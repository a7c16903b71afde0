//! Faults found in an INI document.

use std::fmt;

/// The kind of a fault in a key, a section or a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The file cannot be read, for the given reason.
    Unreadable(String),
    /// The line is not a section header, a `key = value` line or a comment.
    Syntax {
        /// Text of the line.
        read: String,
    },
    /// The section is not known.
    UnknownSection {
        /// The known section with the most similar name, if any is similar.
        nearest: Option<String>,
    },
    /// The key is not known in the section.
    UnknownKey {
        /// The known key with the most similar name, if any is similar.
        nearest: Option<String>,
    },
    /// The key or section occurs more than once.
    Repeated,
    /// A required key or section is missing.
    Missing {
        /// Description of the allowed values.
        allowed: String,
    },
    /// The value is invalid.
    Value {
        /// The value in the document; redacted if it is a secret.
        read: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

/// A fault and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; `None` if there is none, as for a missing key of a missing section.
    pub line: Option<usize>,
    /// Name of the section; empty before the first section.
    pub section: String,
    /// The key; empty if the fault concerns the whole section.
    pub key: String,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.kind)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "cannot be read: {reason}"),
            Self::Syntax { read } => {
                write!(
                    f,
                    "read \"{read}\"; allowed: [section], key = value, # comment"
                )
            }
            Self::UnknownSection { nearest } => {
                f.write_str("unknown section")?;
                write_nearest(f, nearest.as_deref())
            }
            Self::UnknownKey { nearest } => {
                f.write_str("unknown key")?;
                write_nearest(f, nearest.as_deref())
            }
            Self::Repeated => f.write_str("stands twice; remove one"),
            Self::Missing { allowed } => write!(f, "missing; allowed: {allowed}"),
            Self::Value { read, allowed } => write!(f, "read \"{read}\"; allowed: {allowed}"),
        }
    }
}

fn write_nearest(f: &mut fmt::Formatter<'_>, nearest: Option<&str>) -> fmt::Result {
    match nearest {
        Some(name) => write!(f, "; nearest known: \"{name}\""),
        None => Ok(()),
    }
}

/// All faults of a document, sorted by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Sorts faults by line; faults without a line are last.
    pub(crate) fn sorted(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
        Self(faults)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
