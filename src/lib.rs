//! Galenapick schedules agent programs: chains of dependent model and tool calls. It runs between the
//! callers of programs and the endpoints, which are model engines and services. It keeps the history of
//! each program in the platform's log, chooses an endpoint for each call, enforces budgets, deadlines
//! and limits, and continues programs after failures of nodes, endpoints and the log.
//!
//! - An *entry* is a node that accepts the requests of callers, owns partitions of the programs and
//!   dispatches their calls to sidecars.
//! - A *sidecar* is a node that serves one endpoint: it schedules the calls to the endpoint and retains
//!   their answers.
//! - The *platform* provides the log, the list of VMs and the weight store.
//! - The *configuration* consists of all environments and is stored in the log. Operators change it
//!   while nodes run. The *settings* of a node are read from a file when it starts.
//!
//! The main items of the library:
//!
//! - [`Client`] is the client of the HTTP interface for callers, with retries. The types of its
//!   requests and responses are in [`protocol::caller`].
//! - [`Daemon`] and [`run_daemon`] run a node, which is an entry or a sidecar, with its [`Settings`].
//!   An [`Environment`] describes the models, services, client accounts and rules of one environment.
//! - [`run_tool`] is the command-line tool `galenapick` for operators.
//! - [`HttpEngine`], [`HttpService`], [`HttpLog`], [`HttpVmList`] and [`HttpWeightStore`] are the HTTP
//!   clients of the platform and the endpoints. They implement the interfaces in [`protocol`].
//! - Scheduling and coordination are available as parts without I/O, such as [`Admission`],
//!   [`Chooser`], [`GroupCommit`], [`Membership`], [`Placement`], [`PartitionState`] and
//!   [`BurnTable`].
//! - For tests and measurements there are [`LocalCluster`], [`FaultProxy`], [`run_load`],
//!   [`run_demo`], [`PolicyExperiment`] and the stand-ins for the platform and the endpoints in
//!   [`standin`].
//!
//! Program and call ids are 128-bit numbers, written as 32 hexadecimal digits:
//!
//! ```
//! use galenapick::ids::{format_id, program_id};
//!
//! let id = program_id(1_700_000_000_000, 7);
//! assert_eq!(format_id(id).len(), 32);
//! ```

mod adapter;
mod cli;
mod client;
mod cluster;
mod configuration;
mod coordination;
mod daemon;
mod demo;
mod entry;
mod environment;
mod experiment;
mod http;
pub mod ids;
mod ini;
mod limits;
mod load;
mod logging;
mod operations;
pub mod protocol;
mod proxy;
mod settings;
mod sidecar;
pub mod standin;
mod state;
mod telemetry;
mod transport;
mod workload;

pub use adapter::{
    HttpEngine, HttpEngineStream, HttpLog, HttpService, HttpVmList, HttpWeightStore,
};
pub use cli::run_tool;
pub use client::{
    AnswerStream, CallError, Client, Collector, RetryDeadline, RetryOutcome, StreamEvent,
    StreamFault, Timeouts,
};
pub use cluster::{
    ClusterNode, ClusterOptions, Endpoint, InProcess, Launcher, LocalCluster, NodeSpec, Platform,
    RunningNode,
};
pub use coordination::admission::{
    Admission, AdmissionConfig, CallObservation, CapConfig, Cost, PendingCall, RankWeights,
};
pub use coordination::breaker::{Breaker, BreakerConfig, BreakerState};
pub use coordination::cache::{
    CacheReleases, CacheTable, CacheTableConfig, PauseAction, PausePolicy, ReleaseConfig, ToolPause,
};
pub use coordination::choice::{
    CallOutcome, CallWork, Choice, ChoiceConfig, Chooser, EndpointInfo, EndpointKind,
    EndpointRequirements, EndpointState, Obstacle, Target,
};
pub use coordination::commit::{
    BacklogFull, CommitEffect, CommitLimits, Committed, GroupCommit, Ticket,
};
pub use coordination::crashes;
pub use coordination::dispatch::{
    Dispatch, DispatchError, DispatchLimits, DispatchOutcome, DispatchTable, SettleOutcome,
};
pub use coordination::fence::{FenceDecision, OrderFence};
pub use coordination::hedge::{HedgeCandidate, HedgeConfig, RunTimes, hedge_at};
pub use coordination::limits::{Limit, Limits, TokenBucket};
pub use coordination::membership::{Membership, MembershipConfig, Node, NodeState};
pub use coordination::ownership::{ClaimView, Claimant};
pub use coordination::pacing::{Pacer, PacerTicket, Urgency};
pub use coordination::partition::{
    Commit, CommitError, LogHealth, PartitionConfig, PartitionEvent, PartitionHandle,
    PartitionIdentity,
};
pub use coordination::placement::{
    DesiredModel, EngineView, Placement, PlacementAction, PlacementConfig,
};
pub use coordination::rendezvous::rendezvous;
pub use coordination::retry::{FailedCall, RetryBudget, RetryConfig, RetryPolicy};
pub use coordination::stable_hash::stable_hash;
pub use coordination::watchdog::{Watchdog, WatchdogConfig, WatchdogVerdict};
pub use daemon::{Daemon, run_daemon};
pub use demo::{DemoOptions, DemoReport, run_demo};
pub use environment::{Difference, Environment, EnvironmentErrors};
pub use experiment::PolicyExperiment;
pub use ini::{Fault, FaultKind, Faults};
pub use load::{LoadOptions, LoadReport, LoadRow, run_load};
pub use protocol::configuration::Stage;
pub use protocol::image::{
    Action, ActionPhase, Branch, End, Program, SupersededTurn, TurnLocation,
};
pub use protocol::message::{Message, Role, Usage};
pub use protocol::rate::{RequestRate, StatedLimit};
pub use protocol::record::{
    ActionResult, Batch, Claim, Created, EndReason, Ended, Entry, Intent, Outcome, RESET_EPOCH,
    Record, Reserved, Snapshot, Turn,
};
pub use protocol::refusal::{Ran, Refusal, RefusalCode};
pub use proxy::{FaultProxy, FlowDirection};
pub use settings::{EXIT_FAILURE, EXIT_OK, EXIT_SETTINGS, EXIT_USAGE, SettingErrors, Settings};
pub use state::budget::Ledger;
pub use state::burn::{
    Alert, BurnLine, BurnReport, BurnTable, BurnWindow, Measure, ProgramSample, TokenSample,
    WindowCount,
};
pub use state::history::{HistoryError, initial_hash, turn_hash, verify};
pub use state::partition::{Applied, Owner, PartitionState, RejectReason};
pub use state::program::{BranchHead, EntryError, TurnRef};
pub use state::receipt::{ReceiptError, ReceiptKey};
pub use workload::{
    ActionRuns, ActionVerdict, Deployment, Latencies, ObservedAction, Percentiles, Plan, PlanKind,
    Planner, ProgramResult, RunOptions, Step, audit_actions, count_actions, run_program,
};
