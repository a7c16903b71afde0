//! `galenapick actions`.

use super::options::Options;
use super::system::{operate, silent_text};
use super::table::Table;
use super::{CliError, Output};
use crate::protocol::operator::{ActionSummary, PartialList, ResolveRequest};

/// Runs `actions SUBCOMMAND`.
pub(super) fn run(options: &Options) -> Result<Output, CliError> {
    match options.subcommand() {
        "list" => list(options),
        "resolve" => resolve(options),
        other => Err(CliError::Usage(format!("unknown command actions {other}"))),
    }
}

fn list(options: &Options) -> Result<Output, CliError> {
    let mut listed: PartialList<ActionSummary> = options.client()?.get("/actions")?;
    if !options.all {
        let needs_care = |action: &ActionSummary| matches!(&*action.state, "open" | "unknown");
        listed.items.retain(needs_care);
    }
    options.print(&listed, |listed| {
        let mut table = Table::new([
            "CALL",
            "STATE",
            "ENVIRONMENT",
            "MEMBER",
            "SERVICE",
            "ENDPOINT",
        ]);
        for one in &listed.items {
            table.add([
                one.call.clone(),
                one.state.clone(),
                one.environment.clone(),
                one.client_account.clone(),
                one.service.clone(),
                one.endpoint.clone(),
            ]);
        }
        table.text() + silent_text(&listed.silent).as_str()
    })
}

fn resolve(options: &Options) -> Result<Output, CliError> {
    let [call] = options.words(["CALL"])?;
    let (ran, answer) = match (&options.ran, &options.not_run) {
        (Some(answer), None) => (true, answer.clone()),
        (None, Some(why)) => (false, why.clone()),
        _ => {
            let message = "resolve wants one of --ran ANSWER and --not-run WHY";
            return Err(CliError::Usage(message.to_string()));
        }
    };
    let request = ResolveRequest {
        ran,
        answer,
        reason: Options::need(options.reason.clone(), "--reason")?,
    };
    operate(options, &format!("/actions/{call}/resolve"), &request)
}
