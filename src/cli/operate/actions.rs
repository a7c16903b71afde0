//! The `galenapick actions` commands.

use super::options::Options;
use super::system::{missing_entries_text, post_operation};
use super::table::Table;
use super::{OperateError, Output};
use crate::protocol::operator::{ActionSummary, PartialList, ResolveRequest};

/// Runs the subcommand of `galenapick actions`.
pub(super) fn run(options: &Options) -> Result<Output, OperateError> {
    match options.subcommand() {
        "list" => list(options),
        "resolve" => resolve(options),
        other => Err(OperateError::Usage(format!(
            "unknown command actions {other}"
        ))),
    }
}

fn list(options: &Options) -> Result<Output, OperateError> {
    let mut list: PartialList<ActionSummary> = options.client()?.get("/actions")?;
    if !options.all {
        let is_unsettled = |action: &ActionSummary| matches!(&*action.state, "open" | "unknown");
        list.items.retain(is_unsettled);
    }
    options.format_output(&list, |list| {
        let mut table = Table::new([
            "CALL",
            "STATE",
            "ENVIRONMENT",
            "MEMBER",
            "SERVICE",
            "ENDPOINT",
        ]);
        for summary in &list.items {
            table.add([
                summary.call.clone(),
                summary.state.clone(),
                summary.environment.clone(),
                summary.client_account.clone(),
                summary.service.clone(),
                summary.endpoint.clone(),
            ]);
        }
        table.text() + missing_entries_text(&list.silent).as_str()
    })
}

fn resolve(options: &Options) -> Result<Output, OperateError> {
    let [call] = options.expect_arguments(["CALL"])?;
    let (ran, answer) = match (&options.ran, &options.not_run) {
        (Some(answer), None) => (true, answer.clone()),
        (None, Some(explanation)) => (false, explanation.clone()),
        _ => {
            let message = "resolve requires either --ran ANSWER or --not-run WHY";
            return Err(OperateError::Usage(message.to_string()));
        }
    };
    let request = ResolveRequest {
        ran,
        answer,
        reason: Options::require(options.reason.clone(), "--reason")?,
    };
    post_operation(options, &format!("/actions/{call}/resolve"), &request)
}
