//! Positions of [`Tokens`] in their answer, and the runs that they belong to.

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
    /// Says that a run has started.
    pub(crate) fn started(run: Run) -> Self {
        Self::Started {
            run: run.id,
            endpoint: run.node,
        }
    }
}
