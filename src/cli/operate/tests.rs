use super::table::{Table, format_time};
use super::{OperateError, Options, Output, burn, dispatch, page};
use crate::protocol::operations::{EventKind, OperationEvent};
use crate::state::burn::{BurnReport, BurnTable, ProgramSample, report_environment};
use googletest::prelude::*;

fn options(line: &str) -> std::result::Result<Options, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(line.split_whitespace());
    Ok(Options::parse(&mut parser)?.unwrap_or_default())
}

/// Runs a command line with valid options.
fn run(line: &str) -> std::result::Result<Output, OperateError> {
    let (command, rest) = line.split_once(' ').unwrap_or((line, ""));
    dispatch(command, &options(rest).unwrap())
}

#[gtest]
fn invalid_command_lines_are_usage_errors() {
    expect_that!(options("--nonsense").is_err(), eq(true));
    for line in ["", "nonsense", "env nonsense", "env check", "drain"] {
        let result = run(line);
        expect_that!(
            matches!(result, Err(OperateError::Usage(_))),
            eq(true),
            "{line}"
        );
    }
}

#[gtest]
fn promote_requires_the_replaced_version() {
    let result = run("env promote shop");
    expect_that!(matches!(result, Err(OperateError::Usage(_))), eq(true));
}

#[gtest]
fn env_check_needs_no_entry() {
    let dir = env!("CARGO_MANIFEST_DIR");
    let right = run(&format!("env check {dir}/examples/environments/pnw.ini")).unwrap();
    expect_that!(right.code, eq(0));
    let wrong = run(&format!("env check {dir}/tests/environments/values.ini")).unwrap();
    expect_that!(wrong.code, eq(3));
    expect_that!(
        wrong.text,
        contains_substring("values.ini:13: [environment] name")
    );
}

#[gtest]
fn generated_tokens_differ_and_hashes_are_stable() {
    let (first, second) = (run("env token").unwrap(), run("env token").unwrap());
    expect_that!(first.text, not(eq(&second.text)));
    let known = run("env token saa-mubadala-example-token").unwrap();
    expect_that!(
        known.text,
        contains_substring("552dae5efd0465abd14da80aea441487")
    );
}

#[gtest]
fn times_are_formatted_in_utc() {
    expect_that!(format_time(0), eq("1970-01-01 00:00:00"));
    expect_that!(format_time(951_782_400_000), eq("2000-02-29 00:00:00"));
    expect_that!(format_time(1_796_083_199_000), eq("2026-11-30 23:59:59"));
}

#[gtest]
fn table_columns_are_aligned() {
    let mut table = Table::new(["A", "LONG"]);
    table.add(["wide".to_string(), "x".to_string()]);
    expect_that!(table.text(), eq("A     LONG\nwide  x\n"));
}

fn report() -> BurnReport {
    let objectives = crate::environment::Objectives {
        program_latency_ms: 100,
        program_latency_share: 0.95,
        first_token_ms: 100,
        first_token_share: 0.95,
        success_share: 0.99,
    };
    let now_ms = 1_796_083_199_000;
    let mut table = BurnTable::default();
    for latency_ms in [50, 60, 500] {
        let sample = ProgramSample {
            latency_ms,
            objective_ms: 100,
            succeeded: true,
        };
        table.add_program(now_ms, "a<b", "m", sample);
    }
    let event_from = |node: &str, at_ms| OperationEvent {
        at_ms,
        node: node.to_string(),
        kind: EventKind::NodeFailed {
            subject: "e3".to_string(),
        },
    };
    BurnReport {
        at_ms: now_ms,
        lines: report_environment(&table, now_ms, "a<b", &objectives),
        events: vec![event_from("e1", now_ms), event_from("e2", now_ms + 100)],
    }
}

#[gtest]
fn burn_text_contains_rates_and_merged_events() {
    let text = burn::text(&report());
    expect_that!(text, contains_substring("6.67"));
    expect_that!(text, contains_substring("1/3"));
    expect_that!(text, contains_substring("e3 failed"));
    expect_that!(text, contains_substring("e1 e2"));
}

#[gtest]
fn burn_page_is_self_contained_and_escaped() {
    let html = page::html(&report());
    expect_that!(html, contains_substring("a&lt;b"));
    expect_that!(html, not(contains_substring("a<b")));
    expect_that!(html, not(contains_substring("http")));
    expect_that!(html, ends_with("</html>\n"));
}

#[gtest]
fn options_may_follow_positional_arguments() {
    let options = options("apply x.ini --replaces 7 --key k --json").unwrap();
    expect_that!(options.expect_arguments(["FILE"]).unwrap(), eq(["x.ini"]));
    expect_that!(options.replaces, some(eq(7)));
    expect_that!(options.operation_key(), eq("k"));
}
