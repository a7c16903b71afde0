//! The `galenapick status`, `programs` and `drain` commands.

use super::options::Options;
use super::table::{Table, format_time};
use super::{EXIT_REFUSED, OperateError, Output};
use crate::protocol::operator::{
    NodeStatus, PartialList, PartitionStatus, ProgramSummary, StatusAnswer,
};
use crate::protocol::vms::NodeRole;
use serde::Serialize;

/// Runs `galenapick status`.
pub(super) fn status(options: &Options) -> Result<Output, OperateError> {
    let client = options.client()?;
    options.watch(|| {
        let status: StatusAnswer = client.get("/status")?;
        options.format_output(&status, status_text)
    })
}

fn status_text(status: &StatusAnswer) -> String {
    let log = match status.log_down_ms {
        None => "up".to_string(),
        Some(down_ms) => format!("down for {} s", down_ms / 1_000),
    };
    let header = format!(
        "{} at {}\nconfiguration: version {}\nlog: {log}\npending: {} entries, {} bytes\n",
        status.node,
        format_time(status.at_ms),
        status.configuration,
        status.backlog_entries,
        status.backlog_bytes,
    );
    let nodes = nodes_text(&status.nodes);
    format!("{header}\n{nodes}\n{}", partitions_text(&status.partitions))
}

fn nodes_text(nodes: &[NodeStatus]) -> String {
    let mut table = Table::new([
        "NODE",
        "ROLE",
        "FAILURE DOMAIN",
        "STATE",
        "HEARD",
        "QUEUED",
        "RUNNING",
        "CACHE",
        "MODELS",
    ]);
    for node in nodes {
        let models = node
            .models
            .iter()
            .map(|(model, version)| format!("{model}:{version}"));
        table.add([
            node.node.clone(),
            node.role.to_string(),
            node.failure_domain.clone(),
            node.state.clone(),
            format!("{} ms", node.heard_ms),
            queue_text(node),
            node.running.to_string(),
            cache_text(node),
            models.collect::<Vec<_>>().join(" "),
        ]);
    }
    table.text()
}

fn queue_text(node: &NodeStatus) -> String {
    match node.role {
        NodeRole::Entry => "-".to_string(),
        NodeRole::Sidecar => node.queued.to_string(),
    }
}

fn cache_text(node: &NodeStatus) -> String {
    if node.cache_total_tokens == 0 {
        return "-".to_string();
    }
    let percent = 100 * node.cache_used_tokens / node.cache_total_tokens;
    format!("{percent} %")
}

fn partitions_text(partitions: &[PartitionStatus]) -> String {
    let mut table = Table::new(["PARTITION", "OWNER", "EPOCH", "PROGRAMS"]);
    for partition in partitions {
        let owner = partition
            .owner
            .clone()
            .unwrap_or_else(|| "none".to_string());
        let epoch = partition.epoch.map(|epoch| epoch.to_string());
        let programs = partition.programs.map(|programs| programs.to_string());
        table.add([
            partition.partition.to_string(),
            owner,
            epoch.unwrap_or_else(|| "-".to_string()),
            programs.unwrap_or_else(|| "-".to_string()),
        ]);
    }
    table.text()
}

/// Runs `galenapick programs`.
pub(super) fn programs(options: &Options) -> Result<Output, OperateError> {
    let client = options.client()?;
    options.watch(|| {
        let list: PartialList<ProgramSummary> = client.get("/programs")?;
        options.format_output(&list, programs_text)
    })
}

fn programs_text(list: &PartialList<ProgramSummary>) -> String {
    let mut table = Table::new([
        "PROGRAM",
        "ENVIRONMENT",
        "MEMBER",
        "BEGUN",
        "TURNS",
        "TOKENS",
        "STATE",
    ]);
    for program in &list.items {
        table.add([
            program.program.clone(),
            program.environment.clone(),
            program.client_account.clone(),
            format_time(program.begun_ms),
            program.turns.to_string(),
            format!("{} of {}", program.spent.tokens, program.budget.tokens),
            program
                .ended
                .clone()
                .unwrap_or_else(|| "running".to_string()),
        ]);
    }
    table.text() + missing_entries_text(&list.silent).as_str()
}

/// Warns about entries that did not answer; empty if all did.
pub(super) fn missing_entries_text(silent: &[String]) -> String {
    if silent.is_empty() {
        return String::new();
    }
    format!(
        "no answer from {}: something may be missing\n",
        silent.join(", ")
    )
}

/// Runs `galenapick drain NODE`.
pub(super) fn drain(options: &Options) -> Result<Output, OperateError> {
    let [node] = options.positional.as_slice() else {
        return Err(OperateError::Usage("drain requires: NODE".to_string()));
    };
    post_operation(
        options,
        &format!("/nodes/{node}/drain"),
        &serde_json::json!({}),
    )
}

/// Posts an operation and returns the text and the exit code that tell whether it was done or refused.
pub(super) fn post_operation(
    options: &Options,
    path: &str,
    body: &impl Serialize,
) -> Result<Output, OperateError> {
    let answer = options.client()?.post(path, body)?;
    let text: serde_json::Value = answer.read()?;
    let output = options.format_output(&text, |text| match text["error"].as_str() {
        Some(reason) => format!("refused: {reason}\n"),
        None => "done\n".to_string(),
    })?;
    let code = if answer.status() == 200 {
        output.code
    } else {
        EXIT_REFUSED
    };
    Ok(Output { code, ..output })
}
