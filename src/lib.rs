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

mod transport;

pub use protocol::message::{Message, Role, Usage};
pub use protocol::record::{
    ActionResult, Batch, Claim, Created, EndReason, Ended, Entry, Intent, Outcome, Record,
    Snapshot, Turn,
};
pub use protocol::refusal::{Ran, Refusal, RefusalCode};
