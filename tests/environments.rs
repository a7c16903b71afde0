//! Environment documents: the examples are right, and every fixture has the faults it expects.

use galenapick::Environment;
use googletest::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};

/// What a fixture's first lines say it expects.
const EXPECT: &str = "# expect: ";

fn documents(dir: &str) -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join(dir);
    let entries = fs::read_dir(dir).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}

fn expected(text: &str) -> Vec<String> {
    text.lines()
        .filter_map(|line| line.strip_prefix(EXPECT))
        .filter(|fault| *fault != "nothing")
        .map(|fault| {
            let numbered = fault.starts_with(|c: char| c.is_ascii_digit());
            let separator = if numbered { ":" } else { ": " };
            format!("f.ini{separator}{fault}")
        })
        .collect()
}

#[gtest]
fn fixtures_have_the_faults_they_expect() {
    let fixtures = documents("tests/environments");
    expect_that!(fixtures.len(), ge(6));
    for path in fixtures {
        let text = fs::read_to_string(&path).unwrap();
        expect_that!(text, contains_substring(EXPECT), "{}", path.display());
        let mut wanted = expected(&text);
        let mut found: Vec<String> = match Environment::parse(&text, "f.ini") {
            Ok(_) => Vec::new(),
            Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
        };
        wanted.sort();
        found.sort();
        expect_that!(found, eq(&wanted), "{}", path.display());
    }
}

#[gtest]
fn examples_are_right() {
    let examples = documents("examples/environments");
    expect_that!(examples.len(), eq(2));
    for path in examples {
        let text = fs::read_to_string(&path).unwrap();
        let environment = Environment::parse(&text, "example").unwrap();
        let file = path.file_stem().unwrap().to_str().unwrap();
        expect_that!(environment.name(), eq(file));
    }
}
