//! The fencing of orders: an old or repeated order is not acted on, whatever the engine checks.

use crate::ids::Epoch;

/// What to do with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    /// It is the newest so far: act on it.
    New,
    /// It is the newest one again: do nothing, it has been acted on.
    Repeated,
    /// A newer one came first: refuse it.
    Old {
        /// The newest epoch.
        epoch: Epoch,
    },
}

/// Remembers the newest order.
///
/// Invariant: the pair of epoch and sequence never goes down.
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
    /// Judges an order; a new one becomes the newest.
    pub fn admit(&mut self, epoch: Epoch, sequence: u64) -> FenceDecision {
        let known = (self.epoch, self.sequence);
        if (epoch, sequence) < known {
            return FenceDecision::Old { epoch: self.epoch };
        }
        if (epoch, sequence) == known {
            return FenceDecision::Repeated;
        }
        self.epoch = epoch;
        self.sequence = sequence;
        FenceDecision::New
    }

    /// Takes an owner's epoch that was heard of by other means.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.sequence = 0;
        }
    }
}
