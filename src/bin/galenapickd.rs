//! The galenapick daemon, which runs an entry or a sidecar.

use std::process::ExitCode;

fn main() -> ExitCode {
    galenapick::run_daemon(std::env::args_os().skip(1))
}
