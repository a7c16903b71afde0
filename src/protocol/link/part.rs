//! Replay support for [`Tokens`]: their positions in an answer and the start of a run.

use super::{Event, Tokens};
use crate::transport::replay::{Part, Run};

impl Part for Tokens {
    fn index(&self) -> u32 {
        self.index
    }

    fn end(&self) -> u32 {
        self.index.saturating_add(self.count)
    }
}

impl Event {
    /// Creates the event for the start of a run.
    pub(crate) fn started(run: Run) -> Self {
        Self::Started {
            run: run.id,
            endpoint: run.node,
        }
    }
}
