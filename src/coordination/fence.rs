//! Fencing of engine orders: old and repeated orders are not carried out, even if the engine does
//! not check them.

use crate::ids::Epoch;

/// Decision on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// The order is the newest so far and must be carried out.
    New,
    /// The order repeats the newest one, which has been carried out already.
    Repeated,
    /// A newer order came first, so this one must be refused.
    Old {
        /// Epoch of the newest order.
        epoch: Epoch,
    },
}

/// Position of the newest order seen.
///
/// Invariant: the pair of epoch and sequence number never decreases.
///
/// ```
/// use galenapick::{FenceDecision, OrderFence};
///
/// let mut fence = OrderFence::default();
/// assert_eq!(fence.admit(8, 1), FenceDecision::New);
/// assert_eq!(fence.admit(8, 1), FenceDecision::Repeated);
/// assert_eq!(fence.admit(5, 9), FenceDecision::Old { epoch: 8 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderFence {
    epoch: Epoch,
    sequence: u64,
}

impl OrderFence {
    /// Decides on an order. A new one becomes the newest.
    pub fn admit(&mut self, epoch: Epoch, sequence: u64) -> FenceDecision {
        let newest = (self.epoch, self.sequence);
        if (epoch, sequence) < newest {
            return FenceDecision::Old { epoch: self.epoch };
        }
        if (epoch, sequence) == newest {
            return FenceDecision::Repeated;
        }
        self.epoch = epoch;
        self.sequence = sequence;
        FenceDecision::New
    }

    /// Records an owner's epoch that became known other than by an order.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.sequence = 0;
        }
    }
}
