//! Tests of the arrival times, the options and the report.

use super::{LoadOptions, LoadReport, arrival_times};
use crate::workload::{Deployment, Planner, ProgramResult};
use googletest::prelude::*;
use std::time::Duration;

#[gtest]
fn arrival_times_are_seeded_sorted_and_match_the_rate() {
    let minute = Duration::from_secs(60);
    let arrivals = arrival_times(3, 50.0, minute);
    expect_that!(arrivals, eq(&arrival_times(3, 50.0, minute)));
    expect_that!(arrivals, not(eq(&arrival_times(4, 50.0, minute))));
    expect_that!(arrivals.is_sorted(), eq(true));
    // 3,000 are expected; the standard deviation is 55.
    expect_that!(arrivals.len(), all!(gt(2_700), lt(3_300)));
    expect_that!(arrivals.last().copied(), some(lt(minute)));
}

#[gtest]
fn options_are_parsed_and_validated() {
    let parse = |args: &[&str]| LoadOptions::parse(&mut lexopt::Parser::from_args(args));
    let options = parse(&[
        "--entry",
        "127.0.0.1:1",
        "--token",
        "t",
        "--deployment",
        "cedarfen",
        "--rate",
        "7.5",
        "--seconds",
        "3",
        "--check",
    ]);
    let options = options.unwrap().expect("no help is asked for");
    expect_that!(options.deployment, eq(Deployment::Cedarfen));
    expect_that!(options.duration, eq(Duration::from_secs(3)));
    expect_that!(parse(&["--token", "t"]), err(anything()));
    expect_that!(
        parse(&["--entry", "a", "--token", "t", "--rate", "0"]),
        err(anything())
    );
    expect_that!(
        parse(&["--entry", "a", "--token", "t", "--rat", "1"]),
        err(anything())
    );
}

fn result(failure: Option<&str>, latency_ms: u64) -> ProgramResult {
    let plan = Planner::new(1).plan(Deployment::Cedarfen);
    let mut result = ProgramResult::new(&plan);
    result.failure = failure.map(str::to_owned);
    result.latency = Duration::from_millis(latency_ms);
    result
}

#[gtest]
fn failed_programs_are_counted_but_not_in_the_latencies() {
    let mut report = LoadReport::new(3);
    report.add(Duration::ZERO, &result(None, 100));
    report.add(Duration::ZERO, &result(None, 200));
    report.add(Duration::ZERO, &result(Some("refused: \"full\""), 9_000));
    expect_that!(report.finished(), eq(2));
    expect_that!(report.program_latency().p99, all!(ge(199.0), le(201.0)));
    let mut csv = Vec::new();
    report.write_csv(&mut csv).unwrap();
    let csv = String::from_utf8(csv).unwrap();
    expect_that!(csv.lines().count(), eq(4));
    expect_that!(csv, contains_substring("\"refused: \"\"full\"\"\""));
    let mut json = Vec::new();
    report.write_json(&mut json).unwrap();
    let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
    expect_that!(json["failed"].as_u64(), some(eq(1)));
}
