//! Tests of the generator and of the checks.

use super::check::{KnownTurn, KnownTurns, compare};
use super::{
    ActionSeen, ActionVerdict, Deployment, Latencies, Planner, ProgramResult, Step, audit_actions,
    count_actions,
};
use crate::protocol::caller::TurnAnswer;
use crate::protocol::message::{Message, Role};
use crate::standin::ServiceAction;
use googletest::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// All steps of a plan, with those of its branches.
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
fn plans_differ_by_seed_and_name_each_action_once() {
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
fn every_kind_of_program_comes() {
    let mut planner = Planner::new(1);
    let mut kinds = HashMap::new();
    for _ in 0..300 {
        let plan = planner.plan(Deployment::SaaMubadala);
        *kinds.entry(plan.kind).or_insert(0) += 1;
    }
    expect_that!(kinds.len(), eq(4));
    expect_that!(kinds.values().copied().min(), some(gt(2)));
}

fn known() -> KnownTurns {
    let turn = |call, text: &str| KnownTurn {
        call,
        messages: vec![Message::new(Role::User, text)],
        pending: false,
    };
    KnownTurns::from([(0, vec![turn(1, "a"), turn(2, "b")])])
}

fn read(number: u32, call: u128, text: &str) -> TurnAnswer {
    TurnAnswer {
        branch: 0,
        number,
        call,
        messages: vec![Message::new(Role::User, text)],
        committed: true,
    }
}

#[gtest]
fn equal_histories_pass() {
    let (checked, errors) = compare(&known(), &[read(1, 1, "a"), read(2, 2, "b")]);
    expect_that!(checked, eq(2));
    expect_that!(errors, is_empty());
}

#[gtest]
fn lost_mixed_and_foreign_turns_are_found() {
    let wrong = [
        vec![read(1, 1, "a")],
        vec![read(1, 1, "a"), read(2, 2, "x")],
        vec![read(1, 1, "a"), read(2, 9, "b")],
        vec![read(2, 2, "b"), read(1, 1, "a")],
        vec![read(1, 1, "a"), read(2, 2, "b"), read(3, 3, "c")],
    ];
    for history in wrong {
        expect_that!(compare(&known(), &history).1, not(is_empty()));
    }
}

fn seen(verdict: ActionVerdict) -> ProgramResult {
    let plan = Planner::new(1).plan(Deployment::Cedarfen);
    let mut result = ProgramResult::of_plan(&plan);
    result.actions.push(ActionSeen {
        action: "a1".to_owned(),
        verdict,
        detail: String::new(),
    });
    result
}

fn ran(times: usize) -> Vec<ServiceAction> {
    let action = ServiceAction {
        call: "1".to_owned(),
        operation: "charge".to_owned(),
        body: r#"{"action": "a1"}"#.to_owned(),
    };
    vec![action; times]
}

#[gtest]
fn verdicts_must_agree_with_the_services() {
    let errors = |verdict, times| audit_actions(&[seen(verdict)], &count_actions(&ran(times)));
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
fn latencies_merge() {
    let mut all = Latencies::default();
    let mut part = Latencies::default();
    for ms in 1..=100 {
        part.add(Duration::from_millis(ms));
    }
    all.merge(&part);
    expect_that!(all.count(), eq(100));
    expect_that!(all.percentiles().p95, near(95.0, 0.2));
}
