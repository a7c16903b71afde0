//! The `galenapick burn` command.

use super::options::Options;
use super::page;
use super::table::{Table, format_time};
use super::{OperateError, Output};
use crate::protocol::operations::{EventKind, OperationEvent};
use crate::state::burn::{BurnLine, BurnReport, BurnWindow};
use anyhow::Context;
use std::fs;
use strum::IntoEnumIterator;

/// Equal events reported by several entries within this time are merged into one row.
const MERGE_WINDOW_MS: u64 = 60_000;

/// Runs `galenapick burn`.
pub(super) fn run(options: &Options) -> Result<Output, OperateError> {
    let client = options.client()?;
    options.watch(|| {
        let report: BurnReport = client.get("/burn")?;
        if let Some(path) = &options.page {
            let result = fs::write(path, page::html(&report));
            result.with_context(|| format!("cannot write {}", path.display()))?;
        }
        options.format_output(&report, text)
    })
}

/// Formats the report as a table of burn rates and a table of events.
pub(super) fn text(report: &BurnReport) -> String {
    let mut table = Table::new([
        "ENVIRONMENT",
        "MEMBER",
        "MEASURE",
        "OBJECTIVE",
        "5M",
        "30M",
        "1H",
        "6H",
        "3D",
        "BAD/ALL 3D",
        "P50",
        "P95",
        "P99",
        "CALL",
    ]);
    for line in &report.lines {
        let [m5, m30, h1, h6, d3] = burn_rates(line);
        let three_days = line.window(BurnWindow::Days3);
        table.add([
            line.environment.clone(),
            line.client_account
                .clone()
                .unwrap_or_else(|| "all".to_string()),
            line.measure.to_string(),
            objective(line),
            m5,
            m30,
            h1,
            h6,
            d3,
            format!("{}/{}", three_days.bad, three_days.total),
            line.p50_ms.to_string(),
            line.p95_ms.to_string(),
            line.p99_ms.to_string(),
            line.alert.to_string(),
        ]);
    }
    let at = format_time(report.at_ms);
    format!(
        "burn at {at} UTC\n{}\n{}",
        table.text(),
        events_text(&report.events)
    )
}

/// Formats the burn rates of the five windows, shortest first; `-` where a window is empty.
pub(super) fn burn_rates(line: &BurnLine) -> [String; 5] {
    let mut burn_rates = BurnWindow::iter().map(|window| {
        let count = line.window(window);
        if count.total == 0 {
            "-".to_string()
        } else {
            format!("{:.2}", count.burn_rate)
        }
    });
    std::array::from_fn(|_| burn_rates.next().unwrap_or_default())
}

/// Formats an objective, for instance `95 % in 1000 ms`.
pub(super) fn objective(line: &BurnLine) -> String {
    let percent = line.objective_share * 100.0;
    match line.objective_ms {
        Some(limit_ms) => format!("{percent} % in {limit_ms} ms"),
        None => format!("{percent} %"),
    }
}

fn events_text(events: &[OperationEvent]) -> String {
    let mut table = Table::new(["WHEN", "WHAT", "SEEN BY"]);
    for (event, seen_by) in merge_events(events) {
        table.add([
            format_time(event.at_ms),
            event_text(&event.kind),
            seen_by.join(" "),
        ]);
    }
    table.text()
}

/// Merges reports of the same event by several entries into one row with their names.
pub(super) fn merge_events(events: &[OperationEvent]) -> Vec<(OperationEvent, Vec<String>)> {
    let mut rows: Vec<(OperationEvent, Vec<String>)> = Vec::new();
    for event in events {
        let matching_row = rows.iter_mut().rev().find(|(row, _)| {
            event.at_ms.saturating_sub(row.at_ms) < MERGE_WINDOW_MS
                && is_same_event(&row.kind, &event.kind)
        });
        match matching_row {
            Some((_, seen_by)) if !seen_by.contains(&event.node) => {
                seen_by.push(event.node.clone())
            }
            _ => rows.push((event.clone(), vec![event.node.clone()])),
        }
    }
    rows
}

fn is_same_event(a: &EventKind, b: &EventKind) -> bool {
    match (a, b) {
        (EventKind::LogUp { .. }, EventKind::LogUp { .. }) => true,
        (EventKind::Refusals { .. }, _) => false,
        _ => a == b,
    }
}

/// Describes an event in a short sentence.
pub(super) fn event_text(kind: &EventKind) -> String {
    match kind {
        EventKind::Started { subject } => format!("{subject} started"),
        EventKind::Stopping { subject } => format!("{subject} was told to stop"),
        EventKind::NodeFailed { subject } => format!("{subject} failed"),
        EventKind::Takeover {
            partition,
            epoch,
            from,
            to,
        } => {
            let from = from
                .as_ref()
                .map(|from| format!(" from {from}"))
                .unwrap_or_default();
            format!("{to} took partition {partition} over{from}, epoch {epoch}")
        }
        EventKind::LogDown => "the log stopped answering".to_string(),
        EventKind::LogUp { down_ms } => {
            format!("the log answers again after {} s", down_ms / 1_000)
        }
        EventKind::Refusals {
            environment,
            code,
            count,
        } => {
            format!("{environment}: {count} calls refused, {code}")
        }
        EventKind::UnknownAction {
            environment,
            client_account,
            call,
            ..
        } => {
            format!("{environment}: outcome of call {call} of {client_account} is not known")
        }
        EventKind::ActionResolved { call, operator } => format!("{operator} resolved call {call}"),
        EventKind::Configured {
            environment,
            version,
            operator,
        } => {
            format!("{operator} put version {version} of {environment} in force")
        }
    }
}
