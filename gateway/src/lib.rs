//! The entry role on a platform that sets no VM aside for control.
//!
//! Each gateway forwards requests of clients to endpoints. What must last stands in the platform's
//! log: turns and reserved tokens, in one order that every gateway reads. No gateway owns a
//! program, so none has to be replaced when it is lost.

mod call;
mod commit;
mod counters;
mod dialect;
mod endpoints;
mod events;
mod follow;
mod forward;
mod front;
mod gossip;
mod http;
mod net;
mod node;
mod partition;
mod pool;
mod readiness;
mod record;
mod relay;
mod reply;
mod routes;
mod store;
mod stream;
mod turn_call;
mod turns;

pub use dialect::{
    AnswerInfo, Append, Appended, CallInfo, Dialect, Dispatch, NewestPage, Offset, PartId,
    PartitionNumber, Read, StoreCall, StoreRecord, Topic,
};
pub use endpoints::{CallEnd, EndpointRecord, Endpoints, InstanceId, ReportedLoad, Want};
pub use http::Header;
pub use node::{GatewaySettings, ReadSettings, run_gateway};
pub use routes::{
    ClientLimits, Configuration, ConfigurationVersion, EngineLimits, Retention, Route, RouteKind,
    Routes, Service,
};
