//! The operators' commands.

mod actions;
mod burn;
mod client;
mod environments;
mod options;
mod page;
mod system;
mod table;
#[cfg(test)]
mod tests;

use super::{CommandError, CommandResult};
use crate::settings::EXIT_OK;
use options::Options;
use std::process::ExitCode;

/// Exit code of a change that was refused, or that lost to another one.
const EXIT_REFUSED: u8 = 4;

/// Exit code of a change whose outcome is not known; repeat it with the same key.
const EXIT_UNKNOWN: u8 = 5;

/// Text of `--help`.
const HELP: &str = "\
Usage: galenapick env|status|programs|actions|drain|burn [OPTIONS]

Environments
  env check FILE...        check documents; needs no entry
  env token [TOKEN]        make a token, or hash the one given; needs no entry
  env list                 list environments
  env show NAME            print the document in force
  env history NAME         list changes
  env diff FILE            compare a document with the one in force
  env apply FILE           put a document in force (--replaces VERSION)
  env promote NAME         put into production (--replaces VERSION, --override REASON)
  env retire NAME          take out of service (--replaces VERSION, --reason REASON)
  env status               show which node runs which version

The system
  status                   nodes, partitions, endpoints, the log
  programs                 list programs
  actions list             list calls that may not be repeated (--all: also settled ones)
  actions resolve CALL     resolve an unknown one (--ran ANSWER or --not-run WHY, --reason REASON)
  drain NODE               give a node no new work
  burn                     service-level burn and what happened (--page FILE writes HTML)

Options
  --entry ADDRESS          an entry's IP:port; otherwise GALENAPICK_ENTRY
  --token-env NAME         variable with the operator's token; otherwise GALENAPICK_TOKEN
  --json                   print JSON
  --watch                  print again every two seconds (status, programs, burn)
  --key KEY                name the operation; a repeat with the same key is the same operation
  --help                   print this text

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 faults in a document, 4 refused or lost to
another change, 5 outcome not known: repeat with the same key.
";

/// Why a command did not end well.
#[derive(Debug)]
enum CliError {
    /// The command line cannot be understood.
    Usage(String),
    /// Something failed.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for CliError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

/// What a command prints, and its exit code.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Output {
    text: String,
    code: u8,
}

impl Output {
    /// Output of a command that did what it was asked.
    fn ok(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            code: EXIT_OK,
        }
    }
}

/// Runs a command of the operators.
pub(super) fn operate(command: &str, parser: &mut lexopt::Parser) -> CommandResult {
    let usage = |error| CommandError::Usage(error, HELP);
    let options = match Options::parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => return Ok(super::print(HELP)),
        Err(error) => return Err(usage(error)),
    };
    match dispatch(command, &options) {
        Ok(output) => {
            super::print(&output.text);
            Ok(ExitCode::from(output.code))
        }
        Err(CliError::Usage(message)) => Err(usage(message.into())),
        Err(CliError::Failed(error)) => Err(error.into()),
    }
}

fn dispatch(command: &str, options: &Options) -> Result<Output, CliError> {
    match command {
        "env" => environments::run(options),
        "status" => system::status(options),
        "programs" => system::programs(options),
        "actions" => actions::run(options),
        "drain" => system::drain(options),
        "burn" => burn::run(options),
        other => Err(CliError::Usage(format!("there is no command {other:?}"))),
    }
}
