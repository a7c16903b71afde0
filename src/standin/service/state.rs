//! The actions, faults and counters of the service stand-in.

use crate::ids::CallId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Settings of a service stand-in.
#[derive(Clone, Debug, Default)]
pub struct ServiceConfig {
    /// Minimum time before an action takes effect.
    pub work: Duration,
    /// Upper bound of the random time added to `work`.
    pub work_spread: Duration,
    /// Seed of the random times and faults.
    pub seed: u64,
}

/// A change of a service's behaviour. Omitted fields keep their values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// Number of following requests that hang without taking effect.
    pub hang_before: Option<u32>,
    /// Number of following requests that take effect and then hang.
    pub hang_after: Option<u32>,
    /// Number of following requests whose connection is closed before they take effect.
    pub cut_before: Option<u32>,
    /// Number of following requests that take effect but whose connection is closed without an answer.
    pub lose_answers: Option<u32>,
    /// Share of requests that take effect but whose connection is closed without an answer, from 0 to 1.
    pub lose_answer_share: Option<f64>,
    /// Number of following requests that are answered with status 500 and take no effect.
    pub fail: Option<u32>,
    /// Minimum time before an action takes effect, in milliseconds.
    pub work_ms: Option<u64>,
    /// With `true`, stops listening and closes every connection. With `false`, resumes listening.
    pub down: Option<bool>,
}

/// An action that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAction {
    /// The id of the call, as 32 hexadecimal digits.
    pub call: String,
    /// The name of the operation.
    pub operation: String,
    /// The argument, which is the request body.
    pub body: String,
}

/// Counters of a service stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Number of requests for operations.
    pub requests: u64,
    /// Number of actions that took effect.
    pub actions: u64,
    /// Number of calls whose action took effect more than once.
    pub repeated: u64,
    /// Number of requests that took effect and whose connection was closed without an answer.
    pub lost_answers: u64,
}

/// The fault that affects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceFault {
    /// No fault.
    None,
    /// The request hangs without taking effect.
    HangBefore,
    /// The request takes effect and then hangs.
    HangAfter,
    /// The connection is closed, and the request takes no effect.
    CutBefore,
    /// The request takes effect, and the connection is closed without an answer.
    LostAnswer,
    /// The request fails with status 500 and takes no effect.
    Fail,
}

/// Returns the response body of a service stand-in: a JSON object with the operation, the call and a
/// hash of the request body.
pub fn expected_result(operation: &str, call: &str, body: &str) -> String {
    let digest = blake3::hash(body.as_bytes()).to_hex();
    let result = serde_json::json!({
        "operation": operation,
        "call": call,
        "argument": &digest[..16],
    });
    result.to_string()
}

/// The recorded actions and the active faults.
pub(crate) struct ServiceState {
    /// The requested faults. Their counts decrease with each affected request.
    faults: ServiceControl,
    work: Duration,
    work_spread: Duration,
    rng: fastrand::Rng,
    run_counts: HashMap<CallId, u32>,
    actions: Vec<ServiceAction>,
    /// The counters.
    pub(crate) counts: ServiceCounts,
}

impl ServiceState {
    /// Creates a state without actions and faults.
    pub(crate) fn new(config: &ServiceConfig) -> Self {
        Self {
            faults: ServiceControl::default(),
            work: config.work,
            work_spread: config.work_spread,
            rng: fastrand::Rng::with_seed(config.seed),
            run_counts: HashMap::new(),
            actions: Vec::new(),
            counts: ServiceCounts::default(),
        }
    }

    /// Applies a change, except for `down`, which concerns the server.
    pub(crate) fn apply(&mut self, control: ServiceControl) {
        if let Some(work_ms) = control.work_ms {
            self.work = Duration::from_millis(work_ms);
        }
        let old = std::mem::take(&mut self.faults);
        self.faults = ServiceControl {
            hang_before: control.hang_before.or(old.hang_before),
            hang_after: control.hang_after.or(old.hang_after),
            cut_before: control.cut_before.or(old.cut_before),
            lose_answers: control.lose_answers.or(old.lose_answers),
            lose_answer_share: control.lose_answer_share.or(old.lose_answer_share),
            fail: control.fail.or(old.fail),
            work_ms: None,
            down: None,
        };
    }

    /// Counts a request and determines its fault and the time before its action takes effect.
    pub(crate) fn draw_request(&mut self) -> (ServiceFault, Duration) {
        self.counts.requests += 1;
        let work = self.work + self.work_spread.mul_f64(self.rng.f64());
        (self.draw_fault(), work)
    }

    /// Records an action that takes effect.
    pub(crate) fn record_action(&mut self, call: CallId, action: ServiceAction) {
        let run_count = self.run_counts.entry(call).or_default();
        *run_count += 1;
        self.counts.actions += 1;
        if *run_count == 2 {
            self.counts.repeated += 1;
        }
        self.actions.push(action);
    }

    /// Returns how often the action of a call took effect.
    pub(crate) fn run_count(&self, call: CallId) -> u32 {
        self.run_counts.get(&call).copied().unwrap_or(0)
    }

    /// Returns the actions that took effect, in order.
    pub(crate) fn actions(&self) -> Vec<ServiceAction> {
        self.actions.clone()
    }

    fn draw_fault(&mut self) -> ServiceFault {
        let faults = &mut self.faults;
        let counted = [
            (&mut faults.hang_before, ServiceFault::HangBefore),
            (&mut faults.hang_after, ServiceFault::HangAfter),
            (&mut faults.cut_before, ServiceFault::CutBefore),
            (&mut faults.lose_answers, ServiceFault::LostAnswer),
            (&mut faults.fail, ServiceFault::Fail),
        ];
        for (remaining, fault) in counted {
            if count_down(remaining) {
                return fault;
            }
        }
        if self.rng.f64() < faults.lose_answer_share.unwrap_or(0.0) {
            return ServiceFault::LostAnswer;
        }
        ServiceFault::None
    }
}

/// Decrements a count. Returns `false` if it is 0 or absent.
fn count_down(remaining: &mut Option<u32>) -> bool {
    match remaining {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
