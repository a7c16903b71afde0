//! Reservation of a call's cost in the program's budget before dispatch.

use crate::entry::Entry;
use crate::entry::owner::branch::CallJob;
use crate::entry::owner::program::{AnswerStream, OwnedProgram};
use crate::entry::owner::refusals::refuse_commit;
use crate::ids::{CallId, format_id};
use crate::protocol::log::Log;
use crate::protocol::message::Usage;
use crate::protocol::record::Reserved;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::transport::replay::Delivered;

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
        take_budget(owned, cost)?;
        let written = self.write_reserved(owned, cost.tokens).await;
        written.inspect_err(|_| self.settle_budget(owned, cost, Usage::default()))
    }

    /// Writes a reservation to the log unless a committed one covers everything reserved now.
    async fn write_reserved(
        &self,
        owned: &OwnedProgram<L>,
        next_tokens: u64,
    ) -> Result<(), Refusal> {
        if owned.live.is_reserve_queued() && is_reserve_committed(owned) {
            return Ok(());
        }
        let entry = Reserved {
            program: owned.live.id,
            reserved: owned.live.reserve_ahead(next_tokens),
            spent: Usage::default(),
        };
        let committed = self.commit(&owned.handle, vec![entry.into()]).await;
        committed.map(|_| ()).map_err(|error| refuse_commit(&error))
    }

    /// Queues a record of what failed runs have used, so that it stays charged when the program leaves
    /// this node's memory.
    pub(super) fn record_failed_runs(&self, owned: &OwnedProgram<L>) {
        let Some(entry) = owned.live.take_unrecorded() else {
            return;
        };
        let spent = entry.spent;
        if let Err(error) = owned.handle.push(vec![entry.into()]) {
            owned
                .live
                .with_ledger(|ledger| ledger.restore_unrecorded(spent));
            log::info!(
                target: "owner",
                "owner: usage of a failed call was not recorded, keeping it reserved: {error}"
            );
        }
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

/// Reserves an amount in memory, or refuses with `Budget`.
fn take_budget<L>(owned: &OwnedProgram<L>, amount: Usage) -> Result<(), Refusal> {
    if owned.live.with_ledger(|ledger| ledger.reserve(amount)) {
        return Ok(());
    }
    Err(refuse_budget())
}

fn refuse_budget() -> Refusal {
    let message = "The program's budget does not cover the call.";
    Refusal::not_run(RefusalCode::Budget, message)
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

/// Reservation of a model call with all its runs.
///
/// When dropped, it charges what the runs have delivered, or the usage of a finished call.
///
/// Invariants: `charged` is what earlier runs delivered and the ledger has as used, so that no run is
/// charged twice. `left` is what is still reserved for the rest of the call.
pub(in crate::entry) struct GenerationReservation<'a, L: Log> {
    entry: &'a Entry<L>,
    owned: &'a OwnedProgram<L>,
    call: CallId,
    answer: &'a AnswerStream,
    run_tokens: u64,
    left: Usage,
    charged: Delivered,
    /// Usage of the run that answered the call, once it has.
    finished: Option<Usage>,
}

impl<'a, L: Log> GenerationReservation<'a, L> {
    /// Reserves the cost of a call with one run and writes the reservation to the log.
    ///
    /// Refuses with `Budget` if the remaining budget is too small.
    pub(super) async fn grant(
        entry: &'a Entry<L>,
        owned: &'a OwnedProgram<L>,
        job: &'a CallJob,
        cost: Usage,
    ) -> Result<Self, Refusal> {
        take_budget(owned, cost)?;
        let reservation = Self {
            entry,
            owned,
            call: job.call.call,
            answer: &job.answer,
            run_tokens: cost.tokens,
            left: cost,
            charged: Delivered::default(),
            finished: None,
        };
        entry.write_reserved(owned, cost.tokens).await?;
        Ok(reservation)
    }

    /// Returns the stream that receives the call's tokens.
    pub(in crate::entry) fn answer(&self) -> &'a AnswerStream {
        self.answer
    }

    /// Charges what the runs so far have delivered, after the last one failed.
    pub(in crate::entry) fn charge_failed_run(&mut self) {
        let (run, delivered) = self.answer.delivered();
        let tokens = self.charge(delivered);
        if tokens > 0 {
            log::info!(
                target: "owner",
                "owner: a run of call {} at {} did not finish, charging its {tokens} tokens",
                format_id(self.call),
                run.node
            );
        }
    }

    /// Reserves again what failed runs have used, so that there is room for another run.
    ///
    /// Refuses with `Budget` if the remaining budget is too small.
    pub(in crate::entry) async fn renew(&mut self) -> Result<(), Refusal> {
        let missing = Usage {
            tokens: self.run_tokens.saturating_sub(self.left.tokens),
            ..Usage::default()
        };
        if missing.is_zero() {
            return Ok(());
        }
        if self.left.time_ms == 0 {
            return Err(refuse_budget());
        }
        take_budget(self.owned, missing)?;
        self.left += missing;
        self.entry.write_reserved(self.owned, self.run_tokens).await
    }

    /// Ends the call with the usage of the run that answered it. Earlier runs are charged as well.
    pub(super) fn finish(mut self, spent: Usage) {
        self.charge(self.answer.delivered_before());
        self.finished = Some(spent);
    }

    /// Charges what the runs delivered beyond what is charged, and returns its tokens.
    fn charge(&mut self, delivered: Delivered) -> u64 {
        let uncharged = delivered.since(self.charged);
        self.charged = delivered;
        let used = Usage {
            tokens: uncharged.tokens,
            calls: 0,
            time_ms: uncharged.time.as_millis() as u64,
        };
        let part = used.min_parts(self.left);
        self.left = self.left - part;
        self.owned
            .live
            .with_ledger(|ledger| ledger.use_reserved(part, used));
        used.tokens
    }
}

impl<L: Log> Drop for GenerationReservation<'_, L> {
    fn drop(&mut self) {
        if self.finished.is_none() {
            self.charge_failed_run();
        }
        let spent = self.finished.unwrap_or_default();
        self.entry.settle_budget(self.owned, self.left, spent);
    }
}
