//! Gateways for a platform on which no VM is dedicated to control.
//!
//! Each gateway forwards client requests to endpoints. Durable state, which is turns and token
//! reservations, is kept in the platform's store, and the order of records there is authoritative.
//! One gateway normally owns each partition of that state. If the owner is lost, any other gateway
//! continues without it immediately.

mod call;
mod commit;
mod counters;
mod crash_reports;
#[cfg(test)]
mod decoder_tests;
mod dialect;
mod endpoints;
mod event_stream;
mod events;
mod follow;
mod forward;
mod front;
mod gossip;
mod http;
mod ledger;
mod ledger_call;
mod limit_reports;
mod limits;
mod net;
mod node;
mod outage;
mod owners;
mod partition;
mod peers;
mod permits;
mod pool;
mod programs;
mod readiness;
mod record;
mod relay;
mod reply;
mod reserved_turn;
mod routes;
mod shutdown;
mod store;
mod stream;
mod turn_call;
mod turns;

pub use dialect::{
    AnswerInfo, Append, AppendOutcome, CallInfo, Dialect, Dispatch, KeyValue, NewestPage, Offset,
    PartId, PartitionNumber, ReadOutcome, StoreCall, StoreRecord, Topic,
};
pub use endpoints::{
    CallOutcome, EndpointRecord, EndpointRequirements, Endpoints, InstanceId, ReportedLoad,
};
pub use galenapick::{RequestRate, StatedLimit};
pub use http::Header;
pub use node::{GatewaySettings, SettingsReader, run_gateway};
pub use routes::{
    ClientLimits, Configuration, ConfigurationVersion, EngineLimits, Retention, Route, RouteKind,
    Routes, Service,
};
