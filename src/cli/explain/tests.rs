use super::{find_lines, format_line, summarize_outcome};
use googletest::prelude::*;

const LOG: &str = r#"
vm-1 {"event":"attempt_failed","unix_ms":5,"request":"r1","endpoint":"e1","reason":"the endpoint closed the connection","execution":"may-have-run"}
vm-1 {"event":"answered","unix_ms":9,"request":"r1","program":"p1","status":502,"reply":"complete"}
vm-1 {"event":"answered","unix_ms":7,"request":"r2","program":"p1","status":200,"reply":"complete","endpoint":"e2"}
vm-1 {"event":"answered","unix_ms":8,"request":"r12","status":200
"#;

#[googletest::test]
fn only_complete_lines_with_the_exact_id_match() {
    let lines = find_lines("r1", "a.log", LOG);
    let events: Vec<_> = lines
        .iter()
        .map(|line| line.fields["event"].clone())
        .collect();
    expect_that!(events, elements_are![eq("attempt_failed"), eq("answered")]);
    expect_that!(find_lines("p1", "a.log", LOG), len(eq(2)));
}

#[googletest::test]
fn outcome_matches_the_last_answer() {
    let failed = summarize_outcome(&find_lines("r1", "a.log", LOG));
    expect_that!(
        failed,
        eq("It failed and may have run: the endpoint closed the connection.")
    );
    let served = summarize_outcome(&find_lines("r2", "a.log", LOG));
    expect_that!(served, eq("It was served by e2."));
    let lost = summarize_outcome(&find_lines("r1", "a.log", LOG)[..1]);
    expect_that!(lost, starts_with("No line says how it ended"));
}

#[googletest::test]
fn formatted_line_starts_with_time_and_vm() {
    let lines = find_lines("r2", "a.log", LOG);
    expect_that!(
        format_line(&lines[0], "r2"),
        starts_with("7 vm-1 answered ")
    );
}

// Guards against a refused key that looks like a lost gateway.
#[googletest::test]
fn a_refused_key_is_the_outcome() {
    let log = r#"vm-1 {"event":"key_refused","unix_ms":5,"request":"r1","reason":"unknown","key":"3fa1c2"}"#;
    let outcome = summarize_outcome(&find_lines("r1", "a.log", log));
    expect_that!(
        outcome,
        eq("It was refused for its API key and has not run: unknown.")
    );
}
