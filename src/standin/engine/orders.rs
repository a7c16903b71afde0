//! Orders to the engine stand-in and their fencing numbers.

use super::config::ExecutedOrder;
use crate::ids::Epoch;
use crate::protocol::engine::EngineOrder;

/// The orders that were acted on.
#[derive(Debug)]
pub(crate) struct Orders {
    /// Whether an old fencing number is refused.
    checks_fence: bool,
    /// The highest fencing number seen.
    highest_fence: Epoch,
    executed: Vec<ExecutedOrder>,
}

impl Orders {
    /// No orders yet.
    pub(crate) fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            highest_fence: 0,
            executed: Vec::new(),
        }
    }

    /// Notes an order that is acted on; `false` if its fencing number is old and that matters here.
    pub(crate) fn accept(&mut self, fence: Epoch, order: &EngineOrder) -> bool {
        if self.checks_fence && fence < self.highest_fence {
            return false;
        }
        self.highest_fence = self.highest_fence.max(fence);
        self.executed.push(ExecutedOrder {
            fence,
            order: order.clone(),
        });
        true
    }

    /// Returns the orders that were acted on.
    pub(crate) fn executed(&self) -> &[ExecutedOrder] {
        &self.executed
    }
}
