//! The `galenapick env` commands.

use super::options::Options;
use super::table::{Table, format_time};
use super::{EXIT_REFUSED, EXIT_UNKNOWN, OperateError, Output};
use crate::environment::{Difference, Environment, differences};
use crate::protocol::configuration::{AcceptedChange, ChangeKind, EnvironmentImage};
use crate::protocol::operator::{
    ApplyRequest, ChangeAnswer, EnvironmentSummary, PromoteRequest, RetireRequest, StatusAnswer,
};
use crate::settings::{EXIT_OK, EXIT_SETTINGS};
use anyhow::Context;
use std::fs;

/// Bytes of a generated token, which is printed in hexadecimal. It is derived from twice as many random
/// bytes.
const TOKEN_BYTES: usize = 32;

/// Runs the subcommand of `galenapick env`.
pub(super) fn run(options: &Options) -> Result<Output, OperateError> {
    match options.subcommand() {
        "check" => check(options),
        "token" => Ok(token(options)),
        "list" => list(options),
        "show" => show(options),
        "history" => history(options),
        "diff" => diff(options),
        "apply" => apply(options),
        "promote" => promote(options),
        "retire" => retire(options),
        "status" => status(options),
        other => Err(OperateError::Usage(format!("unknown command env {other}"))),
    }
}

fn check(options: &Options) -> Result<Output, OperateError> {
    let files = &options.positional[1..];
    if files.is_empty() {
        return Err(OperateError::Usage("check requires: FILE".to_string()));
    }
    let mut output = Output::default();
    for file in files {
        match Environment::parse(&read(file)?, file) {
            Ok(environment) => output.text += &format!("{file}: {} is valid\n", environment.name),
            Err(faults) => {
                output.text += &format!("{faults}\n");
                output.code = EXIT_SETTINGS;
            }
        }
    }
    Ok(output)
}

fn token(options: &Options) -> Output {
    let token = match options.positional.get(1) {
        Some(token) => token.clone(),
        None => new_token(),
    };
    let hash = blake3::hash(token.as_bytes()).to_hex();
    Output::ok(format!("token = {token}\ntoken_hash = {hash}\n"))
}

