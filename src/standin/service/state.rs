//! What a service stand-in has done, and how it fails.

use crate::ids::CallId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// How a service stand-in behaves.
#[derive(Clone, Debug, Default)]
pub struct ServiceConfig {
    /// Time before an action takes effect.
    pub work: Duration,
    /// Added to it at random, up to this much.
    pub work_spread: Duration,
    /// Seeds the random numbers.
    pub seed: u64,
}

/// A change in how a service behaves; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceControl {
    /// So many requests from now on hang before they take effect.
    pub hang_before: Option<u32>,
    /// So many requests from now on hang after they took effect.
    pub hang_after: Option<u32>,
    /// So many requests from now on are cut before they take effect.
    pub cut_before: Option<u32>,
    /// So many requests from now on take effect and get no answer.
    pub lose_answers: Option<u32>,
    /// The share of requests that take effect and get no answer.
    pub lose_answer_share: Option<f64>,
    /// So many requests from now on are answered with status 500 and take no effect.
    pub fail: Option<u32>,
    /// Time before an action takes effect, in milliseconds.
    pub work_ms: Option<u64>,
    /// With `true`, stops listening and closes every connection; with `false`, listens again.
    pub down: Option<bool>,
}

/// An action that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAction {
    /// The call, as 32 hexadecimal digits.
    pub call: String,
    /// The operation.
    pub operation: String,
    /// The argument.
    pub body: String,
}

/// What a service stand-in has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Requests that came.
    pub requests: u64,
    /// Actions that took effect.
    pub actions: u64,
    /// Calls whose action took effect more than once.
    pub repeated: u64,
    /// Requests that took effect and got no answer.
    pub lost_answers: u64,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceFault {
    /// Nothing.
    None,
    /// It hangs and takes no effect.
    HangBefore,
    /// It takes effect and hangs.
    HangAfter,
    /// It is cut and takes no effect.
    CutBefore,
    /// It takes effect and is cut.
    LostAnswer,
    /// It fails and takes no effect.
    Fail,
}

/// Returns the body that a service stand-in answers with.
pub fn expected_result(operation: &str, call: &str, body: &str) -> String {
    let digest = blake3::hash(body.as_bytes()).to_hex();
    let result = serde_json::json!({
        "operation": operation,
        "call": call,
        "argument": &digest[..16],
    });
    result.to_string()
}

/// The actions and the faults in force.
pub(crate) struct ServiceState {
    /// The faults asked for, counted down.
    faults: ServiceControl,
    work: Duration,
    work_spread: Duration,
    rng: fastrand::Rng,
    run_counts: HashMap<CallId, u32>,
    actions: Vec<ServiceAction>,
    /// What was counted.
    pub(crate) counts: ServiceCounts,
}

impl ServiceState {
    /// Nothing done yet.
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

    /// Takes over a change.
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

    /// Draws what happens to the next request and how long its action takes.
    pub(crate) fn draw_request(&mut self) -> (ServiceFault, Duration) {
        self.counts.requests += 1;
        let work = self.work + self.work_spread.mul_f64(self.rng.f64());
        (self.draw_fault(), work)
    }

    /// Notes an action that takes effect.
    pub(crate) fn record_action(&mut self, call: CallId, action: ServiceAction) {
        let run_count = self.run_counts.entry(call).or_default();
        *run_count += 1;
        self.counts.actions += 1;
        if *run_count == 2 {
            self.counts.repeated += 1;
        }
        self.actions.push(action);
    }

    /// Returns how often an action took effect.
    pub(crate) fn run_count(&self, call: CallId) -> u32 {
        self.run_counts.get(&call).copied().unwrap_or(0)
    }

    /// Returns the actions that took effect.
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

/// Takes one off a count; `false` if nothing is left.
fn count_down(remaining: &mut Option<u32>) -> bool {
    match remaining {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
