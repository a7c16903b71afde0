//! The outcome of a program run, as observed by its caller.

use super::plan::{Deployment, Plan, PlanKind};
use crate::ids::ProgramId;
use std::time::Duration;

/// What the system reported about a non-repeatable action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ActionVerdict {
    /// The service answered with a success status (2xx).
    Done,
    /// The service answered with any other status.
    Failed,
    /// The call was refused, and the action did not run.
    NotRun,
    /// The action ran, but its answer was not retained.
    Ran,
    /// The action may have run.
    Unknown,
}

/// A non-repeatable action and the verdict that the system reported for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedAction {
    /// The unique `action` value in the request body.
    pub action: String,
    /// The reported verdict.
    pub verdict: ActionVerdict,
    /// The status, refusal or error; empty if the action succeeded.
    pub detail: String,
}

/// The outcome of a program run, as observed by its caller.
#[derive(Clone, Debug)]
pub struct ProgramResult {
    /// The deployment that ran the program.
    pub deployment: Deployment,
    /// The kind of the program.
    pub kind: PlanKind,
    /// The idempotency key of the program.
    pub key: String,
    /// The program's id, or `None` if it could not be created.
    pub program: Option<ProgramId>,
    /// Time from the intended start to the last answer.
    pub latency: Duration,
    /// Why the program did not finish; `None` if every step was answered.
    pub failure: Option<String>,
    /// Time to first token of each streamed answer.
    pub first_tokens: Vec<Duration>,
    /// Number of calls that were answered.
    pub calls_answered: u32,
    /// Number of requests sent, including retries.
    pub requests_sent: u32,
    /// Number of tokens that models generated for the program.
    pub completion_tokens: u64,
    /// Number of answers whose turn was not yet committed to the log when they arrived.
    pub pending_answers: u32,
    /// The non-repeatable actions, with the verdict on each.
    pub actions: Vec<ObservedAction>,
    /// Number of turns that were compared with the history.
    pub turns_checked: u64,
    /// Differences between the history and the answers that the caller received.
    pub history_errors: Vec<String>,
    /// Calls that were answered beyond the program's budget.
    pub budget_errors: Vec<String>,
    /// Answers that belong to another prompt or call, and streams with faults.
    pub answer_errors: Vec<String>,
}

impl ProgramResult {
    /// Creates the result of a program that has not started.
    pub(crate) fn new(plan: &Plan) -> Self {
        Self {
            deployment: plan.deployment,
            kind: plan.kind,
            key: plan.key.clone(),
            program: None,
            latency: Duration::ZERO,
            failure: None,
            first_tokens: Vec::new(),
            calls_answered: 0,
            requests_sent: 0,
            completion_tokens: 0,
            pending_answers: 0,
            actions: Vec::new(),
            turns_checked: 0,
            history_errors: Vec::new(),
            budget_errors: Vec::new(),
            answer_errors: Vec::new(),
        }
    }

    /// Returns whether every step was answered.
    pub fn is_finished(&self) -> bool {
        self.failure.is_none()
    }

    /// Adds the result of a branch of the same program.
    pub(super) fn merge(&mut self, other: ProgramResult) {
        self.failure = self.failure.take().or(other.failure);
        self.first_tokens.extend(other.first_tokens);
        self.calls_answered += other.calls_answered;
        self.requests_sent += other.requests_sent;
        self.completion_tokens += other.completion_tokens;
        self.pending_answers += other.pending_answers;
        self.actions.extend(other.actions);
        self.budget_errors.extend(other.budget_errors);
        self.answer_errors.extend(other.answer_errors);
    }
}
