//! Assembles a streamed answer from its parts, across reconnects.

use crate::protocol::link::{Answer, Tokens};
use std::fmt;

/// An inconsistency in a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// Tokens are missing or repeated.
    Gap {
        /// Index of the expected token.
        expected: u32,
        /// Index of the received token.
        found: u32,
    },
    /// The streamed text differs from the final answer.
    Differs {
        /// The streamed text.
        streamed: String,
        /// The text of the final answer.
        answer: String,
    },
}

impl fmt::Display for StreamFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(f, "received token {found}, expected {expected}")
            }
            Self::Differs { streamed, answer } => {
                write!(
                    f,
                    "streamed text {streamed:?} differs from the final answer {answer:?}"
                )
            }
        }
    }
}

impl std::error::Error for StreamFault {}

/// Assembles a streamed answer from its parts and checks it against the final answer.
///
/// ```
/// use galenapick::Collector;
/// use galenapick::protocol::link::Tokens;
///
/// let mut collector = Collector::default();
/// let part = Tokens { index: 0, count: 2, text: "a gate".to_owned() };
/// collector.add(&part)?;
/// assert_eq!(collector.next_index(), 2);
/// assert!(collector.add(&part).is_err());
/// # Ok::<(), galenapick::StreamFault>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Collector {
    /// Text of the current run, from token 0.
    text: String,
    /// Index of the next token.
    next: u32,
    /// Texts of earlier runs, which were restarted from token 0.
    earlier_runs: Vec<String>,
    /// Whether the answer was resumed: the final answer may then arrive without the remaining tokens.
    is_resumed: bool,
}

impl Collector {
    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// Returns the text received in the current run.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Expects the rest of the answer on another connection, with or without its tokens.
    pub fn expect_resumed(&mut self) {
        self.is_resumed = true;
    }

    /// Expects the same answer again from token 0.
    pub fn restart(&mut self) {
        let text = std::mem::take(&mut self.text);
        if !text.is_empty() {
            self.earlier_runs.push(text);
        }
        self.next = 0;
    }

    /// Drops all received text, because the answer is generated again.
    pub fn discard(&mut self) {
        *self = Self::default();
    }

    /// Adds a part. Fails if it does not continue the text.
    pub fn add(&mut self, tokens: &Tokens) -> Result<(), StreamFault> {
        if tokens.index != self.next {
            return Err(StreamFault::Gap {
                expected: self.next,
                found: tokens.index,
            });
        }
        self.next += tokens.count;
        self.text.push_str(&tokens.text);
        Ok(())
    }

    /// Checks that the text of each run is a prefix of the final answer, and that the current run is
    /// complete unless the answer was resumed.
    pub fn finish(&self, answer: &Answer) -> Result<(), StreamFault> {
        let differs = |streamed: &String| StreamFault::Differs {
            streamed: streamed.clone(),
            answer: answer.content.clone(),
        };
        if !self.is_resumed && self.text != answer.content {
            return Err(differs(&self.text));
        }
        let is_different = |run: &&String| !answer.content.starts_with(run.as_str());
        let runs = self.earlier_runs.iter().chain([&self.text]);
        match runs.into_iter().find(is_different) {
            Some(run) => Err(differs(run)),
            None => Ok(()),
        }
    }
}
