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

#[allow(dead_code, unused_imports, reason = "the roles are wired onto it next")]
mod environment;
pub mod ids;
mod ini;
#[allow(dead_code, unused_imports, reason = "the roles are wired onto it next")]
mod logging;

mod client;
mod load;
pub mod protocol;
mod proxy;
#[allow(dead_code, unused_imports, reason = "the roles are wired onto it next")]
mod settings;
pub mod standin;
mod state;
#[allow(dead_code, unused_imports, reason = "the roles are wired onto it next")]
mod telemetry;

pub use coordination::commit::{CommitEffect, CommitLimits, Committed, Full, GroupCommit, Ticket};
pub use coordination::dispatch::{
    Dispatch, DispatchError, DispatchLimits, DispatchTable, Dispatched, Settled,
};
pub use coordination::ownership::{ClaimView, Claimant};
pub use coordination::partition::{
    Change, Commit, CommitError, LogHealth, PartitionConfig, PartitionHandle, PartitionIdentity,
};
pub use protocol::image::{Action, ActionPhase, Branch, End, Program, SupersededTurn, TurnPlace};
#[allow(dead_code, unused_imports, reason = "the roles are wired onto it next")]
mod configuration;
mod workload;

mod adapter;

pub use adapter::{
    HttpEngine, HttpEngineStream, HttpLog, HttpService, HttpVmList, HttpWeightStore,
};
mod coordination;

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
pub use coordination::rendezvous::rendezvous;
pub use coordination::retry::{FailedCall, Retries, RetryBudget, RetryConfig};
pub use coordination::watchdog::{Watchdog, WatchdogConfig, WatchdogVerdict};

pub use client::{
    AnswerStream, Attempts, CallError, Client, Collector, Patience, StreamEvent, StreamFault,
    Timeouts,
};
pub use environment::{Difference, Environment, EnvironmentErrors};
pub use ini::{Fault, FaultKind, Faults};
pub use load::{LoadOptions, LoadReport, LoadRow, run_load};
pub use protocol::configuration::Stage;
pub use protocol::message::{Message, Role, Usage};
pub use protocol::record::{
    ActionResult, Batch, Claim, Created, EndReason, Ended, Entry, Intent, Outcome, RESET_EPOCH,
    Record, Reserved, Snapshot, Turn,
};
pub use protocol::refusal::{Ran, Refusal, RefusalCode};
pub use proxy::{FaultProxy, FlowDirection};
pub use settings::{EXIT_FAILURE, EXIT_OK, EXIT_SETTINGS, EXIT_USAGE, SettingErrors, Settings};
pub use state::budget::Ledger;
pub use state::history::{HistoryError, beginning, turn_hash, verify};
pub use state::partition::{Applied, Owner, PartitionState, Void};
pub use state::program::{EntryError, Head, TurnRef};
pub use state::receipt::{ReceiptError, ReceiptKey};
pub use workload::{
    ActionRuns, ActionSeen, ActionVerdict, Deployment, Latencies, Percentiles, Plan, PlanKind,
    Planner, ProgramResult, RunOptions, Step, audit_actions, count_actions, run_program,
};
