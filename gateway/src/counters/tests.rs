use super::Counters;
use crate::routes::RouteKind;
use googletest::prelude::*;
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
