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

mod environment;
pub mod ids;
mod ini;
mod logging;

mod client;

pub mod protocol;
mod settings;
mod telemetry;

pub mod standin;

mod adapter;

pub use adapter::{HttpEngine, HttpEngineStream, HttpLog, HttpService};
mod coordination;
mod entry;
mod sidecar;
mod transport;

pub use coordination::admission::{
    Admission, AdmissionConfig, CapConfig, Cost, Observed, OrderWeights, Waiting,
};
pub use coordination::breaker::{Breaker, BreakerConfig, BreakerState};
pub use coordination::cache::{
    CacheTable, CacheTableConfig, Pause, PauseAction, PauseRule, ReleaseConfig, Releases,
};
pub use coordination::choice::{
    Choice, ChoiceConfig, Chooser, EndpointInfo, EndpointKind, EndpointState, Sent, SentEnd,
    Target, Want,
};
pub use coordination::hedge::{HedgeCandidate, HedgeConfig, hedge_at};
pub use coordination::limits::{Limit, Limits, TokenBucket};
pub use coordination::retry::{FailedCall, Retries, RetryBudget, RetryConfig};
pub use coordination::watchdog::{Watchdog, WatchdogConfig, WatchdogVerdict};

pub use client::{
    AnswerStream, Attempts, CallError, Client, Collector, Patience, StreamEvent, StreamFault,
    Timeouts,
};
pub use environment::{Environment, EnvironmentErrors, Stage};
pub use ini::{Fault, FaultKind, Faults};
pub use protocol::message::{Message, Role, Usage};
pub use protocol::record::{
    ActionResult, Batch, Claim, Created, EndReason, Ended, Entry, Intent, Outcome, Record,
    Snapshot, Turn,
};
pub use protocol::refusal::{Ran, Refusal, RefusalCode};
pub use settings::{EXIT_FAILURE, EXIT_OK, EXIT_SETTINGS, EXIT_USAGE, SettingErrors, Settings};
