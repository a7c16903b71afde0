//! Tests of the plan generator, the consistency checks and the histogram.

use super::check::{ExpectedHistory, ExpectedTurn, compare_histories};
use super::{
    ActionVerdict, Deployment, Latencies, ObservedAction, Planner, ProgramResult, Step,
    audit_actions, count_actions,
};
use crate::protocol::caller::TurnAnswer;
use crate::protocol::message::{Message, Role};
use crate::standin::ServiceAction;
use googletest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Returns all steps, including those of branches.
fn flatten(steps: &[Step]) -> Vec<&Step> {
    let mut all = Vec::new();
    for step in steps {
        match step {
            Step::Fork(branches) => {
                for branch in branches {
                    all.extend(flatten(branch));
                }
            }
            other => all.push(other),
        }
    }
    all
}

#[gtest]
fn action_names_are_unique_across_seeds() {
    let mut names = HashSet::new();
    for seed in 0..20 {
        let mut planner = Planner::new(seed);
        for number in 0..20 {
            let deployment = match number % 2 {
                0 => Deployment::SaaMubadala,
                _ => Deployment::Cedarfen,
            };
            let plan = planner.plan(deployment);
            for step in flatten(&plan.steps) {
                if let Step::Tool {
                    body,
                    repeatable: false,
                    ..
                } = step
                {
                    let name = body["action"].as_str().unwrap().to_owned();
                    expect_that!(names.insert(name), eq(true));
                }
            }
        }
    }
    expect_that!(names.len(), gt(200));
}

#[gtest]
fn planner_generates_every_kind() {
    let mut planner = Planner::new(1);
    let mut kinds = HashMap::new();
    for _ in 0..300 {
        let plan = planner.plan(Deployment::SaaMubadala);
        *kinds.entry(plan.kind).or_insert(0) += 1;
    }
    expect_that!(kinds.len(), eq(4));
    expect_that!(kinds.values().copied().min(), some(gt(2)));
}

fn expected_history() -> ExpectedHistory {
    let turn = |call, text: &str| ExpectedTurn {
        call,
        messages: vec![Message::new(Role::User, text)],
        pending: false,
    };
    ExpectedHistory::from([(0, vec![turn(1, "a"), turn(2, "b")])])
}

fn history_turn(number: u32, call: u128, text: &str) -> TurnAnswer {
    TurnAnswer {
        branch: 0,
        number,
        call,
        messages: vec![Message::new(Role::User, text)],
        committed: true,
    }
}

#[gtest]
fn matching_histories_have_no_errors() {
    let (checked, errors) = compare_histories(
        &expected_history(),
        &[history_turn(1, 1, "a"), history_turn(2, 2, "b")],
    );
    expect_that!(checked, eq(2));
    expect_that!(errors, is_empty());
}

#[gtest]
fn missing_changed_and_foreign_turns_are_errors() {
    let wrong = [
        vec![history_turn(1, 1, "a")],
        vec![history_turn(1, 1, "a"), history_turn(2, 2, "x")],
        vec![history_turn(1, 1, "a"), history_turn(2, 9, "b")],
        vec![history_turn(2, 2, "b"), history_turn(1, 1, "a")],
        vec![
            history_turn(1, 1, "a"),
            history_turn(2, 2, "b"),
            history_turn(3, 3, "c"),
        ],
    ];
    for history in wrong {
        expect_that!(
            compare_histories(&expected_history(), &history).1,
            not(is_empty())
        );
    }
}

fn result_with_verdict(verdict: ActionVerdict) -> ProgramResult {
    let plan = Planner::new(1).plan(Deployment::Cedarfen);
    let mut result = ProgramResult::new(&plan);
    result.actions.push(ObservedAction {
        action: "a1".to_owned(),
        verdict,
        detail: String::new(),
    });
    result
}

fn action_runs(times: usize) -> Vec<ServiceAction> {
    let action = ServiceAction {
        call: "1".to_owned(),
        operation: "charge".to_owned(),
        body: r#"{"action": "a1"}"#.to_owned(),
    };
    vec![action; times]
}

#[gtest]
fn verdicts_that_contradict_the_services_are_errors() {
    let errors = |verdict, times| {
        audit_actions(
            &[result_with_verdict(verdict)],
            &count_actions(&action_runs(times)),
        )
    };
    expect_that!(errors(ActionVerdict::Done, 1), is_empty());
    expect_that!(errors(ActionVerdict::NotRun, 0), is_empty());
    expect_that!(errors(ActionVerdict::Unknown, 0), is_empty());
    expect_that!(errors(ActionVerdict::Unknown, 1), is_empty());
    expect_that!(errors(ActionVerdict::Done, 0), len(eq(1)));
    expect_that!(errors(ActionVerdict::NotRun, 1), len(eq(1)));
    expect_that!(errors(ActionVerdict::Unknown, 2), len(eq(1)));
    expect_that!(errors(ActionVerdict::Done, 2), len(eq(1)));
}

#[gtest]
fn merged_histogram_contains_the_recorded_values() {
    let mut all = Latencies::default();
    let mut part = Latencies::default();
    for ms in 1..=100 {
        part.add(Duration::from_millis(ms));
    }
    all.merge(&part);
    expect_that!(all.count(), eq(100));
    expect_that!(all.percentiles().p95, near(95.0, 0.2));
}
