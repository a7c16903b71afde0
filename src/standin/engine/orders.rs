//! Model load and unload orders, and the check of their fencing numbers.

use super::config::ExecutedOrder;
use crate::ids::Epoch;
use crate::protocol::engine::EngineOrder;

/// The executed orders and the highest fencing number.
#[derive(Debug)]
pub(crate) struct Orders {
    /// Whether to refuse an order whose fencing number is below `highest_fence`.
    checks_fence: bool,
    /// The highest fencing number seen.
    highest_fence: Epoch,
    executed: Vec<ExecutedOrder>,
}

impl Orders {
    /// Creates an empty list of orders.
    pub(crate) fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            highest_fence: 0,
            executed: Vec::new(),
        }
    }

    /// Records an order as executed. Returns `false` and does not record it if fencing numbers are
    /// checked and the order's number is old.
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

    /// Returns the executed orders, in order of execution.
    pub(crate) fn executed(&self) -> &[ExecutedOrder] {
        &self.executed
    }
}
