//! Checks the JSON of the caller interface against docs/API.md.

use crate::ids::format_id;
use crate::protocol::caller::{CallAnswer, CallRequest, ProgramAnswer, ProgramRequest};
use crate::protocol::link::{Durability, Work};
use crate::protocol::refusal::{Ran, RefusalCode};
use googletest::prelude::*;
use serde_json::json;

#[gtest]
fn documented_program_request_is_parsed() {
    let body = json!({"key": "order-17", "budget": {"tokens": 200_000, "calls": 100,
        "time_ms": 600_000}, "deadline_ms": 60_000});
    let request: ProgramRequest = serde_json::from_value(body).unwrap();
    expect_that!(request.key.as_deref(), some(eq("order-17")));
    expect_that!(request.budget.calls, some(eq(100)));
    let empty: ProgramRequest = serde_json::from_str("{}").unwrap();
    expect_that!(empty, eq(&ProgramRequest::default()));
}

#[gtest]
fn unknown_request_fields_are_refused() {
    let request = serde_json::from_str::<ProgramRequest>(r#"{"deadlne_ms": 5}"#);
    expect_that!(request, err(anything()));
}

#[gtest]
fn answers_serialise_as_documented() {
    let begun = ProgramAnswer {
        program: 7,
        durability: Durability::Committed { offset: 12 },
    };
    expect_that!(
        serde_json::to_value(&begun).unwrap(),
        eq(&json!({"program": format_id(7), "durability": "committed", "offset": 12}))
    );
    let body = json!({"call": format_id(9), "content": "a", "status": null,
        "usage": {"prompt_tokens": 9, "cached_tokens": 0, "completion_tokens": 3},
        "spent": {"tokens": 12, "calls": 1, "time_ms": 80},
        "durability": {"durability": "committed", "offset": 13}});
    let answer: CallAnswer = serde_json::from_value(body.clone()).unwrap();
    expect_that!(serde_json::to_value(&answer).unwrap(), eq(&body));
}

#[gtest]
fn call_requests_are_classified_as_model_or_tool_calls() {
    let model = json!({"branch": 0, "key": "c1", "model": "matcher-llm",
        "messages": [{"role": "user", "content": "hi"}], "max_tokens": 256, "stream": true});
    let model: CallRequest = serde_json::from_value(model).unwrap();
    expect_that!(
        model.into_work(8),
        ok(matches_pattern!(Work::Model {
            max_tokens: &256,
            ..
        }))
    );

    let tool = json!({"branch": 0, "key": "c2", "service": "bank-core", "operation": "transfer",
        "body": {"hours": 2}, "repeatable": false, "stream": false});
    let tool: CallRequest = serde_json::from_value(tool).unwrap();
    expect_that!(
        tool.into_work(8),
        ok(matches_pattern!(Work::Tool {
            body: eq(r#"{"hours":2}"#),
            ..
        }))
    );

    let neither = CallRequest::default().into_work(8).unwrap_err();
    expect_that!(neither.code, eq(RefusalCode::Invalid));
    expect_that!(neither.ran, eq(Ran::No));
}
