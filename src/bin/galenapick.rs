//! The galenapick command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    galenapick::run_tool(std::env::args_os().skip(1))
}
