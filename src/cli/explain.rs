//! `galenapick explain`: traces a request through the logs of all VMs.

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

Prints the log lines of a request, a program or an endpoint in order of time, followed by the
outcome. The files contain gateway logs with one JSON object per line. A prefix before the object,
such as the name of a VM, is printed with the line.

Exit codes: 0 success, 1 no line contains the id, 2 invalid command line.
";

/// A log line that contains the requested id.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    unix_ms: u64,
    /// Prefix before the JSON object, or the file name if there is none.
    source: String,
    fields: Map<String, Value>,
}

/// Runs `galenapick explain`.
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
    let id = id.ok_or_else(|| usage("no id given".into()))?;
    if files.is_empty() {
        return Err(usage("no file given".into()));
    }
    let mut lines = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
        lines.extend(find_lines(&id, &file.display().to_string(), &text));
    }
    lines.sort_by_key(|line| line.unix_ms);
    if lines.is_empty() {
        eprintln!("galenapick: no line contains {id}");
        return Ok(ExitCode::from(EXIT_FAILURE));
    }
    for line in &lines {
        println!("{}", format_line(line, &id));
    }
    println!("{}", summarize_outcome(&lines));
    Ok(ExitCode::from(EXIT_OK))
}

/// Parses the lines in which the id is the value of a field. Other lines are skipped.
fn find_lines(id: &str, file: &str, text: &str) -> Vec<LogLine> {
    let candidates = text.lines().filter(|line| line.contains(id));
    candidates
        .filter_map(|line| parse(file, line, id))
        .collect()
}

fn parse(file: &str, line: &str, id: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let is_id = |value: &Value| value.as_str() == Some(id);
    if !fields.values().any(is_id) {
        return None;
    }
    let prefix = line[..start].trim();
    Some(LogLine {
        unix_ms: fields
            .get("unix_ms")
            .and_then(Value::as_u64)
            .unwrap_or_default(),
        source: if prefix.is_empty() { file } else { prefix }.to_owned(),
        fields,
    })
}

/// Formats a line as time, source, event, and the remaining fields sorted by name.
fn format_line(line: &LogLine, id: &str) -> String {
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

/// Describes the outcome of the request with the latest `answered` event in a sentence.
fn summarize_outcome(lines: &[LogLine]) -> String {
    let has_event =
        |line: &&LogLine, event: &str| line.fields.get("event").is_some_and(|name| name == event);
    let answered = lines.iter().rev().find(|line| has_event(line, "answered"));
    let Some(answered) = answered else {
        if let Some(refused) = lines
            .iter()
            .rev()
            .find(|line| has_event(line, "key_refused"))
        {
            let reason = refused.fields.get("reason").and_then(Value::as_str);
            let reason = reason.unwrap_or("?");
            return format!("It was refused for its API key and has not run: {reason}.");
        }
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
        [
            "attempt_failed",
            "stream_broken",
            "turn_refused",
            "key_refused",
        ]
        .iter()
        .any(|event| has_event(line, event))
    });
    let mut reasons = reasons.filter_map(|line| line.fields.get("reason").and_then(Value::as_str));
    let because = reasons
        .next()
        .map_or(String::new(), |reason| format!(": {reason}"));
    match (status.unwrap_or_default(), text("reply")) {
        (200..=299, "complete") => format!("It was served by {}.", text("endpoint")),
        (_, "broken") if lines.iter().any(|line| has_event(&line, "client_gone")) => {
            "Its client left before it was answered.".to_owned()
        }
        (_, "broken") => format!("Its answer was broken off{because}."),
        (503 | 429 | 408 | 421, _) => format!("It was refused and has not run{because}."),
        (402, _) => "It was refused and has not run: the program's budget is spent.".to_owned(),
        (502 | 504, _) => format!("It failed and may have run{because}."),
        (status, _) => format!("It was answered with status {status}{because}."),
    }
}
