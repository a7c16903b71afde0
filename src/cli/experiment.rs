//! The `galenapick experiment` command.

use super::{CommandError, CommandResult, print};
use crate::experiment::PolicyExperiment;
use crate::settings::EXIT_OK;
use lexopt::prelude::*;
use std::process::ExitCode;

/// Text of `galenapick experiment --help`.
const HELP: &str = "\
Usage: galenapick experiment policies [OPTIONS]

  policies   compare policies of endpoint selection and queue order in virtual time
";

/// Runs the experiment named by the next argument.
pub(super) fn experiment(parser: &mut lexopt::Parser) -> CommandResult {
    let usage = |error| CommandError::Usage(error, HELP);
    match parser.next().map_err(usage)? {
        Some(Value(name)) if name == "policies" => policies(parser),
        Some(Short('h') | Long("help")) => Ok(print(HELP)),
        Some(other) => Err(usage(other.unexpected())),
        None => Err(usage("no experiment given".into())),
    }
}

fn policies(parser: &mut lexopt::Parser) -> CommandResult {
    let usage = |error: anyhow::Error| {
        let error = lexopt::Error::Custom(error.into());
        CommandError::Usage(error, PolicyExperiment::HELP)
    };
    let Some(experiment) = PolicyExperiment::parse(parser).map_err(usage)? else {
        return Ok(print(PolicyExperiment::HELP));
    };
    experiment.run(&mut std::io::stdout())?;
    Ok(ExitCode::from(EXIT_OK))
}
