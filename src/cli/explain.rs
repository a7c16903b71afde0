//! `galenapick explain`: the way of a request through the log lines of all VMs.

#[cfg(test)]
mod tests;

use super::{CommandError, CommandResult, print};
use crate::settings::{EXIT_FAILURE, EXIT_OK};
use anyhow::Context;
use lexopt::prelude::*;
use serde_json::{Map, Value};
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
Usage: galenapick explain ID FILE...

Prints the log lines of a request, a program or an endpoint, in the order of their times, and says
what became of it. The files hold the logs of gateways, one JSON object a line; what stands before
the object, such as the name of a VM, is shown with it.

Exit codes: 0 done, 1 no line names the id, 2 wrong command line.
";

/// One line of a log that names the id.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    unix_ms: u64,
    /// Where the line was found: its file, or what stands before the object.
    source: String,
    fields: Map<String, Value>,
}

/// Runs the command.
pub(super) fn explain(parser: &mut lexopt::Parser) -> CommandResult {
    let usage = |error| CommandError::Usage(error, HELP);
    let mut id = None;
    let mut files = Vec::new();
    while let Some(argument) = parser.next().map_err(usage)? {
        match argument {
            Short('h') | Long("help") => return Ok(print(HELP)),
            Value(value) if id.is_none() => id = Some(value.string().map_err(usage)?),
            Value(value) => files.push(PathBuf::from(value)),
            other => return Err(usage(other.unexpected())),
        }
    }
    let id = id.ok_or_else(|| usage("no id is given".into()))?;
    if files.is_empty() {
        return Err(usage("no file is given".into()));
    }
    let mut lines = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
        lines.extend(find_lines(&id, &file.display().to_string(), &text));
    }
    lines.sort_by_key(|line| line.unix_ms);
    if lines.is_empty() {
        eprintln!("galenapick: no line names {id}");
        return Ok(ExitCode::from(EXIT_FAILURE));
    }
    for line in &lines {
        println!("{}", describe(line, &id));
    }
    println!("{}", outcome(&lines));
    Ok(ExitCode::from(EXIT_OK))
}

/// Finds the lines of a text that have the id as one of their values.
fn find_lines(id: &str, file: &str, text: &str) -> Vec<Line> {
    let named = text.lines().filter(|line| line.contains(id));
    named.filter_map(|line| parse(file, line, id)).collect()
}

fn parse(file: &str, line: &str, id: &str) -> Option<Line> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let names = |value: &Value| value.as_str() == Some(id);
    if !fields.values().any(names) {
        return None;
    }
    let before = line[..start].trim();
    Some(Line {
        unix_ms: fields
            .get("unix_ms")
            .and_then(Value::as_u64)
            .unwrap_or_default(),
        source: if before.is_empty() { file } else { before }.to_owned(),
        fields,
    })
}

/// One line as text: time, source, event, and its other fields in the order of their names.
fn describe(line: &Line, id: &str) -> String {
    let event = line.fields.get("event").and_then(Value::as_str);
    let others = line.fields.iter().filter(|(name, value)| {
        !matches!(name.as_str(), "event" | "unix_ms") && value.as_str() != Some(id)
    });
    let others: Vec<String> = others
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!(
        "{} {} {} {}",
        line.unix_ms,
        line.source,
        event.unwrap_or("?"),
        others.join(" ")
    )
}

/// Says in words what became of the request that was answered last.
fn outcome(lines: &[Line]) -> String {
    let is = |line: &&Line, event: &str| line.fields.get("event").is_some_and(|own| own == event);
    let answered = lines.iter().rev().find(|line| is(line, "answered"));
    let Some(answered) = answered else {
        return "No line says how it ended: the gateway was lost, or its log is missing."
            .to_owned();
    };
    let text = |name: &str| {
        answered
            .fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or("?")
    };
    let status = answered.fields.get("status").and_then(Value::as_u64);
    let reasons = lines.iter().rev().filter(|line| {
        ["attempt_failed", "stream_broken", "turn_refused"]
            .iter()
            .any(|event| is(line, event))
    });
    let mut reasons = reasons.filter_map(|line| line.fields.get("reason").and_then(Value::as_str));
    let because = reasons
        .next()
        .map_or(String::new(), |reason| format!(": {reason}"));
    match (status.unwrap_or_default(), text("reply")) {
        (200..=299, "complete") => format!("It was served by {}.", text("endpoint")),
        (_, "broken") if lines.iter().any(|line| is(&line, "client_gone")) => {
            "Its client left before it was answered.".to_owned()
        }
        (_, "broken") => format!("Its answer was broken off{because}."),
        (503 | 429 | 408 | 421, _) => format!("It was refused and has not run{because}."),
        (402, _) => "It was refused and has not run: the program's budget is spent.".to_owned(),
        (502 | 504, _) => format!("It failed and may have run{because}."),
        (status, _) => format!("It was answered with status {status}{because}."),
    }
}
