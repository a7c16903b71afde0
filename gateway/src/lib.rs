//! Gateways for a platform on which no VM is dedicated to control.
//!
//! Each gateway forwards client requests to endpoints. Durable state, which is turns and token
//! reservations, is kept in the platform's store, and the order of records there is authoritative.
//! One gateway normally owns each partition of that state. If the owner is lost, any other gateway
//! continues without it immediately.

mod admission;
mod choice;
mod counters;
#[cfg(test)]
mod decoder_tests;
mod dialect;
mod events;
mod fleet;
mod limits;
mod net;
mod node;
mod routes;
mod serve;
mod store;
mod turns;

pub use choice::endpoints::{
    CallOutcome, EndpointRecord, EndpointRequirements, Endpoints, InstanceId, ReportedLoad,
};
pub use dialect::{
    AnswerInfo, Append, AppendOutcome, CallInfo, Credential, Dialect, Dispatch, KeyValue,
    NewestPage, Offset, PartId, PartitionNumber, ReadOutcome, StoreCall, StoreRecord, Topic,
};
pub use galenapick::{RequestRate, StatedLimit};
pub use node::{GatewaySettings, SettingsReader, Terms, run_gateway};
pub use routes::{
    Account, AccountName, ClientLimits, Configuration, ConfigurationVersion, EngineLimits, KeyHash,
    Quota, Retention, Route, RouteKind, Routes, Service,
};
pub use serve::http::Header;
