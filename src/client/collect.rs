//! Puts the parts of a streamed answer together, across reconnects.

use crate::protocol::link::{Answer, Tokens};
use std::fmt;

/// A stream that does not hold what it promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// Tokens are missing or come twice.
    Gap {
        /// The token that should have come next.
        expected: u32,
        /// The token that came.
        found: u32,
    },
    /// The tokens are not the text of the final answer.
    Differs {
        /// What was streamed.
        streamed: String,
        /// What the final answer says.
        answer: String,
    },
}

impl fmt::Display for StreamFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, found } => write!(f, "token {found} came, not {expected}"),
            Self::Differs { streamed, answer } => {
                write!(f, "streamed {streamed:?}, answered {answer:?}")
            }
        }
    }
}

impl std::error::Error for StreamFault {}

/// Puts the parts of a streamed answer together.
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
    /// Text since token 0 of the newest run of the stream.
    text: String,
    /// The token that comes next.
    next: u32,
    /// Texts of runs that were begun again from token 0.
    earlier: Vec<String>,
    /// Whether the answer is read again: its end may come as a whole without its tokens.
    again: bool,
}

impl Collector {
    /// The token that comes next.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// The text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Expects the rest of the answer on another connection, with its tokens or without.
    pub fn read_again(&mut self) {
        self.again = true;
    }

    /// Expects the answer from its first token again.
    pub fn restart(&mut self) {
        let text = std::mem::take(&mut self.text);
        if !text.is_empty() {
            self.earlier.push(text);
        }
        self.next = 0;
    }

    /// Drops everything so far: the answer is made anew.
    pub fn discard(&mut self) {
        *self = Self::default();
    }

    /// Takes a part.
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

    /// Checks that everything streamed is the beginning of the final answer, and the whole of it
    /// unless it was read again.
    pub fn finish(&self, answer: &Answer) -> Result<(), StreamFault> {
        let differs = |streamed: &String| StreamFault::Differs {
            streamed: streamed.clone(),
            answer: answer.content.clone(),
        };
        if !self.again && self.text != answer.content {
            return Err(differs(&self.text));
        }
        let foreign = |run: &&String| !answer.content.starts_with(run.as_str());
        let runs = self.earlier.iter().chain([&self.text]);
        match runs.into_iter().find(foreign) {
            Some(run) => Err(differs(run)),
            None => Ok(()),
        }
    }
}
