//! Reserving a call's cost before it is dispatched.

use crate::entry::Entry;
use crate::entry::owner::program::OwnedProgram;
use crate::entry::owner::refusals::refuse_commit;
use crate::protocol::log::Log;
use crate::protocol::message::Usage;
use crate::protocol::record::Reserved;
use crate::protocol::refusal::{Refusal, RefusalCode};

impl<L: Log> Entry<L> {
    /// Reserves a call's cost; the reservation is in the log, or waits for a log that is down.
    pub(super) async fn reserve(
        &self,
        owned: &OwnedProgram<L>,
        cost: Usage,
    ) -> Result<(), Refusal> {
        if !owned.live.with_ledger(|ledger| ledger.reserve(cost)) {
            let message = "The program's budget does not cover the call.";
            return Err(Refusal::not_run(RefusalCode::Budget, message));
        }
        if owned.live.has_pushed_reserve() && is_reserve_committed(owned) {
            return Ok(());
        }
        let entry = Reserved {
            program: owned.live.id,
            reserved: owned.live.reserve_ahead(cost.tokens),
        };
        let committed = self.commit(&owned.handle, vec![entry.into()]).await;
        committed.map(|_| ()).map_err(|error| {
            self.settle_budget(owned, cost, Usage::default());
            refuse_commit(&error)
        })
    }

    /// Replaces a call's reservation by what it spent.
    pub(super) fn settle_budget(&self, owned: &OwnedProgram<L>, reserved: Usage, spent: Usage) {
        owned
            .live
            .with_ledger(|ledger| ledger.settle(reserved, spent));
    }
}

/// Tells whether the log has a reservation that covers all that is reserved. One that is only
/// pushed would be lost with this node, and the next owner would not count what ran on it.
fn is_reserve_committed<L: Log>(owned: &OwnedProgram<L>) -> bool {
    let reserved = owned.live.with_ledger(|ledger| ledger.reserved());
    owned.handle.with_state(|state| {
        let program = state.program(owned.live.id);
        program.is_some_and(|program| reserved.fits(program.reserved))
    })
}

/// Gives a reservation back unless the call is settled first, also when the call is dropped.
pub(super) struct Reservation<'a, L: Log> {
    entry: &'a Entry<L>,
    owned: &'a OwnedProgram<L>,
    cost: Usage,
    /// What the call may have spent so far.
    pub(super) spent: Usage,
}

impl<'a, L: Log> Reservation<'a, L> {
    /// Guards a reservation that was granted.
    pub(super) fn new(entry: &'a Entry<L>, owned: &'a OwnedProgram<L>, cost: Usage) -> Self {
        Self {
            entry,
            owned,
            cost,
            spent: Usage::default(),
        }
    }
}

impl<L: Log> Drop for Reservation<'_, L> {
    fn drop(&mut self) {
        self.entry.settle_budget(self.owned, self.cost, self.spent);
    }
}
