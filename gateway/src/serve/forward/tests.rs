use super::{AnswerClass, classify};
use crate::dialect::AnswerInfo;
use galenapick::StatedLimit;
use googletest::prelude::*;

fn info(is_signed: bool, has_not_run: bool) -> AnswerInfo {
    AnswerInfo {
        request_id: Some("r".to_owned()),
        is_signed,
        has_not_run,
        rate_limit: StatedLimit::None,
        load: None,
        is_leaving: false,
        instance: None,
    }
}

#[googletest::test]
fn answers_are_classified_by_status_and_headers() {
    let cases = [
        (200, true, false, AnswerClass::Answer),
        (200, false, false, AnswerClass::Invalid),
        (500, true, false, AnswerClass::Answer),
        (504, true, false, AnswerClass::Answer),
        (404, false, false, AnswerClass::Answer),
        (503, false, true, AnswerClass::NotRun),
        (429, false, true, AnswerClass::NotRun),
        (400, false, true, AnswerClass::NotRun),
        (421, false, false, AnswerClass::NotRun),
        (503, true, false, AnswerClass::UnconfirmedRefusal),
        (429, true, false, AnswerClass::UnconfirmedRefusal),
        (408, true, false, AnswerClass::UnconfirmedRefusal),
        (999, true, false, AnswerClass::Invalid),
    ];
    for (status, is_signed, has_not_run, expected) in cases {
        let class = classify(status, &info(is_signed, has_not_run));
        expect_that!(class, eq(expected), "{status} {is_signed} {has_not_run}");
    }
}

#[googletest::test]
fn a_success_without_a_request_id_is_invalid() {
    let without_id = AnswerInfo {
        request_id: None,
        ..info(true, false)
    };
    expect_that!(classify(200, &without_id), eq(AnswerClass::Invalid));
}
