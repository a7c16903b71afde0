//! Environment documents: the examples are valid, and every fixture has its expected faults.

use galenapick::Environment;
use googletest::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};

/// Prefix of a fixture's lines that list its expected faults.
const EXPECT_PREFIX: &str = "# expect: ";

fn list_files(dir: &str) -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join(dir);
    let entries = fs::read_dir(dir).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}

fn expected_faults(text: &str) -> Vec<String> {
    text.lines()
        .filter_map(|line| line.strip_prefix(EXPECT_PREFIX))
        .filter(|fault| *fault != "nothing")
        .map(|fault| {
            let has_line_number = fault.starts_with(|c: char| c.is_ascii_digit());
            let separator = if has_line_number { ":" } else { ": " };
            format!("f.ini{separator}{fault}")
        })
        .collect()
}

#[gtest]
fn fixtures_have_their_expected_faults() {
    let fixtures = list_files("tests/environments");
    expect_that!(fixtures.len(), ge(6));
    for path in fixtures {
        let text = fs::read_to_string(&path).unwrap();
        expect_that!(
            text,
            contains_substring(EXPECT_PREFIX),
            "{}",
            path.display()
        );
        let mut expected = expected_faults(&text);
        let mut found: Vec<String> = match Environment::parse(&text, "f.ini") {
            Ok(_) => Vec::new(),
            Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
        };
        expected.sort();
        found.sort();
        expect_that!(found, eq(&expected), "{}", path.display());
    }
}

#[gtest]
fn examples_are_valid() {
    let examples = list_files("examples/environments");
    expect_that!(examples.len(), eq(2));
    for path in examples {
        let text = fs::read_to_string(&path).unwrap();
        let environment = Environment::parse(&text, "example").unwrap();
        let file = path.file_stem().unwrap().to_str().unwrap();
        expect_that!(environment.name(), eq(file));
    }
}
