//! The tokens of one turn: reserved before it runs, settled when it ends.

use crate::dialect::Dialect;
use crate::node::{Gateway, InFlightGuard};
use crate::serve::call::Call;
use crate::turns::ledger::{Denial, NewTurn, PendingReservation};
use crate::turns::scope::scoped_id;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;

/// A turn whose tokens count against its program's budget. It is settled on drop unless that was
/// done before or it completed.
pub(crate) struct ReservedTurn<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    pub(crate) new_turn: NewTurn,
    reservation: OnceCell<PendingReservation>,
    /// Whether the budget covers the reservation, once that is known.
    confirmation: Cell<Option<bool>>,
    spent_tokens: Cell<u64>,
    /// Whether an owner that did not reply may still reserve the tokens.
    may_be_reserved: Cell<bool>,
    /// Whether nothing is left to settle.
    is_settled: Cell<bool>,
}

impl<D: Dialect> Drop for ReservedTurn<D> {
    fn drop(&mut self) {
        self.settle();
    }
}

impl<D: Dialect> ReservedTurn<D> {
    /// Creates a turn that has not been reserved yet and that a service will run.
    pub(crate) fn new(gateway: &Rc<Gateway<D>>, call: &Call, service: &str) -> Self {
        let info = &call.info;
        let stated_tokens = info.tokens.map_or(0, |(_, tokens)| u64::from(tokens));
        let max_events = call.max_events(service).unwrap_or_default();
        let max_tokens = max_events * call.tokens_per_event(service);
        // The budget must cover the stated tokens only, whatever the last event counts.
        let rounding = max_tokens - stated_tokens;
        let budget_tokens = info.budget_tokens;
        let account = call.account.as_deref();
        let is_kept = call.route.retention.is_some();
        let previous = info.previous_turn.as_deref().filter(|_| is_kept);
        let new_turn = NewTurn {
            turn: scoped_id(account, call.id()),
            program: scoped_id(account, info.program.as_deref().unwrap_or_default()),
            previous: previous.map(|turn| scoped_id(account, turn)),
            max_tokens,
            budget_tokens: budget_tokens.map(|tokens| tokens.saturating_add(rounding)),
            time_left_ms: call.time_left().as_millis() as u64,
            is_retry: false,
        };
        Self {
            gateway: gateway.clone(),
            new_turn,
            reservation: OnceCell::new(),
            confirmation: Cell::new(None),
            spent_tokens: Cell::new(0),
            may_be_reserved: Cell::new(false),
            is_settled: Cell::new(false),
        }
    }

    /// Sets the reservation whose confirmation is awaited. Only the first call has an effect.
    pub(crate) fn set_reservation(&self, reservation: PendingReservation) {
        // A second reservation of the same turn would count once anyway.
        let _ = self.reservation.set(reservation);
    }

    /// Waits until the reservation is confirmed or rejected. Returns whether the budget covers it.
    pub(crate) async fn wait_for_confirmation(&self) -> bool {
        if self.new_turn.budget_tokens.is_none() {
            return true;
        }
        if let Some(is_confirmed) = self.confirmation.get() {
            return is_confirmed;
        }
        let Some(reservation) = self.reservation.get() else {
            return false;
        };
        let is_confirmed = self
            .gateway
            .confirm_reservation(&self.new_turn, reservation)
            .await;
        self.confirmation.set(Some(is_confirmed));
        is_confirmed
    }

    /// Counts tokens that are about to be delivered to the client.
    pub(crate) fn add_spent(&self, tokens: u64) {
        self.spent_tokens.set(self.spent_tokens.get() + tokens);
    }

    pub(crate) fn spent_tokens(&self) -> u64 {
        self.spent_tokens.get()
    }

    /// Notes that an owner did not reply to the request to reserve the tokens.
    pub(crate) fn note_lost_owner(&self) {
        self.may_be_reserved.set(true);
    }

    /// Ends a turn that was denied. Its tokens are settled only if they may be reserved all the same, and
    /// not if another turn with its id has ended, whose record counts.
    pub(crate) fn end_denied(&self, denial: Denial) {
        if !self.may_be_reserved.get() || denial == Denial::DuplicateTurn {
            self.mark_settled();
        }
        self.settle();
    }

    /// Marks the turn as stored, or as never reserved.
    pub(crate) fn mark_settled(&self) {
        self.is_settled.set(true);
    }

    /// Replaces the reservation by the spent tokens, in the background. Until the store has the
    /// settlement, the reservation counts.
    pub(crate) fn settle(&self) {
        let spent_tokens = self.spent_tokens.get();
        let has_record = self.new_turn.budget_tokens.is_some() || spent_tokens > 0;
        if self.is_settled.replace(true) || !has_record || self.new_turn.program.is_empty() {
            return;
        }
        let gateway = self.gateway.clone();
        let NewTurn { turn, program, .. } = self.new_turn.clone();
        let executor = gateway.executor.clone();
        let guard = InFlightGuard::new(&gateway.settlements_in_flight);
        let settle = async move {
            gateway.settle_turn(&turn, program, spent_tokens).await;
            drop(guard);
        };
        executor.spawn(settle).detach();
    }
}
