//! Options of the operator commands.

use super::client::OperatorClient;
use super::{OperateError, Output};
use anyhow::Context;
use lexopt::prelude::*;
use serde::Serialize;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Environment variable with the address of an entry.
const ENTRY_VARIABLE: &str = "GALENAPICK_ENTRY";

/// Default environment variable with the operator token.
const TOKEN_VARIABLE: &str = "GALENAPICK_TOKEN";

/// Refresh interval of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// ANSI sequence that clears the terminal and moves the cursor to the top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Positional arguments and options after the command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Options {
    /// Positional arguments in order; the first one is the subcommand, if the command has any.
    pub(super) positional: Vec<String>,
    /// `IP:port` of an entry.
    pub(super) entry: Option<String>,
    /// Environment variable with the operator token.
    pub(super) token_env: Option<String>,
    /// Whether to print JSON.
    pub(super) json: bool,
    /// Whether to refresh the output until interrupted.
    pub(super) watch: bool,
    /// Whether to list settled actions as well.
    pub(super) all: bool,
    /// Version that a change replaces.
    pub(super) replaces: Option<u64>,
    /// Idempotency key of the operation.
    pub(super) key: Option<String>,
    /// Reason of the operator for a change.
    pub(super) reason: Option<String>,
    /// Reason to promote an environment despite insufficient evidence.
    pub(super) override_reason: Option<String>,
    /// Answer of the service, for an action that ran.
    pub(super) ran: Option<String>,
    /// Explanation, for an action that did not run.
    pub(super) not_run: Option<String>,
    /// File for the HTML page.
    pub(super) page: Option<PathBuf>,
}

impl Options {
    /// Parses the rest of the command line. Returns `None` if it requests help.
    pub(super) fn parse(parser: &mut lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Value(value) => options.positional.push(value.string()?),
                Long("entry") => options.entry = Some(parser.value()?.string()?),
                Long("token-env") => options.token_env = Some(parser.value()?.string()?),
                Long("json") => options.json = true,
                Long("watch") => options.watch = true,
                Long("all") => options.all = true,
                Long("replaces") => options.replaces = Some(parser.value()?.parse()?),
                Long("key") => options.key = Some(parser.value()?.string()?),
                Long("reason") => options.reason = Some(parser.value()?.string()?),
                Long("override") => options.override_reason = Some(parser.value()?.string()?),
                Long("ran") => options.ran = Some(parser.value()?.string()?),
                Long("not-run") => options.not_run = Some(parser.value()?.string()?),
                Long("page") => options.page = Some(PathBuf::from(parser.value()?)),
                Short('h') | Long("help") => return Ok(None),
                other => return Err(other.unexpected()),
            }
        }
        Ok(Some(options))
    }

    /// Returns the arguments after the subcommand. Any count but `N` is a usage error.
    pub(super) fn expect_arguments<const N: usize>(
        &self,
        names: [&str; N],
    ) -> Result<[&str; N], OperateError> {
        let arguments: Vec<&str> = self.positional.iter().skip(1).map(String::as_str).collect();
        let usage = || {
            OperateError::Usage(format!(
                "{} requires: {}",
                self.subcommand(),
                names.join(" ")
            ))
        };
        arguments.try_into().map_err(|_| usage())
    }

    /// Returns the first positional argument, or an empty string.
    pub(super) fn subcommand(&self) -> &str {
        self.positional.first().map_or("", String::as_str)
    }

    /// Returns the value of a required option, or a usage error that names it.
    pub(super) fn require<T>(value: Option<T>, name: &str) -> Result<T, OperateError> {
        value.ok_or_else(|| OperateError::Usage(format!("{name} is missing")))
    }

    /// Returns the idempotency key of the command line, or a new random one.
    pub(super) fn operation_key(&self) -> String {
        let new = || format!("{:016x}", fastrand::u64(..));
        self.key.clone().unwrap_or_else(new)
    }

    /// Creates a client of the entry given by the options or environment variables.
    pub(super) fn client(&self) -> Result<OperatorClient, OperateError> {
        let option = self.entry.clone();
        let entry = option.or_else(|| std::env::var(ENTRY_VARIABLE).ok());
        let entry = Self::require(entry, "--entry")?;
        let variable = self.token_env.as_deref().unwrap_or(TOKEN_VARIABLE);
        let token = std::env::var(variable).with_context(|| {
            format!("the environment variable {variable} does not hold a token")
        })?;
        Ok(OperatorClient::new(&entry, &token))
    }

    /// Formats a value as JSON if `--json` is given, otherwise with `text`.
    pub(super) fn format_output<T: Serialize>(
        &self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<Output, OperateError> {
        if !self.json {
            return Ok(Output::ok(text(value)));
        }
        let json =
            serde_json::to_string_pretty(value).context("cannot serialize the answer as JSON")?;
        Ok(Output::ok(json + "\n"))
    }

    /// Runs a command once, or repeatedly with `--watch`.
    pub(super) fn watch(
        &self,
        command: impl Fn() -> Result<Output, OperateError>,
    ) -> Result<Output, OperateError> {
        if !self.watch {
            return command();
        }
        loop {
            let output = command()?;
            print!("{CLEAR_SCREEN}{}", output.text);
            thread::sleep(WATCH_INTERVAL);
        }
    }
}
