use super::{Document, FaultKind, Reader, nearest};
use googletest::prelude::*;

#[gtest]
fn parses_values_and_line_numbers() {
    let document = Document::parse("a.ini", "# top\n[node]\n\nname = e1\nurl = http://x:1/;y\n");
    let section = document.section("node").unwrap();
    let found: Vec<_> = section
        .entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_str(), entry.line))
        .collect();
    expect_that!(
        found,
        eq(&vec![("name", "e1", 4), ("url", "http://x:1/;y", 5)])
    );
}

#[gtest]
fn reports_all_invalid_lines() {
    let document = Document::parse("a.ini", "stray = 1\n[node\nwhat\n");
    let lines: Vec<_> = document.faults.iter().map(|fault| fault.line).collect();
    expect_that!(lines, eq(&vec![Some(1), Some(2), Some(3)]));
}

#[gtest]
fn suggests_the_nearest_key() {
    let document = Document::parse("a.ini", "[node]\nnmae = x\n");
    let mut reader = Reader::new(&document, "node");
    reader.text("name", "a name");
    let faults = reader.finish();
    expect_that!(
        faults[0].kind,
        eq(&FaultKind::UnknownKey {
            nearest: Some("name".to_string())
        })
    );
    expect_that!(
        faults[0].to_string(),
        eq("a.ini:2: [node] nmae: unknown key; nearest known: \"name\"")
    );
}

#[gtest]
fn repeated_keys_are_a_fault() {
    let document = Document::parse("a.ini", "[node]\nname = x\nname = y\n");
    let mut reader = Reader::new(&document, "node");
    expect_that!(reader.text("name", "a name"), some(eq("x")));
    let faults = reader.finish();
    expect_that!(faults[0].line, some(eq(3)));
}

#[gtest]
fn dissimilar_names_are_not_suggested() {
    expect_that!(nearest("xyz", ["name", "role"]), none());
}
