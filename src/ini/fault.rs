//! Faults of an INI document.

use std::fmt;

/// What is wrong with a key, a section or a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The file cannot be read.
    Unreadable(String),
    /// The line is neither a section, a `key = value` nor a comment.
    Syntax {
        /// The line.
        read: String,
    },
    /// No such section.
    UnknownSection {
        /// The known section whose name is nearest.
        nearest: Option<String>,
    },
    /// No such key in the section.
    UnknownKey {
        /// The known key whose name is nearest.
        nearest: Option<String>,
    },
    /// The key or section stands twice.
    Repeated,
    /// The key or section is missing.
    Missing {
        /// What is allowed.
        allowed: String,
    },
    /// The value is not allowed.
    Value {
        /// What was read; secrets are left out.
        read: String,
        /// What is allowed.
        allowed: String,
    },
}

/// One fault and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The line, from 1; `None` if it has none, as for a missing key of a missing section.
    pub line: Option<usize>,
    /// The section; empty before the first.
    pub section: String,
    /// The key; empty if the section as a whole is meant.
    pub key: String,
    /// What is wrong.
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
            Self::Unreadable(why) => write!(f, "cannot be read: {why}"),
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

/// All faults of a document, in the order of its lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Sorts by line; faults without a line go last.
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
