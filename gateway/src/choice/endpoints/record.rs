//! What is known of an endpoint, what a call asks of one, and how the call ended.

use super::InstanceId;
use crate::dialect::PartId;
use galenapick::Urgency;
use std::net::SocketAddr;
use std::rc::Rc;

/// Load that an endpoint reports with an answer, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests being executed.
    pub running: u32,
    /// Requests in the endpoint's queue.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Factor by which work takes longer than usual at this moment, if it is stated.
    pub slowdown: Option<f64>,
}

/// An endpoint's entry in the platform's list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Instance id.
    pub id: InstanceId,
    /// Name of the service that it provides.
    pub service: Rc<str>,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: String,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and must get no new calls.
    pub is_draining: bool,
    /// Start time in Unix milliseconds, if known. It tells two incarnations of the same id apart.
    pub started_unix_ms: Option<u64>,
}

/// Requirements of a call on the endpoint that runs it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointRequirements<'a> {
    /// Service that must run the call.
    pub service: &'a str,
    /// Prompt length in tokens; 0 for calls without a prompt.
    pub prompt_tokens: u32,
    /// Expected answer length in tokens.
    pub answer_tokens: u32,
    /// Parts of the prompt in order, each with its length in tokens.
    pub prompt_parts: &'a [(PartId, u32)],
    /// Endpoints that must not be chosen because they were already tried.
    pub exclude: &'a [InstanceId],
    /// Urgency of the call, where an endpoint limits the rate of its requests.
    pub urgency: Urgency,
    /// Whether endpoints that limit the rate of their requests must not be chosen.
    pub is_unlimited: bool,
}

/// Outcome of a call, as far as it concerns the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint answered.
    Answered,
    /// The endpoint answered with a failure of its own.
    AnsweredWithFailure,
    /// The endpoint refused the call for lack of capacity.
    Refused,
    /// The endpoint could not be reached, or the answer was invalid or missing.
    Failed,
    /// The connection ended after the request was sent and before the answer was complete.
    Disconnected,
    /// The call ended for a reason unrelated to the endpoint's health.
    Abandoned,
}
