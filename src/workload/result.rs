//! What a program's caller saw.

use super::plan::{Deployment, Plan, PlanKind};
use crate::ids::ProgramId;
use std::time::Duration;

/// What the system said of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ActionVerdict {
    /// The service answered, and said that it had done it.
    Done,
    /// The service answered that it had not.
    Failed,
    /// It was refused as not run.
    NotRun,
    /// It ran, and its answer was not kept.
    Ran,
    /// It may have run.
    Unknown,
}

/// An action and what the system said of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActionSeen {
    /// Its `action` in the body.
    pub action: String,
    /// What the system said.
    pub verdict: ActionVerdict,
    /// The refusal or error, if there was one.
    pub detail: String,
}

/// What a program's caller saw.
#[derive(Clone, Debug)]
pub struct ProgramResult {
    /// Where it ran.
    pub deployment: Deployment,
    /// What it is like.
    pub kind: PlanKind,
    /// Its key.
    pub key: String,
    /// Its id, if it began.
    pub program: Option<ProgramId>,
    /// From the intended start to the last answer.
    pub latency: Duration,
    /// Why it did not finish.
    pub failure: Option<String>,
    /// Time to the first token of each streamed answer.
    pub first_tokens: Vec<Duration>,
    /// Calls answered.
    pub answered: u32,
    /// Requests sent, retries included.
    pub sent: u32,
    /// Tokens generated for it.
    pub completion_tokens: u64,
    /// Answers that were pending when they came.
    pub pending: u32,
    /// Its actions.
    pub actions: Vec<ActionSeen>,
    /// Turns of its history that were compared.
    pub turns_checked: u64,
    /// What is wrong with its history.
    pub history_errors: Vec<String>,
    /// What was spent beyond the budget.
    pub budget_errors: Vec<String>,
    /// Answers that belong to another prompt, and streams with gaps.
    pub answer_errors: Vec<String>,
}

impl ProgramResult {
    /// A program of which nothing was seen yet.
    pub(crate) fn of_plan(plan: &Plan) -> Self {
        Self {
            deployment: plan.deployment,
            kind: plan.kind,
            key: plan.key.clone(),
            program: None,
            latency: Duration::ZERO,
            failure: None,
            first_tokens: Vec::new(),
            answered: 0,
            sent: 0,
            completion_tokens: 0,
            pending: 0,
            actions: Vec::new(),
            turns_checked: 0,
            history_errors: Vec::new(),
            budget_errors: Vec::new(),
            answer_errors: Vec::new(),
        }
    }

    /// Whether every step was answered.
    pub fn is_finished(&self) -> bool {
        self.failure.is_none()
    }

    /// Adds what a branch saw.
    pub(super) fn absorb(&mut self, other: ProgramResult) {
        self.failure = self.failure.take().or(other.failure);
        self.first_tokens.extend(other.first_tokens);
        self.answered += other.answered;
        self.sent += other.sent;
        self.completion_tokens += other.completion_tokens;
        self.pending += other.pending;
        self.actions.extend(other.actions);
        self.budget_errors.extend(other.budget_errors);
        self.answer_errors.extend(other.answer_errors);
    }
}
