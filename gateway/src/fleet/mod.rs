//! What gateways tell each other: heartbeats, reports, permits, ownership of partitions.

pub(crate) mod carrier;
pub(crate) mod crash_reports;
pub(crate) mod endpoint_reports;
pub(crate) mod gossip;
pub(crate) mod limit_reports;
pub(crate) mod owners;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod quotas;
mod reception;
pub(crate) mod relay;
