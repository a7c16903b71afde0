//! Budget of a program: amounts spent, reserved and remaining.

use crate::protocol::image::Program;
use crate::protocol::message::Usage;

/// Budget accounting of one program.
///
/// Invariants: `spent + reserved` stays within the budget as long as every reservation was granted
/// by [`Ledger::reserve`] and no call spends more than its reservation. `unrecorded` is a part of
/// `reserved`, so that a takeover charges it.
///
/// ```
/// use galenapick::{Ledger, Usage};
///
/// let unit = |n| Usage { tokens: n, calls: n, time_ms: n };
/// let mut ledger = Ledger::new(unit(10));
/// assert!(ledger.reserve(unit(6)));
/// assert!(!ledger.reserve(unit(6)));
/// ledger.settle(unit(6), unit(2));
/// assert!(ledger.reserve(unit(6)));
/// ledger.charge_reserved();
/// assert_eq!(ledger.spent(), unit(8));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    budget: Usage,
    spent: Usage,
    reserved: Usage,
    /// Usage of failed runs that no record of the log has as spent yet.
    unrecorded: Usage,
}

impl Ledger {
    /// Creates a ledger with nothing spent or reserved.
    pub fn new(budget: Usage) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Creates the ledger of a program from its index.
    pub fn of(program: &Program) -> Self {
        Self {
            budget: program.budget,
            spent: program.spent,
            reserved: program.total_reserved(),
            unrecorded: Usage::default(),
        }
    }

    /// Reserves an amount if it fits into the budget. Returns whether it was reserved.
    pub fn reserve(&mut self, amount: Usage) -> bool {
        let total = self.spent + self.reserved + amount;
        if !total.fits(self.budget) {
            return false;
        }
        self.reserved += amount;
        true
    }

    /// Replaces a reservation with the amount actually spent.
    pub fn settle(&mut self, reserved: Usage, spent: Usage) {
        self.reserved = self.reserved - reserved;
        self.spent += spent;
    }

    /// Uses a part of a reservation for a failed run. The amount stays reserved until it is recorded.
    pub fn use_reserved(&mut self, reserved: Usage, used: Usage) {
        self.reserved = self.reserved - reserved + used;
        self.unrecorded += used;
    }

    /// Moves the usage of failed runs to the spent amounts and returns it. The caller writes it to the
    /// log, or calls [`Ledger::restore_unrecorded`].
    pub fn take_unrecorded(&mut self) -> Usage {
        let used = std::mem::take(&mut self.unrecorded);
        self.settle(used, used);
        used
    }

    /// Takes back spent amounts whose record was not written, to be recorded later.
    pub fn restore_unrecorded(&mut self, spent: Usage) {
        self.spent = self.spent - spent;
        self.use_reserved(Usage::default(), spent);
    }

    /// Charges all reservations as spent, because their actual use is unknown after a takeover.
    pub fn charge_reserved(&mut self) {
        self.spent += self.reserved;
        self.reserved = Usage::default();
        self.unrecorded = Usage::default();
    }

    /// Returns the total budget.
    pub fn budget(&self) -> Usage {
        self.budget
    }

    /// Returns the amounts spent so far.
    pub fn spent(&self) -> Usage {
        self.spent
    }

    /// Returns the amounts reserved and not settled.
    pub fn reserved(&self) -> Usage {
        self.reserved
    }

    /// Returns the usage of failed runs that is reserved and that no record has as spent yet.
    pub fn unrecorded(&self) -> Usage {
        self.unrecorded
    }

    /// Returns the amounts neither spent nor reserved.
    pub fn remaining(&self) -> Usage {
        self.budget - self.spent - self.reserved
    }
}

impl Program {
    /// Returns the amounts reserved for all calls that may be in flight.
    pub fn total_reserved(&self) -> Usage {
        let by_actions = self.reserved_by_actions();
        // Both reservations cover the open actions, so the larger one counts, not the sum.
        self.reserved + (by_actions - self.reserved)
    }

    /// Charges the reservation as spent. The part of open actions remains reserved until they are
    /// settled.
    pub(crate) fn charge_reserved(&mut self) {
        self.spent += self.reserved - self.reserved_by_actions();
        self.reserved = Usage::default();
    }

    fn reserved_by_actions(&self) -> Usage {
        let open = self.open_actions().map(|action| action.reserved);
        open.fold(Usage::default(), |sum, reserved| sum + reserved)
    }
}
