//! Refusals returned by a partition owner.

use crate::coordination::partition::CommitError;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::history::HistoryError;

/// Retry delay sent to the caller while the log is down, in milliseconds.
pub(super) const LOG_RETRY_MS: u64 = 1_000;

/// Retry delay sent to the caller while a partition changes its owner, in milliseconds.
const OWNER_RETRY_MS: u64 = 200;

/// Refusal for a program whose partition this node does not own.
pub(crate) fn refuse_no_owner() -> Refusal {
    let message = "This node does not own the program's partition.";
    Refusal::not_run(RefusalCode::NoOwner, message).retry_after_ms(OWNER_RETRY_MS)
}

/// Refusal for an entry that could not be queued for the log or that the fold ignored.
pub(super) fn refuse_commit(error: &CommitError) -> Refusal {
    match error {
        CommitError::Full => {
            let message = "The backlog of the log is full.";
            Refusal::not_run(RefusalCode::LogDown, message).retry_after_ms(LOG_RETRY_MS)
        }
        CommitError::Ignored(reason) => {
            log::error!(
                target: "owner",
                "owner: committed entry was ignored by the state fold: {reason}"
            );
            Refusal::unknown(RefusalCode::Conflict, "The program's state has changed.")
        }
        _ => refuse_no_owner(),
    }
}

/// Refusal for a history that cannot be read.
pub(super) fn refuse_history(error: &HistoryError) -> Refusal {
    match error {
        HistoryError::NotFound => {
            Refusal::not_run(RefusalCode::NotFound, "There is no such program.")
        }
        HistoryError::Unavailable(_) => {
            let message = "The log does not give the history now.";
            Refusal::not_run(RefusalCode::LogDown, message).retry_after_ms(LOG_RETRY_MS)
        }
        error => {
            log::error!(target: "owner", "owner: history of a branch cannot be read: {error}");
            Refusal::not_run(RefusalCode::Conflict, "The history cannot be read.")
        }
    }
}

/// Refusal for work that requires a log write first, while the log is down.
pub(super) fn refuse_log_down() -> Refusal {
    let message = "The log is down; what must be written first waits for it.";
    Refusal::not_run(RefusalCode::LogDown, message).retry_after_ms(LOG_RETRY_MS)
}
