//! A program's budget: what is spent, what is reserved, and what is left.

use crate::protocol::image::Program;
use crate::protocol::message::Usage;

/// The budget of one program.
///
/// Invariant: `spent + reserved` fits the budget as long as every reservation was granted by
/// [`Ledger::reserve`] and no call spends more than was reserved for it.
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
}

impl Ledger {
    /// Makes a ledger with nothing spent.
    pub fn new(budget: Usage) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Makes the ledger of a program as the log has it.
    pub fn of(program: &Program) -> Self {
        Self {
            budget: program.budget,
            spent: program.spent,
            reserved: program.total_reserved(),
        }
    }

    /// Reserves an amount if it fits, and tells whether it does.
    pub fn reserve(&mut self, amount: Usage) -> bool {
        let total = self.spent + self.reserved + amount;
        if !total.fits(self.budget) {
            return false;
        }
        self.reserved += amount;
        true
    }

    /// Replaces a reservation by what was spent of it.
    pub fn settle(&mut self, reserved: Usage, spent: Usage) {
        self.reserved = self.reserved - reserved;
        self.spent += spent;
    }

    /// Counts all that is reserved as spent, since nobody knows what became of it.
    pub fn charge_reserved(&mut self) {
        self.spent += self.reserved;
        self.reserved = Usage::default();
    }

    /// All that may be spent.
    pub fn budget(&self) -> Usage {
        self.budget
    }

    /// Spent so far.
    pub fn spent(&self) -> Usage {
        self.spent
    }

    /// Reserved and not settled.
    pub fn reserved(&self) -> Usage {
        self.reserved
    }

    /// Neither spent nor reserved.
    pub fn remaining(&self) -> Usage {
        self.budget - self.spent - self.reserved
    }
}

impl Program {
    /// Reserved for all calls that may be under way.
    pub fn total_reserved(&self) -> Usage {
        let open = self.reserved_by_actions();
        // Both cover the open actions, so the larger part counts, not the sum.
        self.reserved + (open - self.reserved)
    }

    /// Counts the reservation as spent; open actions keep their part until they are settled.
    pub(crate) fn charge_reserved(&mut self) {
        self.spent += self.reserved - self.reserved_by_actions();
        self.reserved = Usage::default();
    }

    fn reserved_by_actions(&self) -> Usage {
        let open = self.open_actions().map(|action| action.reserved);
        open.fold(Usage::default(), |sum, reserved| sum + reserved)
    }
}
