//! The `demo`, `load` and `standin` commands, which exercise a system for testing.

use super::{CommandError, CommandResult, print};
use crate::demo::{DemoOptions, run_demo};
use crate::load::{LoadOptions, run_load};
use crate::settings::{EXIT_FAILURE, EXIT_OK};
use crate::standin;
use anyhow::Context;
use lexopt::Parser;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

/// Runs `galenapick demo`.
pub(super) fn demo(parser: &mut Parser) -> CommandResult {
    let usage = |error| CommandError::Usage(error, DemoOptions::HELP);
    let Some(options) = DemoOptions::parse(parser).map_err(usage)? else {
        return Ok(print(DemoOptions::HELP));
    };
    let report = smol::block_on(run_demo(&options))?;
    match options.json {
        true => {
            let json = report
                .to_json()
                .context("failed to serialize the report as JSON")?;
            write_out(&(json + "\n"))?;
        }
        false => write_out(&report.to_string())?,
    }
    Ok(exit_code(report.is_sound()))
}

/// Runs `galenapick load`.
pub(super) fn load(parser: &mut Parser) -> CommandResult {
    let usage = |error| CommandError::Usage(error, LoadOptions::HELP);
    let Some(options) = LoadOptions::parse(parser).map_err(usage)? else {
        return Ok(print(LoadOptions::HELP));
    };
    let report = smol::block_on(run_load(&options));
    if let Some(path) = &options.csv {
        let name = path.display();
        let file = File::create(path).with_context(|| format!("cannot create {name}"))?;
        let result = report.write_csv(BufWriter::new(file));
        result.with_context(|| format!("cannot write {name}"))?;
    }
    match options.json {
        true => report
            .write_json(io::stdout().lock())
            .context("cannot write the report")?,
        false => write_out(&report.to_string())?,
    }
    Ok(exit_code(report.is_sound()))
}

/// Runs `galenapick standin`.
pub(super) fn standin(parser: &mut Parser) -> CommandResult {
    let args: Vec<_> = parser
        .raw_args()
        .map_err(|error| CommandError::Usage(error, standin::USAGE))?
        .collect();
    let is_help_requested = args.iter().any(|arg| arg == "--help" || arg == "-h");
    if is_help_requested {
        return Ok(print(standin::USAGE));
    }
    smol::block_on(standin::run(args))?;
    Ok(ExitCode::from(EXIT_OK))
}

/// Writes to standard output. A closed pipe is not an error.
fn write_out(text: &str) -> anyhow::Result<()> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result.context("cannot write the report"),
    }
}

fn exit_code(is_sound: bool) -> ExitCode {
    ExitCode::from(if is_sound { EXIT_OK } else { EXIT_FAILURE })
}
