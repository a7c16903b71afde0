//! Consistency checks: histories against the answers that callers received, and reported actions
//! against the runs that the services counted.

use super::result::{ActionVerdict, ObservedAction, ProgramResult};
use crate::ids::{BranchId, CallId};
use crate::protocol::caller::TurnAnswer;
use crate::protocol::message::{Message, Role};
use crate::standin::ServiceAction;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// A turn that the history must contain, as its caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ExpectedTurn {
    pub(super) call: CallId,
    pub(super) messages: Vec<Message>,
    /// Whether the answer reported that the turn was not yet committed to the log.
    pub(super) pending: bool,
}

/// The expected turns of each branch, in order.
pub(super) type ExpectedHistory = BTreeMap<BranchId, Vec<ExpectedTurn>>;

/// Returns the messages of the turn that a tool call creates.
pub(super) fn tool_messages(content: &str) -> Vec<Message> {
    vec![Message::new(Role::Tool, content)]
}

/// Compares a history with the turns that the caller received. Returns the number of turns compared
/// and a description of each difference.
pub(super) fn compare_histories(
    expected: &ExpectedHistory,
    history: &[TurnAnswer],
) -> (u64, Vec<String>) {
    let mut errors = Vec::new();
    let mut by_branch: BTreeMap<BranchId, Vec<&TurnAnswer>> = BTreeMap::new();
    for turn in history {
        by_branch.entry(turn.branch).or_default().push(turn);
    }
    for branch in by_branch
        .keys()
        .filter(|branch| !expected.contains_key(branch))
    {
        errors.push(format!(
            "branch {branch}: in the history, but no call was answered on it"
        ));
    }
    let mut checked = 0;
    for (branch, turns) in expected {
        let actual = by_branch.remove(branch).unwrap_or_default();
        checked += turns.len() as u64;
        errors.extend(compare_branches(*branch, turns, &actual));
    }
    (checked, errors)
}

fn compare_branches(
    branch: BranchId,
    expected: &[ExpectedTurn],
    actual: &[&TurnAnswer],
) -> Vec<String> {
    let mut errors = Vec::new();
    if expected.len() != actual.len() {
        errors.push(format!(
            "branch {branch}: {} turns answered, but {} in the history",
            expected.len(),
            actual.len()
        ));
    }
    for (index, (expected, actual)) in expected.iter().zip(actual).enumerate() {
        let number = index as u32 + 1;
        if actual.number != number {
            errors.push(format!(
                "branch {branch}: turn {} at the position of turn {number}",
                actual.number
            ));
        }
        let state = if expected.pending {
            "pending"
        } else {
            "committed"
        };
        if actual.call != expected.call {
            let error = format!("branch {branch}, turn {number}, {state}: belongs to another call");
            errors.push(error);
        }
        if actual.messages != expected.messages {
            let error = format!("branch {branch}, turn {number}, {state}: messages differ");
            errors.push(error);
        }
    }
    errors
}

/// How often the services ran each action, keyed by the `action` value in the request body.
pub type ActionRuns = HashMap<String, u64>;

/// Counts how often each action took effect at the service stand-ins. Bodies without an `action`
/// value are ignored.
pub fn count_actions(actions: &[ServiceAction]) -> ActionRuns {
    let mut runs = ActionRuns::new();
    for action in actions {
        let body: Value = serde_json::from_str(&action.body).unwrap_or_default();
        if let Some(name) = body["action"].as_str() {
            *runs.entry(name.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Returns an error for each action that ran more than once and for each verdict that contradicts
/// the services' counts, sorted.
///
/// ```
/// use galenapick::{ActionRuns, audit_actions};
///
/// let runs = ActionRuns::from([("a".to_owned(), 2)]);
/// assert_eq!(audit_actions(&[], &runs).len(), 1);
/// ```
pub fn audit_actions(results: &[ProgramResult], runs: &ActionRuns) -> Vec<String> {
    let mut errors: Vec<String> = runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(action, count)| format!("action {action} ran {count} times"))
        .collect();
    let observed = results.iter().flat_map(|result| &result.actions);
    errors.extend(observed.filter_map(|action| contradiction(action, runs)));
    errors.sort();
    errors
}

/// Returns an error if the verdict on an action contradicts the number of its runs.
fn contradiction(observed: &ObservedAction, runs: &ActionRuns) -> Option<String> {
    let count = runs.get(&observed.action).copied().unwrap_or(0);
    let is_consistent = match observed.verdict {
        ActionVerdict::Done | ActionVerdict::Ran => count > 0,
        ActionVerdict::NotRun => count == 0,
        ActionVerdict::Failed | ActionVerdict::Unknown => true,
    };
    let (action, verdict, detail) = (&observed.action, observed.verdict, &observed.detail);
    (!is_consistent).then(|| {
        format!("action {action} was reported as {verdict} ({detail}), but ran {count} times")
    })
}
