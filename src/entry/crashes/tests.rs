use super::call_fingerprints;
use crate::protocol::link::{Call, Caller, Work};
use crate::protocol::message::{Message, Role};
use googletest::prelude::*;

fn call(work: Work) -> Call {
    Call {
        caller: Caller {
            environment: "env".to_owned(),
            client_account: "account".to_owned(),
        },
        program: 1,
        branch: 0,
        call: 2,
        key: Some("k".to_owned()),
        seen_at: None,
        work,
    }
}

fn model(model: &str, content: &str) -> Work {
    Work::Model {
        model: model.to_owned(),
        messages: vec![Message::new(Role::User, content)],
        max_tokens: 8,
    }
}

fn tool(operation: &str, body: &str) -> Work {
    Work::Tool {
        service: "s".to_owned(),
        operation: operation.to_owned(),
        body: body.to_owned(),
        repeatable: true,
    }
}

// Guards against a call that comes again unrecognised, under other ids.
#[gtest]
fn ids_are_not_part_of_a_fingerprint() {
    let first = call(model("m", "input"));
    let again = Call {
        program: 3,
        branch: 4,
        call: 5,
        key: None,
        seen_at: Some("e".to_owned()),
        ..first.clone()
    };
    expect_that!(call_fingerprints(&again), eq(call_fingerprints(&first)));
}

#[gtest]
fn the_caller_the_target_and_the_input_are_part_of_a_fingerprint() {
    let first = call(model("m", "input"));
    let mut other_account = first.clone();
    other_account.caller.client_account = "other".to_owned();
    let mut other_environment = first.clone();
    other_environment.caller.environment = "other".to_owned();
    let calls = [
        first,
        other_account,
        other_environment,
        call(model("n", "input")),
        call(model("m", "other")),
        call(tool("m", "input")),
        call(tool("n", "input")),
        call(tool("m", "other")),
    ];
    for (index, call) in calls.iter().enumerate() {
        for other in &calls[index + 1..] {
            for fingerprint in call_fingerprints(other) {
                let is_shared = call_fingerprints(call).contains(&fingerprint);
                expect_that!(is_shared, eq(false), "{call:?} and {other:?}");
            }
        }
    }
}
