use super::{AnsweredRequest, ExpectedAnswer};
use crate::dialect::AnswerInfo;
use galenapick::StatedLimit;
use googletest::prelude::*;

/// Guards against refusals of earlier requests that are taken for one of this request: an answer
/// counts by its id, or without one if it can be to no other request.
#[googletest::test]
fn an_answer_without_an_id_counts_only_on_a_new_connection() {
    use AnsweredRequest::{Expected, Other, Uncertain};
    let cases = [
        ("r", Some("r"), Expected, Expected),
        ("r", Some("other"), Other, Other),
        ("r", Some(""), Other, Other),
        ("r", None, Expected, Uncertain),
        ("", None, Expected, Uncertain),
        ("", Some(""), Expected, Uncertain),
        ("", Some("other"), Other, Other),
    ];
    for (request_id, answer_id, on_new, on_reused) in cases {
        let info = AnswerInfo {
            request_id: answer_id.map(str::to_owned),
            is_signed: false,
            has_not_run: true,
            rate_limit: StatedLimit::None,
            load: None,
            is_leaving: false,
            instance: None,
        };
        for (is_first, expected) in [(true, on_new), (false, on_reused)] {
            let answer = ExpectedAnswer {
                request_id,
                is_first,
            };
            let answered = answer.answered_request(&info);
            expect_that!(
                answered,
                eq(expected),
                "{request_id} {answer_id:?} {is_first}"
            );
        }
    }
}
