//! Renders the burn report as a self-contained HTML page.

use super::burn::{event_text, merge_events, objective};
use super::table::format_time;
use crate::state::burn::{BurnLine, BurnReport, BurnWindow};
use strum::IntoEnumIterator;

/// Width of a full bar, in pixels.
const FULL_BAR_PX: f64 = 120.0;

/// Burn rate at which a bar is full: the threshold of a `page` alert.
const FULL_BAR_RATE: f64 = 14.4;

const HTML_HEAD: &str = "<!doctype html>
<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>
<style>
body { font: 14px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse; margin-bottom: 2em }
th, td { padding: 3px 10px; text-align: left; border-bottom: 1px solid #ddd }
.page { background: #f5c6c6 } .ticket { background: #f8e3b8 } .watch { background: #eef3c9 }
</style></head><body>
";

/// Renders the page.
pub(super) fn html(report: &BurnReport) -> String {
    let mut page = HTML_HEAD.to_string();
    page += &format!(
        "<h1>Service-level burn</h1><p>{} UTC</p>\n",
        format_time(report.at_ms)
    );
    page += "<table><tr><th>environment<th>member<th>measure<th>objective";
    for window in BurnWindow::iter() {
        page += &format!("<th>{window}");
    }
    page += "<th>bad of all, 3d<th>p50 ms<th>p95 ms<th>p99 ms<th>call</tr>\n";
    for line in &report.lines {
        page += &row(line);
    }
    page += "</table>\n<h2>What happened</h2>\n<table><tr><th>when<th>what<th>seen by</tr>\n";
    for (event, seen_by) in merge_events(&report.events) {
        let (when, what) = (format_time(event.at_ms), escape(&event_text(&event.kind)));
        page += &format!(
            "<tr><td>{when}<td>{what}<td>{}</tr>\n",
            escape(&seen_by.join(" "))
        );
    }
    page += "</table></body></html>\n";
    page
}

fn row(line: &BurnLine) -> String {
    let client_account = line.client_account.as_deref().unwrap_or("all");
    let mut row = format!(
        "<tr class=\"{}\"><td>{}<td>{}<td>{}<td>{}",
        line.alert,
        escape(&line.environment),
        escape(client_account),
        line.measure,
        objective(line)
    );
    for window in BurnWindow::iter() {
        row += &format!("<td>{}", bar(line.window(window).burn_rate));
    }
    let three_days = line.window(BurnWindow::Days3);
    row += &format!(
        "<td>{} of {}<td>{}<td>{}<td>{}<td>{}</tr>\n",
        three_days.bad, three_days.total, line.p50_ms, line.p95_ms, line.p99_ms, line.alert
    );
    row
}

/// Renders a burn rate as an SVG bar labelled with its value.
fn bar(rate: f64) -> String {
    let width = (rate / FULL_BAR_RATE).min(1.0) * FULL_BAR_PX;
    format!(
        "<svg width=\"{FULL_BAR_PX}\" height=\"16\"><rect width=\"{width:.1}\" height=\"16\" \
         fill=\"#c55\"/><text x=\"2\" y=\"12\" font-size=\"11\">{rate:.2}</text></svg>"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
