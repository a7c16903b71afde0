use super::{Meaning, classify};
use crate::dialect::AnswerInfo;
use googletest::prelude::*;

fn info(signed: bool, not_run: bool) -> AnswerInfo {
    AnswerInfo {
        request_id: Some("r".to_owned()),
        signed,
        not_run,
        load: None,
    }
}

#[googletest::test]
fn each_kind_of_answer_has_its_meaning() {
    let cases = [
        (200, true, false, Meaning::Answer),
        (200, false, false, Meaning::Invalid),
        (500, true, false, Meaning::Answer),
        (504, true, false, Meaning::Answer),
        (404, false, false, Meaning::Answer),
        (503, false, true, Meaning::NotRun),
        (429, false, true, Meaning::NotRun),
        (400, false, true, Meaning::NotRun),
        (421, false, false, Meaning::NotRun),
        (503, true, false, Meaning::FalsePromise),
        (429, true, false, Meaning::FalsePromise),
        (408, true, false, Meaning::FalsePromise),
        (999, true, false, Meaning::Invalid),
    ];
    for (status, signed, not_run, meaning) in cases {
        let found = classify(status, &info(signed, not_run));
        expect_that!(found, eq(meaning), "{status} {signed} {not_run}");
    }
}

#[googletest::test]
fn a_success_without_id_is_nobodys() {
    let unnamed = AnswerInfo {
        request_id: None,
        ..info(true, false)
    };
    expect_that!(classify(200, &unnamed), eq(Meaning::Invalid));
}
