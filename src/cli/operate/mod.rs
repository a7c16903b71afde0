//! Commands for operators, which use the HTTP interface of an entry.

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

/// Exit code when a change was refused or superseded by a concurrent change.
const EXIT_REFUSED: u8 = 4;

/// Exit code when the outcome of a change is unknown. It can be repeated safely with the same key.
const EXIT_UNKNOWN: u8 = 5;

/// Text of `--help`.
const HELP: &str = "\
Usage: galenapick env|status|programs|actions|drain|burn [OPTIONS]

Environments
  env check FILE...        validate documents; needs no entry
  env token [TOKEN]        generate a token, or hash the given one; needs no entry
  env list                 list environments
  env show NAME            print the current document
  env history NAME         list changes
  env diff FILE            compare a document with the current one
  env apply FILE           apply a document (--replaces VERSION)
  env promote NAME         promote to production (--replaces VERSION, --override REASON)
  env retire NAME          take out of service (--replaces VERSION, --reason REASON)
  env status               show which node runs which version

The system
  status                   nodes, partitions, endpoints, the log
  programs                 list programs
  actions list             list unsettled non-repeatable calls (--all: also settled ones)
  actions resolve CALL     settle an unknown one (--ran ANSWER or --not-run WHY, --reason REASON)
  drain NODE               stop assigning new work to a node
  burn                     service-level burn rates and events (--page FILE writes HTML)

Options
  --entry ADDRESS          IP:port of an entry (default: $GALENAPICK_ENTRY)
  --token-env NAME         variable that holds the operator token (default: GALENAPICK_TOKEN)
  --json                   print JSON
  --watch                  refresh every two seconds (status, programs, burn)
  --key KEY                idempotency key; a repeat with the same key is the same operation
  --help                   print this text

Exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid document, 4 refused or
superseded by another change, 5 unknown outcome: repeat with the same key.
";

/// Reason why an operator command did not complete; [`operate`] converts it to a [`CommandError`].
#[derive(Debug)]
enum OperateError {
    /// The command line is invalid.
    Usage(String),
    /// The command failed while it ran.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for OperateError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

/// Text that a command prints to standard output, and its exit code.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Output {
    text: String,
    code: u8,
}

impl Output {
    /// Creates the output of a successful command.
    fn ok(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            code: EXIT_OK,
        }
    }
}

/// Parses the options and runs an operator command.
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
        Err(OperateError::Usage(message)) => Err(usage(message.into())),
        Err(OperateError::Failed(error)) => Err(error.into()),
    }
}

fn dispatch(command: &str, options: &Options) -> Result<Output, OperateError> {
    match command {
        "env" => environments::run(options),
        "status" => system::status(options),
        "programs" => system::programs(options),
        "actions" => actions::run(options),
        "drain" => system::drain(options),
        "burn" => burn::run(options),
        other => Err(OperateError::Usage(format!("unknown command {other:?}"))),
    }
}
