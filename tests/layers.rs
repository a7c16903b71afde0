//! Lower layers must not import higher ones.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The modules that each module of a lower layer may import.
///
/// Unlisted modules are roles and tools. They may import anything, and no listed module imports
/// them.
const LAYERS: &[(&str, &[&str])] = &[
    ("ids", &[]),
    ("ini", &[]),
    ("limits", &[]),
    ("http", &["limits"]),
    ("transport", &["limits"]),
    ("protocol", &["ids", "transport"]),
    ("environment", &["ids", "ini", "protocol"]),
    ("state", &["ids", "protocol", "environment"]),
    ("coordination", &["ids", "protocol", "state"]),
    ("adapter", &["ids", "limits", "http", "protocol"]),
    ("standin", &["ids", "http", "protocol", "adapter"]),
    ("settings", &["ids", "ini", "limits", "protocol"]),
    ("client", &["ids", "limits", "http", "protocol"]),
    ("operations", SHARED_IMPORTS),
    ("configuration", SHARED_IMPORTS),
    ("entry", ROLE_IMPORTS),
    ("sidecar", ROLE_IMPORTS),
];

/// The modules that the shared parts of the roles may import.
const SHARED_IMPORTS: &[&str] = &[
    "ids",
    "ini",
    "protocol",
    "environment",
    "state",
    "coordination",
    "configuration",
];

/// The modules that roles may import.
const ROLE_IMPORTS: &[&str] = &[
    "ids",
    "limits",
    "transport",
    "protocol",
    "environment",
    "state",
    "coordination",
    "configuration",
    "operations",
    "settings",
];

/// The modules that test files may import in addition, as drivers and inputs of tests.
const TEST_IMPORTS: &[&str] = &["adapter", "standin", "ini", "environment"];

/// An import of a module that the importing layer may not use.
#[derive(Debug, PartialEq, Eq)]
struct ForbiddenImport {
    file: PathBuf,
    imported: String,
}

/// Finds the forbidden imports of one file. `modules` lists the modules at the root of the crate.
fn check(file: &Path, text: &str, modules: &BTreeSet<String>) -> Vec<ForbiddenImport> {
    let path = module_path(file);
    let layer = LAYERS.iter().find(|(name, _)| *name == path[0]);
    let Some((layer_name, allowed)) = layer else {
        return Vec::new();
    };
    let is_test = file.ends_with("tests.rs");
    let is_allowed = |name: &str| {
        name == *layer_name || allowed.contains(&name) || is_test && TEST_IMPORTS.contains(&name)
    };
    let imported = imports(&strip_comments_and_strings(text), path.len(), modules);
    let forbidden = imported.into_iter().filter(|name| !is_allowed(name));
    forbidden
        .map(|imported| ForbiddenImport {
            file: file.to_path_buf(),
            imported,
        })
        .collect()
}

/// Returns the path of the module in a file below `src`.
fn module_path(file: &Path) -> Vec<String> {
    let stem = file.with_extension("");
    let parts = stem.iter().map(|part| part.to_string_lossy().into_owned());
    parts.filter(|part| part != "mod").collect()
}

/// Returns the first segments of all paths that start at the root of the crate.
fn imports(code: &str, depth: usize, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let tokens = split_tokens(code);
    let mut found = BTreeSet::new();
    for (index, token) in tokens.iter().enumerate() {
        let follows_path = index > 0 && tokens[index - 1] == "::";
        match token.as_str() {
            "crate" if !follows_path => found.extend(first_segments(&tokens[index + 1..])),
            "super" if !follows_path => {
                let supers = tokens[index..].chunks(2);
                let count = supers.take_while(|pair| pair[0] == "super").count();
                let names = first_segments(&tokens[index + 2 * count - 1..]);
                let names = names.into_iter().filter(|name| modules.contains(name));
                found.extend(names.filter(|_| count >= depth));
            }
            _ => {}
        }
    }
    found
}

/// Splits code into names, `::` and other characters.
fn split_tokens(code: &str) -> Vec<String> {
    let mut tokens = Vec::new();
    let mut rest = code.trim_start();
    while let Some(first) = rest.chars().next() {
        let is_name = |c: char| c.is_alphanumeric() || c == '_';
        let length = match first {
            _ if is_name(first) => rest.find(|c| !is_name(c)).unwrap_or(rest.len()),
            ':' if rest.starts_with("::") => 2,
            _ => first.len_utf8(),
        };
        tokens.push(rest[..length].to_string());
        rest = rest[length..].trim_start();
    }
    tokens
}

