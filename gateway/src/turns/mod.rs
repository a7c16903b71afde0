//! Turns of programs and their token budgets, as the store orders them.

pub(crate) mod commit;
pub(crate) mod index;
pub(crate) mod ledger;
pub(crate) mod ledger_call;
pub(crate) mod outage;
pub(crate) mod partition;
pub(crate) mod programs;
pub(crate) mod record;
pub(crate) mod reserved_turn;
pub(crate) mod scope;
