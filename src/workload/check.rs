//! Checks of what callers saw against what was sent and what the services counted.

use super::result::{ActionSeen, ActionVerdict, ProgramResult};
use crate::ids::{BranchId, CallId};
use crate::protocol::caller::TurnAnswer;
use crate::protocol::message::{Message, Role};
use crate::standin::ServiceAction;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};

/// A turn as the caller knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KnownTurn {
    pub(super) call: CallId,
    pub(super) messages: Vec<Message>,
    /// Whether its answer said that it was not in the log yet.
    pub(super) pending: bool,
}

/// The turns of each branch as the caller knows them.
pub(super) type KnownTurns = BTreeMap<BranchId, Vec<KnownTurn>>;

/// The turn that a tool call makes.
pub(super) fn tool_turn(content: &str) -> Vec<Message> {
    vec![Message::new(Role::Tool, content)]
}

/// Compares a history with what was sent and answered; returns the turns compared and the errors.
pub(super) fn compare(known: &KnownTurns, history: &[TurnAnswer]) -> (u64, Vec<String>) {
    let mut errors = Vec::new();
    let mut read: BTreeMap<BranchId, Vec<&TurnAnswer>> = BTreeMap::new();
    for turn in history {
        read.entry(turn.branch).or_default().push(turn);
    }
    for branch in read.keys().filter(|branch| !known.contains_key(branch)) {
        errors.push(format!("branch {branch} was never used"));
    }
    let mut checked = 0;
    for (branch, turns) in known {
        let found = read.remove(branch).unwrap_or_default();
        checked += turns.len() as u64;
        errors.extend(compare_branch(*branch, turns, &found));
    }
    (checked, errors)
}

fn compare_branch(branch: BranchId, known: &[KnownTurn], found: &[&TurnAnswer]) -> Vec<String> {
    let mut errors = Vec::new();
    if known.len() != found.len() {
        errors.push(format!(
            "branch {branch}: {} turns answered, {} in the history",
            known.len(),
            found.len()
        ));
    }
    for (index, (known, found)) in known.iter().zip(found).enumerate() {
        let number = index as u32 + 1;
        if found.number != number {
            errors.push(format!(
                "branch {branch}: turn {} not {number}",
                found.number
            ));
        }
        let how = if known.pending {
            "pending"
        } else {
            "committed"
        };
        if found.call != known.call {
            let error = format!("branch {branch}, turn {number}, {how}: another call's");
            errors.push(error);
        }
        if found.messages != known.messages {
            let error = format!("branch {branch}, turn {number}, {how}: other messages");
            errors.push(error);
        }
    }
    errors
}

/// How often services ran each action, by its `action`.
pub type ActionRuns = HashMap<String, u64>;

/// Counts the actions that took effect at service stand-ins.
pub fn count_actions(taken: &[ServiceAction]) -> ActionRuns {
    let mut runs = ActionRuns::new();
    for action in taken {
        let body: Value = serde_json::from_str(&action.body).unwrap_or_default();
        if let Some(name) = body["action"].as_str() {
            *runs.entry(name.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Finds actions that ran twice, and verdicts that the services' counts contradict.
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
        .map(|(action, count)| format!("{action} ran {count} times"))
        .collect();
    let seen = results.iter().flat_map(|result| &result.actions);
    errors.extend(seen.filter_map(|action| contradict(action, runs)));
    errors.sort();
    errors
}

fn contradict(seen: &ActionSeen, runs: &ActionRuns) -> Option<String> {
    let count = runs.get(&seen.action).copied().unwrap_or(0);
    let allowed = match seen.verdict {
        ActionVerdict::Done | ActionVerdict::Ran => count > 0,
        ActionVerdict::NotRun => count == 0,
        ActionVerdict::Failed | ActionVerdict::Unknown => true,
    };
    let (action, verdict, detail) = (&seen.action, seen.verdict, &seen.detail);
    (!allowed).then(|| format!("{action} was said to be {verdict} ({detail}), ran {count} times"))
}
