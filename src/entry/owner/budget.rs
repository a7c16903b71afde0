//! Reservation of a call's cost in the program's budget before dispatch.

use crate::entry::Entry;
use crate::entry::owner::program::OwnedProgram;
use crate::entry::owner::refusals::refuse_commit;
use crate::protocol::log::Log;
use crate::protocol::message::Usage;
use crate::protocol::record::Reserved;
use crate::protocol::refusal::{Refusal, RefusalCode};

impl<L: Log> Entry<L> {
    /// Reserves a call's cost and writes the reservation to the log.
    ///
    /// Returns after the commit, or after the commit timeout with the reservation still queued.
    /// Refuses with `Budget` if the remaining budget is too small.
    pub(super) async fn reserve(
        &self,
        owned: &OwnedProgram<L>,
        cost: Usage,
    ) -> Result<(), Refusal> {
        if !owned.live.with_ledger(|ledger| ledger.reserve(cost)) {
            let message = "The program's budget does not cover the call.";
            return Err(Refusal::not_run(RefusalCode::Budget, message));
        }
        if owned.live.is_reserve_queued() && is_reserve_committed(owned) {
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

    /// Replaces a call's reservation by its actual usage.
    pub(super) fn settle_budget(&self, owned: &OwnedProgram<L>, reserved: Usage, spent: Usage) {
        owned
            .live
            .with_ledger(|ledger| ledger.settle(reserved, spent));
    }
}

/// Returns whether a committed reservation covers everything that is reserved now.
///
/// A reservation that is only queued would be lost with this node, and the next owner would not
/// charge the calls that ran on it.
fn is_reserve_committed<L: Log>(owned: &OwnedProgram<L>) -> bool {
    let reserved = owned.live.with_ledger(|ledger| ledger.reserved());
    owned.handle.with_state(|state| {
        let program = state.program(owned.live.id);
        program.is_some_and(|program| reserved.fits(program.reserved))
    })
}

/// Settles a reservation when dropped, charging `spent` and releasing the rest.
///
/// This also holds for a call whose future is dropped.
pub(super) struct Reservation<'a, L: Log> {
    entry: &'a Entry<L>,
    owned: &'a OwnedProgram<L>,
    cost: Usage,
    /// Usage to charge. Zero until the call has run.
    pub(super) spent: Usage,
}

impl<'a, L: Log> Reservation<'a, L> {
    /// Guards a granted reservation.
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
