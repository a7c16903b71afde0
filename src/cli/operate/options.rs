//! Options of the operators' commands.

use super::client::OperatorClient;
use super::{CliError, Output};
use anyhow::Context;
use lexopt::prelude::*;
use serde::Serialize;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// Variable with an entry's address.
const ENTRY_VARIABLE: &str = "GALENAPICK_ENTRY";

/// Variable with the operator's token, unless another is named.
const TOKEN_VARIABLE: &str = "GALENAPICK_TOKEN";

/// Time between two prints of a command that watches.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// Clears a terminal and puts the cursor at its top.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Words and options after the command.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Options {
    /// Words in their order.
    pub(super) words: Vec<String>,
    /// Address of an entry.
    pub(super) entry: Option<String>,
    /// Variable with the token.
    pub(super) token_env: Option<String>,
    /// Whether to print JSON.
    pub(super) json: bool,
    /// Whether to print again and again.
    pub(super) watch: bool,
    /// Whether to list everything.
    pub(super) all: bool,
    /// The version that a change replaces.
    pub(super) replaces: Option<u64>,
    /// The operation's key.
    pub(super) key: Option<String>,
    /// Why.
    pub(super) reason: Option<String>,
    /// Why an environment is promoted although the evidence falls short.
    pub(super) override_reason: Option<String>,
    /// The service's answer to an action that ran.
    pub(super) ran: Option<String>,
    /// Why an action did not run.
    pub(super) not_run: Option<String>,
    /// Where to write a page.
    pub(super) page: Option<PathBuf>,
}

impl Options {
    /// Reads the rest of a command line; `None` if it asks for help.
    pub(super) fn parse(parser: &mut lexopt::Parser) -> Result<Option<Self>, lexopt::Error> {
        let mut options = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Value(word) => options.words.push(word.string()?),
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

    /// Returns the words after the subcommand, if there are as many as named.
    pub(super) fn words<const N: usize>(&self, names: [&str; N]) -> Result<[&str; N], CliError> {
        let words: Vec<&str> = self.words.iter().skip(1).map(String::as_str).collect();
        let usage = || CliError::Usage(format!("{} wants: {}", self.subcommand(), names.join(" ")));
        words.try_into().map_err(|_| usage())
    }

    /// Returns the first word.
    pub(super) fn subcommand(&self) -> &str {
        self.words.first().map_or("", String::as_str)
    }

    /// Returns an option that must be there.
    pub(super) fn need<T>(value: Option<T>, name: &str) -> Result<T, CliError> {
        value.ok_or_else(|| CliError::Usage(format!("{name} is missing")))
    }

    /// Returns the operation's key, or a new one.
    pub(super) fn operation_key(&self) -> String {
        let new = || format!("{:016x}", fastrand::u64(..));
        self.key.clone().unwrap_or_else(new)
    }

    /// Makes a client of the entry that the options or the variables name.
    pub(super) fn client(&self) -> Result<OperatorClient, CliError> {
        let named = self.entry.clone();
        let entry = named.or_else(|| std::env::var(ENTRY_VARIABLE).ok());
        let entry = Self::need(entry, "--entry")?;
        let variable = self.token_env.as_deref().unwrap_or(TOKEN_VARIABLE);
        let token = std::env::var(variable)
            .with_context(|| format!("the variable {variable} has no token"))?;
        Ok(OperatorClient::new(&entry, &token))
    }

    /// Prints a value as JSON or as the text that a function makes of it.
    pub(super) fn print<T: Serialize>(
        &self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<Output, CliError> {
        if !self.json {
            return Ok(Output::ok(text(value)));
        }
        let json = serde_json::to_string_pretty(value).context("cannot be written as JSON")?;
        Ok(Output::ok(json + "\n"))
    }

    /// Runs a command once, or again and again with `--watch`.
    pub(super) fn watch(
        &self,
        work: impl Fn() -> Result<Output, CliError>,
    ) -> Result<Output, CliError> {
        if !self.watch {
            return work();
        }
        loop {
            let output = work()?;
            print!("{CLEAR_SCREEN}{}", output.text);
            thread::sleep(WATCH_INTERVAL);
        }
    }
}
