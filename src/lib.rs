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
pub mod ids;
mod ini;
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
    AnswerStream, Attempts, CallError, Client, Collector, Patience, StreamEvent, StreamFault,
    Timeouts,
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
    EndpointRequirements, EndpointState, Target,
};
pub use coordination::commit::{
    BacklogFull, CommitEffect, CommitLimits, Committed, GroupCommit, Ticket,
};
pub use coordination::dispatch::{
    Dispatch, DispatchError, DispatchLimits, DispatchOutcome, DispatchTable, SettleOutcome,
};
pub use coordination::fence::{FenceDecision, OrderFence};
pub use coordination::hedge::{HedgeCandidate, HedgeConfig, hedge_at};
pub use coordination::limits::{Limit, Limits, TokenBucket};
pub use coordination::membership::{Membership, MembershipConfig, Node, NodeState};
pub use coordination::ownership::{ClaimView, Claimant};
pub use coordination::partition::{
    Commit, CommitError, LogHealth, PartitionConfig, PartitionEvent, PartitionHandle,
    PartitionIdentity,
};
pub use coordination::placement::{
    DesiredModel, EngineView, Placement, PlacementAction, PlacementConfig,
};
pub use coordination::rendezvous::rendezvous;
pub use coordination::retry::{FailedCall, RetryBudget, RetryConfig, RetryPolicy};
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
