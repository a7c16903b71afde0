//! The command-line tool.

mod experiment;
mod explain;
mod operate;
mod trial;

use crate::settings::{EXIT_FAILURE, EXIT_OK, EXIT_USAGE};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::process::ExitCode;

/// Text of `--help`.
const HELP: &str = "\
Usage: galenapick COMMAND [options]

  demo       run a whole system on loopback and check its guarantees
  load       send programs to entries at a steady rate
  standin    run a stand-in of an outside system
  experiment compare scheduling policies

  env        check, apply, promote and compare environments
  status     nodes, partitions, endpoints, the log
  programs   list programs
  actions    list and resolve non-repeatable calls
  drain      stop assigning new work to a node
  burn       service-level burn rates and recent events
  explain    trace a request through the logs of the gateways

  --help     print this text, or that of a command
  --version  print the version

Exit codes: 0 success, 1 failure or violated guarantee, 2 invalid command line.
";

/// Exit code of a completed command, or the error that stopped it.
pub(crate) type CommandResult = Result<ExitCode, CommandError>;

/// Reason why a command did not complete.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line is invalid. The error is printed together with the command's help text.
    Usage(lexopt::Error, &'static str),
    /// The command failed while it ran.
    Failed(anyhow::Error),
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        Self::Failed(error)
    }
}

/// Runs the tool with the command-line arguments, without the program name.
///
/// Errors are printed to standard error and mapped to an exit code.
pub fn run_tool(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut parser = lexopt::Parser::from_args(args);
    match run(&mut parser) {
        Ok(code) => code,
        Err(CommandError::Usage(error, help)) => {
            eprintln!("galenapick: {error}\n\n{help}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(CommandError::Failed(error)) => {
            eprintln!("galenapick: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(parser: &mut lexopt::Parser) -> CommandResult {
    let usage = |error| CommandError::Usage(error, HELP);
    match parser.next().map_err(usage)? {
        Some(Value(command)) => run_command(&command.to_string_lossy(), parser),
        Some(Short('h') | Long("help")) => Ok(print(HELP)),
        Some(Short('V') | Long("version")) => Ok(print(concat!(
            "galenapick ",
            env!("CARGO_PKG_VERSION"),
            "\n"
        ))),
        Some(other) => Err(usage(other.unexpected())),
        None => Err(usage("no command given".into())),
    }
}

fn run_command(command: &str, parser: &mut lexopt::Parser) -> CommandResult {
    match command {
        "demo" => trial::demo(parser),
        "load" => trial::load(parser),
        "standin" => trial::standin(parser),
        "experiment" => experiment::experiment(parser),
        "explain" => explain::explain(parser),
        "env" | "status" | "programs" | "actions" | "drain" | "burn" => {
            operate::operate(command, parser)
        }
        other => {
            let error = format!("unknown command {other:?}");
            Err(CommandError::Usage(error.into(), HELP))
        }
    }
}

/// Prints the text to standard output and returns [`EXIT_OK`].
fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::from(EXIT_OK)
}
