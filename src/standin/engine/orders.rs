//! Orders to the engine stand-in and their fencing numbers.

use super::config::ActedOrder;
use crate::ids::Epoch;
use crate::protocol::engine::EngineOrder;

/// The orders that were acted on.
#[derive(Debug)]
pub(crate) struct Orders {
    /// Whether an old fencing number is refused.
    checks_fence: bool,
    /// The highest fencing number seen.
    highest: Epoch,
    acted: Vec<ActedOrder>,
}

impl Orders {
    /// No orders yet.
    pub(crate) fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            highest: 0,
            acted: Vec::new(),
        }
    }

    /// Notes an order that is acted on; `false` if its fencing number is old and that matters here.
    pub(crate) fn accept(&mut self, fence: Epoch, order: &EngineOrder) -> bool {
        if self.checks_fence && fence < self.highest {
            return false;
        }
        self.highest = self.highest.max(fence);
        self.acted.push(ActedOrder {
            fence,
            order: order.clone(),
        });
        true
    }

    /// Returns the orders that were acted on.
    pub(crate) fn acted(&self) -> &[ActedOrder] {
        &self.acted
    }
}
