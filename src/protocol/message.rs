//! Messages of a conversation, and amounts that a program spends.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};

/// Author of a message.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Instructions from the program's author.
    System,
    /// The person or program that sends the request.
    User,
    /// The model.
    Assistant,
    /// The result of a tool call.
    Tool,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message.
    pub role: Role,
    /// Text of the message.
    pub content: String,
}

impl Message {
    /// Creates a message.
    pub fn new(role: Role, content: impl Into<String>) -> Self {
        Self {
            role,
            content: content.into(),
        }
    }
}

/// Amounts that a program has spent or may spend.
///
/// ```
/// use galenapick::Usage;
///
/// let spent = Usage { tokens: 10, calls: 1, time_ms: 5 } + Usage { tokens: 1, calls: 1, time_ms: 5 };
/// assert!(spent.fits(Usage { tokens: 11, calls: 2, time_ms: 10 }));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt and completion tokens.
    pub tokens: u64,
    /// Model and tool calls.
    pub calls: u64,
    /// Total time in calls, in milliseconds.
    pub time_ms: u64,
}

impl Usage {
    /// Returns whether every part is at most the same part of `limit`.
    pub fn fits(self, limit: Usage) -> bool {
        self.tokens <= limit.tokens && self.calls <= limit.calls && self.time_ms <= limit.time_ms
    }

    /// Returns whether every part is zero.
    pub fn is_zero(&self) -> bool {
        *self == Usage::default()
    }

    /// Returns the smaller one of each part.
    pub(crate) fn min_parts(self, other: Usage) -> Usage {
        self - (self - other)
    }
}

impl Add for Usage {
    type Output = Usage;

    fn add(self, other: Usage) -> Usage {
        Usage {
            tokens: self.tokens.saturating_add(other.tokens),
            calls: self.calls.saturating_add(other.calls),
            time_ms: self.time_ms.saturating_add(other.time_ms),
        }
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        *self = *self + other;
    }
}

impl Sub for Usage {
    type Output = Usage;

    /// Subtracts each part, saturating at zero.
    fn sub(self, other: Usage) -> Usage {
        Usage {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
            time_ms: self.time_ms.saturating_sub(other.time_ms),
        }
    }
}
