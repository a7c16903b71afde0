//! `galenapick burn`.

use super::options::Options;
use super::page;
use super::table::{Table, time};
use super::{CliError, Output};
use crate::protocol::operations::{EventKind, OperationEvent};
use crate::state::burn::{BurnLine, BurnReport, BurnWindow};
use anyhow::Context;
use std::fs;
use strum::IntoEnumIterator;

/// Events of the same kind within this time are one row.
const SAME_EVENT_MS: u64 = 60_000;

/// Runs `burn`.
pub(super) fn run(options: &Options) -> Result<Output, CliError> {
    let client = options.client()?;
    options.watch(|| {
        let report: BurnReport = client.get("/burn")?;
        if let Some(path) = &options.page {
            let written = fs::write(path, page::html(&report));
            written.with_context(|| format!("{} cannot be written", path.display()))?;
        }
        options.print(&report, text)
    })
}

/// Writes the report as two tables.
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
        let [m5, m30, h1, h6, d3] = rates(line);
        let days = line.window(BurnWindow::Days3);
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
            format!("{}/{}", days.bad, days.total),
            line.p50_ms.to_string(),
            line.p95_ms.to_string(),
            line.p99_ms.to_string(),
            line.alert.to_string(),
        ]);
    }
    let at = time(report.at_ms);
    format!(
        "burn at {at} UTC\n{}\n{}",
        table.text(),
        events_text(&report.events)
    )
}

/// Returns the burn rates of the five windows, shortest first.
pub(super) fn rates(line: &BurnLine) -> [String; 5] {
    let mut rates = BurnWindow::iter().map(|window| {
        let count = line.window(window);
        if count.total == 0 {
            "-".to_string()
        } else {
            format!("{:.2}", count.burn_rate)
        }
    });
    std::array::from_fn(|_| rates.next().unwrap_or_default())
}

/// Writes an objective such as `95 % in 1000 ms`.
pub(super) fn objective(line: &BurnLine) -> String {
    let percent = line.objective_share * 100.0;
    match line.objective_ms {
        Some(limit_ms) => format!("{percent} % in {limit_ms} ms"),
        None => format!("{percent} %"),
    }
}

fn events_text(events: &[OperationEvent]) -> String {
    let mut table = Table::new(["WHEN", "WHAT", "SEEN BY"]);
    for (event, seen_by) in together(events) {
        table.add([
            time(event.at_ms),
            event_text(&event.kind),
            seen_by.join(" "),
        ]);
    }
    table.text()
}

/// Puts the same event seen by several entries into one row.
pub(super) fn together(events: &[OperationEvent]) -> Vec<(OperationEvent, Vec<String>)> {
    let mut rows: Vec<(OperationEvent, Vec<String>)> = Vec::new();
    for event in events {
        let same = rows.iter_mut().rev().find(|(row, _)| {
            event.at_ms.saturating_sub(row.at_ms) < SAME_EVENT_MS && is_same(&row.kind, &event.kind)
        });
        match same {
            Some((_, seen_by)) if !seen_by.contains(&event.node) => {
                seen_by.push(event.node.clone())
            }
            _ => rows.push((event.clone(), vec![event.node.clone()])),
        }
    }
    rows
}

fn is_same(a: &EventKind, b: &EventKind) -> bool {
    match (a, b) {
        (EventKind::LogUp { .. }, EventKind::LogUp { .. }) => true,
        (EventKind::Refusals { .. }, _) => false,
        _ => a == b,
    }
}

/// Writes an event as a short sentence.
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
