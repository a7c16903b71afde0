use super::{BegunPrograms, GENERATION_PROGRAMS};
use googletest::prelude::*;

// Guards against a table that grows with the programs of a day.
#[googletest::test]
fn the_latest_programs_are_known_and_old_ones_are_forgotten() {
    let mut programs = BegunPrograms::default();
    expect_that!(programs.contains("a", "0"), eq(false));
    for number in 0..GENERATION_PROGRAMS * 3 {
        programs.insert("a", &number.to_string());
    }
    let last = GENERATION_PROGRAMS * 3 - 1;
    expect_that!(programs.contains("a", &last.to_string()), eq(true));
    let recent = last - GENERATION_PROGRAMS + 1;
    expect_that!(programs.contains("a", &recent.to_string()), eq(true));
    expect_that!(programs.contains("a", "0"), eq(false));
    let held = programs.recent.len() + programs.older.len();
    expect_that!(held, le(2 * GENERATION_PROGRAMS));
}

// Guards against an account whose programs pass for begun because another account uses their ids.
#[googletest::test]
fn programs_of_different_accounts_are_apart() {
    let mut programs = BegunPrograms::default();
    programs.insert("a", "p");
    expect_that!(programs.contains("b", "p"), eq(false));
    expect_that!(programs.contains("", "p"), eq(false));
    expect_that!(programs.contains("", "ap"), eq(false));
}