/// Returns the first segments after `::`: a single name, or the names of a group in braces.
fn first_segments(tokens: &[String]) -> Vec<String> {
    let tokens: Vec<&str> = tokens.iter().map(String::as_str).collect();
    match tokens.as_slice() {
        ["::", "{", rest @ ..] => {
            let mut level = 1;
            let mut names = Vec::new();
            let mut expects_name = true;
            for token in rest {
                match *token {
                    "{" => level += 1,
                    "}" => level -= 1,
                    "," if level == 1 => expects_name = true,
                    name if expects_name => {
                        names.push(name.to_string());
                        expects_name = false;
                    }
                    _ => {}
                }
                if level == 0 {
                    break;
                }
            }
            names
        }
        ["::", name, ..] => vec![(*name).to_string()],
        _ => Vec::new(),
    }
}

/// Removes comments and string contents.
fn strip_comments_and_strings(text: &str) -> String {
    text.lines().map(strip_line).collect()
}

/// Strips one line on its own, so that a misread quote cannot hide later lines.
fn strip_line(line: &str) -> String {
    let mut code = String::new();
    let mut is_quoted = false;
    let mut previous = ' ';
    let mut chars = line.chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '\\' if is_quoted => _ = chars.next(),
            '"' if is_quoted || previous != '\'' => is_quoted = !is_quoted,
            '/' if !is_quoted && chars.peek() == Some(&'/') => break,
            _ if !is_quoted => code.push(c),
            _ => {}
        }
        previous = c;
    }
    code + "\n"
}

/// Collects all Rust files below a directory.
fn collect_rust_files(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn modules(src: &Path) -> BTreeSet<String> {
    let entries = fs::read_dir(src).unwrap();
    let stems = entries.map(|entry| entry.unwrap().path().with_extension(""));
    let names = stems.map(|stem| stem.file_name().unwrap().to_string_lossy().into_owned());
    names
        .filter(|name| name != "lib" && name != "bin")
        .collect()
}

fn forbidden_imports(file: &str, text: &str) -> Vec<String> {
    let names = ["ids", "transport", "protocol", "state", "coordination"];
    let names = names.into_iter().chain(["entry", "adapter", "standin"]);
    let modules = names.map(str::to_string).collect();
    let found = check(Path::new(file), text, &modules);
    found.into_iter().map(|offence| offence.imported).collect()
}

#[googletest::test]
fn lower_layers_import_no_higher_ones() {
    let src = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let modules = modules(&src);
    let mut files = Vec::new();
    collect_rust_files(&src, &mut files);
    let mut found = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).unwrap();
        found.extend(check(file.strip_prefix(&src).unwrap(), &text, &modules));
    }
    expect_that!(found, is_empty());
    for (name, allowed) in LAYERS {
        for name in allowed.iter().chain([name]) {
            expect_that!(modules.contains(*name), eq(true), "no module {name}");
        }
    }
}

#[googletest::test]
fn every_form_of_a_forbidden_import_is_found() {
    let forbidden = [
        ("transport/link.rs", "use crate::protocol::link::Event;"),
        ("transport/mod.rs", "fn f() -> crate::protocol::Answer {}"),
        ("protocol/link.rs", "use crate::{ids::{NodeId, x}, state};"),
        ("state/mod.rs", "use crate :: coordination\n::fence::Fence;"),
        ("state/program.rs", "use super::super::entry::Entry;"),
        ("coordination/mod.rs", "use super::transport::link;"),
        ("coordination/x/tests.rs", "use crate::entry::Entry;"),
        ("adapter/log.rs", "/// A log.\nuse crate::standin::Log;"),
        ("standin/mod.rs", "let x = \"\\\"//\"; use crate::state::y;"),
        ("standin/mod.rs", "let x = \"'\"; use crate::state::y;"),
        ("standin/mod.rs", "let x = '\"'; use crate::state::y;"),
        ("sidecar/mod.rs", "use crate::entry::lock;"),
        ("ids.rs", "use crate::Client;"),
    ];
    for (file, text) in forbidden {
        expect_that!(forbidden_imports(file, text), len(eq(1)), "{file}: {text}");
    }
}

#[googletest::test]
fn allowed_imports_and_other_text_are_ignored() {
    let allowed_imports = [
        ("protocol/link.rs", "use crate::transport::link::Wire;"),
        (
            "state/mod.rs",
            "use crate::{ids::entry, protocol::{state, entry}};",
        ),
        ("state/mod.rs", "// use crate::entry::Entry;"),
        ("state/mod.rs", "let x = \"crate::entry::Entry\";"),
        ("state/burn/table.rs", "use super::super::entry::Entry;"),
        ("adapter/tests.rs", "use crate::standin::LogStandin;"),
        ("daemon.rs", "use crate::entry::Entry;"),
    ];
    for (file, text) in allowed_imports {
        expect_that!(forbidden_imports(file, text), is_empty(), "{file}: {text}");
    }
}