/// Generates a token from the randomness that the operating system gives to [`RandomState`].
///
/// [`RandomState`]: std::hash::RandomState
fn new_token() -> String {
    use std::hash::{BuildHasher, RandomState};
    let mut seed = Vec::with_capacity(TOKEN_BYTES * 2);
    for position in 0..TOKEN_BYTES as u64 / 4 {
        seed.extend(RandomState::new().hash_one(position).to_le_bytes());
    }
    blake3::derive_key("galenapick member token", &seed)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn list(options: &Options) -> Result<Output, OperateError> {
    let summaries: Vec<EnvironmentSummary> = options.client()?.get("/environments")?;
    options.format_output(&summaries, |summaries| {
        let mut table = Table::new(["NAME", "VERSION", "STAGE", "CHANGED", "BY"]);
        for summary in summaries {
            let stage = if summary.retired {
                "retired".to_string()
            } else {
                summary.stage.to_string()
            };
            let last = summary.last_change.as_ref();
            let changed = last
                .map(|change| format_time(change.at_ms))
                .unwrap_or_default();
            let by = last
                .map(|change| change.operator.clone())
                .unwrap_or_default();
            table.add([
                summary.name.clone(),
                summary.version.to_string(),
                stage,
                changed,
                by,
            ]);
        }
        table.text()
    })
}

fn fetch_image(options: &Options, name: &str) -> Result<EnvironmentImage, OperateError> {
    Ok(options.client()?.get(&format!("/environments/{name}"))?)
}

fn show(options: &Options) -> Result<Output, OperateError> {
    let [name] = options.expect_arguments(["NAME"])?;
    let image = fetch_image(options, name)?;
    options.format_output(&image, |image| {
        let stage = if image.retired {
            "retired".to_string()
        } else {
            image.stage.to_string()
        };
        format!("# version {}, {stage}\n{}", image.version, image.document)
    })
}

fn history(options: &Options) -> Result<Output, OperateError> {
    let [name] = options.expect_arguments(["NAME"])?;
    let image = fetch_image(options, name)?;
    options.format_output(&image.changes, |changes| {
        let mut table = Table::new(["VERSION", "REPLACED", "WHEN", "BY", "WHAT"]);
        for change in changes {
            table.add([
                change.version.to_string(),
                change.replaced.to_string(),
                format_time(change.at_ms),
                change.operator.clone(),
                kind_text(&change.kind),
            ]);
        }
        table.text()
    })
}

fn kind_text(kind: &ChangeKind) -> String {
    match kind {
        ChangeKind::Applied => "applied".to_string(),
        ChangeKind::Promoted(promotion) => match &promotion.override_reason {
            Some(reason) => format!("promoted, overridden: {reason}"),
            None => "promoted".to_string(),
        },
        ChangeKind::Retired(reason) => format!("retired: {reason}"),
    }
}

fn diff(options: &Options) -> Result<Output, OperateError> {
    let [file] = options.expect_arguments(["FILE"])?;
    let text = read(file)?;
    let environment = match Environment::parse(&text, file) {
        Ok(environment) => environment,
        Err(faults) => return Ok(invalid_document(&faults.to_string())),
    };
    let image = fetch_image(options, &environment.name)?;
    let differences_found = differences(&image.document, &text);
    options.format_output(&differences_found, |differences_found| {
        difference_text(differences_found)
    })
}

fn difference_text(differences_found: &[Difference]) -> String {
    if differences_found.is_empty() {
        return "no difference\n".to_string();
    }
    differences_found
        .iter()
        .map(|difference| format!("{difference}\n"))
        .collect()
}

fn invalid_document(faults: &str) -> Output {
    Output {
        text: format!("{faults}\n"),
        code: EXIT_SETTINGS,
    }
}

fn apply(options: &Options) -> Result<Output, OperateError> {
    let [file] = options.expect_arguments(["FILE"])?;
    let document = read(file)?;
    let environment = match Environment::parse(&document, file) {
        Ok(environment) => environment,
        Err(faults) => return Ok(invalid_document(&faults.to_string())),
    };
    let request = ApplyRequest {
        expects: options.replaces.unwrap_or(0),
        key: options.operation_key(),
        document,
    };
    let path = format!("/environments/{}/apply", environment.name);
    let answer = options.client()?.post(&path, &request)?;
    change_output(options, &answer.read()?, &request.key)
}

fn promote(options: &Options) -> Result<Output, OperateError> {
    let [name] = options.expect_arguments(["NAME"])?;
    let request = PromoteRequest {
        expects: Options::require(options.replaces, "--replaces")?,
        key: options.operation_key(),
        override_reason: options.override_reason.clone(),
    };
    let path = format!("/environments/{name}/promote");
    let answer = options.client()?.post(&path, &request)?;
    change_output(options, &answer.read()?, &request.key)
}

fn retire(options: &Options) -> Result<Output, OperateError> {
    let [name] = options.expect_arguments(["NAME"])?;
    let request = RetireRequest {
        expects: Options::require(options.replaces, "--replaces")?,
        key: options.operation_key(),
        reason: Options::require(options.reason.clone(), "--reason")?,
    };
    let path = format!("/environments/{name}/retire");
    let answer = options.client()?.post(&path, &request)?;
    change_output(options, &answer.read()?, &request.key)
}

/// Returns the text and the exit code for the result of a change.
pub(super) fn change_output(
    options: &Options,
    answer: &ChangeAnswer,
    key: &str,
) -> Result<Output, OperateError> {
    let code = match answer {
        ChangeAnswer::Accepted { .. } => EXIT_OK,
        ChangeAnswer::Lost { .. } | ChangeAnswer::Refused { .. } => EXIT_REFUSED,
        ChangeAnswer::Faulty { .. } => EXIT_SETTINGS,
        ChangeAnswer::Unknown { .. } => EXIT_UNKNOWN,
    };
    let output = options.format_output(answer, |answer| change_text(answer, key))?;
    Ok(Output { code, ..output })
}

fn change_text(answer: &ChangeAnswer, key: &str) -> String {
    match answer {
        ChangeAnswer::Accepted {
            change,
            holders,
            evidence,
        } => {
            let facts: String = evidence.iter().map(|fact| format!("{fact}\n")).collect();
            let version = change.version;
            format!("{facts}accepted as version {version}; {holders} other entries hold it\n")
        }
        ChangeAnswer::Lost {
            version,
            winner,
            difference,
        } => {
            let by = winner.as_ref().map(describe_change).unwrap_or_default();
            let rows = difference_text(difference);
            format!("lost: version {version} is in force{by}\nfrom yours to that one:\n{rows}")
        }
        ChangeAnswer::Faulty { faults } => {
            faults.iter().map(|fault| format!("{fault}\n")).collect()
        }
        ChangeAnswer::Refused { reason, evidence } => {
            let facts: String = evidence.iter().map(|fact| format!("{fact}\n")).collect();
            format!("{facts}refused: {reason}\n")
        }
        ChangeAnswer::Unknown { reason } => {
            format!("not known whether it is accepted: {reason}\nrepeat with --key {key}\n")
        }
    }
}

fn describe_change(change: &AcceptedChange) -> String {
    format!(
        " since {}, by {} ({})",
        format_time(change.at_ms),
        change.operator,
        kind_text(&change.kind)
    )
}

fn status(options: &Options) -> Result<Output, OperateError> {
    let status: StatusAnswer = options.client()?.get("/status")?;
    let nodes: Vec<_> = status
        .nodes
        .iter()
        .map(|n| (n.node.clone(), n.configuration))
        .collect();
    options.format_output(&nodes, |nodes| {
        let newest = status.configuration;
        let behind = nodes
            .iter()
            .filter(|(_, version)| *version != newest)
            .count();
        let mut table = Table::new(["NODE", "VERSION"]);
        for (node, version) in nodes {
            table.add([node.clone(), version.to_string()]);
        }
        format!(
            "{}{behind} of {} do not run version {newest}\n",
            table.text(),
            nodes.len()
        )
    })
}

fn read(file: &str) -> Result<String, OperateError> {
    Ok(fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?)
}
