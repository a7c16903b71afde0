//! A scheduler for agent programs, and the coordination parts it is made of.
//!
//! A program is a chain of dependent model and tool calls. The daemon `galenapickd` stands between
//! its callers and the endpoints; the tool `galenapick` operates it.
//!
//! ```
//! use galenapick::ids::{format_id, program_id};
//!
//! let id = program_id(1_700_000_000_000, 7);
//! assert_eq!(format_id(id).len(), 32);
//! ```

pub mod ids;

pub mod protocol;

mod coordination;
mod state;

pub use coordination::commit::{CommitEffect, CommitLimits, Committed, Full, GroupCommit, Ticket};
pub use coordination::dispatch::{
    Dispatch, DispatchError, DispatchLimits, DispatchTable, Dispatched, Settled,
};
pub use coordination::ownership::{ClaimView, Claimant};
pub use coordination::partition::{
    Change, Commit, CommitError, LogHealth, PartitionConfig, PartitionHandle, PartitionIdentity,
};
pub use coordination::rendezvous::rendezvous;
pub use protocol::image::{Action, ActionPhase, Branch, End, Program, SupersededTurn, TurnPlace};
pub use protocol::message::{Message, Role, Usage};
pub use protocol::record::{
    ActionResult, Batch, Claim, Created, EndReason, Ended, Entry, Intent, Outcome, RESET_EPOCH,
    Record, Reserved, Snapshot, Turn,
};
pub use protocol::refusal::{Ran, Refusal, RefusalCode};
pub use state::budget::Ledger;
pub use state::history::{HistoryError, beginning, turn_hash, verify};
pub use state::partition::{Applied, Owner, PartitionState, Void};
pub use state::program::{EntryError, Head, TurnRef};
pub use state::receipt::{ReceiptError, ReceiptKey};
