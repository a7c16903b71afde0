//! Command line of the daemon.

use crate::logging;
use crate::settings::{EXIT_FAILURE, EXIT_OK, EXIT_SETTINGS, EXIT_USAGE, Settings};
use lexopt::prelude::*;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Text of `--help`.
const HELP: &str = "\
Usage: galenapickd --settings FILE [--check]

Runs an entry or a sidecar until SIGTERM, SIGINT or SIGHUP.

  --settings FILE  settings in INI
  --check          check the settings and exit
  --help           print this text
  --version        print the version

Exit codes: 0 done, 1 failed while running, 2 wrong command line, 3 wrong settings.
";

/// The action that the command line requests.
enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

/// Parses the command line and runs its action.
pub(super) fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match parse(args) {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::from(EXIT_OK)
        }
        Ok(Command::Check(file)) => with_settings(&file, |_| ExitCode::from(EXIT_OK)),
        Ok(Command::Run(file)) => with_settings(&file, run_node),
        Err(error) => {
            eprintln!("galenapickd: {error}\n\n{HELP}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut file = None;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Short('h') | Long("help") => return Ok(Command::Print(HELP.to_string())),
            Short('V') | Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("galenapickd {version}\n")));
            }
            other => return Err(other.unexpected()),
        }
    }
    let file = file.ok_or("--settings is missing")?;
    Ok(if check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn with_settings(file: &std::path::Path, action: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match Settings::read(file) {
        Ok(settings) => action(settings),
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run_node(settings: Settings) -> ExitCode {
    logging::start(&settings.log);
    match smol::block_on(super::run(settings)) {
        Ok(true) => ExitCode::from(EXIT_OK),
        Ok(false) => {
            log::error!(target: "daemon", "daemon: the shutdown time limit expired; running requests were aborted");
            ExitCode::from(EXIT_FAILURE)
        }
        Err(error) => {
            log::error!(target: "daemon", "daemon: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
