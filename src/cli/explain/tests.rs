use super::{describe, find_lines, outcome};
use googletest::prelude::*;

const LOG: &str = r#"
vm-1 {"event":"attempt_failed","unix_ms":5,"request":"r1","endpoint":"e1","reason":"the endpoint closed the connection","execution":"may-have-run"}
vm-1 {"event":"answered","unix_ms":9,"request":"r1","program":"p1","status":502,"reply":"complete"}
vm-1 {"event":"answered","unix_ms":7,"request":"r2","program":"p1","status":200,"reply":"complete","endpoint":"e2"}
vm-1 {"event":"answered","unix_ms":8,"request":"r12","status":200
"#;

#[googletest::test]
fn only_whole_lines_that_name_the_id_are_found() {
    let lines = find_lines("r1", "a.log", LOG);
    let events: Vec<_> = lines
        .iter()
        .map(|line| line.fields["event"].clone())
        .collect();
    expect_that!(events, elements_are![eq("attempt_failed"), eq("answered")]);
    expect_that!(find_lines("p1", "a.log", LOG), len(eq(2)));
}

#[googletest::test]
fn the_outcome_is_told_in_words() {
    let failed = outcome(&find_lines("r1", "a.log", LOG));
    expect_that!(
        failed,
        eq("It failed and may have run: the endpoint closed the connection.")
    );
    let served = outcome(&find_lines("r2", "a.log", LOG));
    expect_that!(served, eq("It was served by e2."));
    let lost = outcome(&find_lines("r1", "a.log", LOG)[..1]);
    expect_that!(lost, starts_with("No line says how it ended"));
}

#[googletest::test]
fn a_line_names_its_vm() {
    let lines = find_lines("r2", "a.log", LOG);
    expect_that!(describe(&lines[0], "r2"), starts_with("7 vm-1 answered "));
}
