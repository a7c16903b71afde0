use super::Counters;
use crate::routes::RouteKind;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

#[googletest::test]
fn answers_and_durations_are_rendered_as_text() {
    let counters = Counters::default();
    for ms in [3, 7, 9_000] {
        counters.record_answer(RouteKind::Idempotent, 200, Duration::from_millis(ms));
    }
    let text = counters.render(&[("requests_open", 2)]);
    for line in [
        "galenapick_answers_total{kind=\"idempotent\",status=\"200\"} 3\n",
        "galenapick_answer_ms_bucket{kind=\"idempotent\",le=\"5\"} 1\n",
        "galenapick_answer_ms_bucket{kind=\"idempotent\",le=\"5000\"} 2\n",
        "galenapick_answer_ms_bucket{kind=\"idempotent\",le=\"+Inf\"} 3\n",
        "galenapick_answer_ms_sum{kind=\"idempotent\"} 9010\n",
        "galenapick_requests_open 2\n",
    ] {
        expect_that!(text, contains_substring(line));
    }
}

// Guards against a table that grows with the accounts of all configurations.
#[googletest::test]
fn accounts_beyond_the_bound_share_one_counter() {
    let counters = Counters::default();
    for number in 0..200 {
        let account: Rc<str> = format!("account-{number:03}").into();
        counters.accounts.borrow_mut().record_answer(&account, 200);
        counters.accounts.borrow_mut().record_answer(&account, 401);
    }
    counters.accounts.borrow_mut().record_key_refusal("unknown");
    let text = counters.render(&[]);
    for line in [
        "account_answers_total{account=\"account-127\",outcome=\"served\"} 1\n",
        "account_answers_total{account=\"other\",outcome=\"refused\"} 72\n",
        "key_refusals_total{reason=\"unknown\"} 1\n",
    ] {
        expect_that!(text, contains_substring(line));
    }
    expect_that!(text, not(contains_substring("account-128")));
}
