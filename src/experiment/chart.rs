//! SVG charts of the policy experiment: p95 program latency over load.

use super::report::{mean, p95_s};
use super::runs::CaseResult;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Width of a chart, in pixels.
const WIDTH: f64 = 640.0;

/// Height of a chart, in pixels.
const HEIGHT: f64 = 400.0;

/// Margin for labels around the plot, in pixels.
const MARGIN: f64 = 60.0;

/// Width of the legend with the policy names, in pixels.
const LEGEND_WIDTH: f64 = 190.0;

/// Colours of the lines, used in turn.
const COLOURS: [&str; 6] = [
    "#d62728", "#ff7f0e", "#9467bd", "#1f77b4", "#2ca02c", "#8c564b",
];

/// Name of a line, and its points as load in percent and latency in seconds.
type Line = (String, Vec<(f64, f64)>);

/// Draws a chart for each pair of deployment and fault. Returns names and SVG documents.
pub(crate) fn charts(cases: &[CaseResult]) -> Vec<(String, String)> {
    let mut groups: BTreeMap<String, Vec<&CaseResult>> = BTreeMap::new();
    for case in cases {
        let name = format!("{}-{}", case.deployment, case.fault);
        groups.entry(name).or_default().push(case);
    }
    let draw = |(name, cases): (String, Vec<&CaseResult>)| {
        let svg = chart(&name, &lines(&cases));
        (name, svg)
    };
    groups.into_iter().map(draw).collect()
}

fn lines(cases: &[&CaseResult]) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for case in cases {
        for (policy, runs) in &case.policies {
            let name = policy.name();
            let point = (f64::from(case.load_percent), mean(runs.iter().map(p95_s)));
            match lines.iter_mut().find(|(other, _)| *other == name) {
                Some((_, points)) => points.push(point),
                None => lines.push((name, vec![point])),
            }
        }
    }
    lines
}

fn chart(title: &str, lines: &[Line]) -> String {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let max_load = points().map(|p| p.0).fold(1.0, f64::max);
    let max_latency_s = points().map(|p| p.1).fold(1.0, f64::max);
    let x = |load: f64| MARGIN + load / max_load * (WIDTH - MARGIN - LEGEND_WIDTH);
    let y = |s: f64| HEIGHT - MARGIN - s / max_latency_s * (HEIGHT - 2.0 * MARGIN);
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>"
    );
    label(
        &mut svg,
        MARGIN,
        24.0,
        &format!("{title}: p95 program latency, s"),
    );
    label(&mut svg, MARGIN, HEIGHT - 14.0, "load, % of capacity");
    for tick in 0..=4 {
        let s = max_latency_s * f64::from(tick) / 4.0;
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" x2=\"{:.1}\" y1=\"{1:.1}\" y2=\"{1:.1}\" stroke=\"#ddd\"/>",
            WIDTH - LEGEND_WIDTH,
            y(s)
        );
        label(&mut svg, 8.0, y(s) + 4.0, &format!("{s:.1}"));
    }
    for (load, _) in lines.first().map_or(&[][..], |(_, points)| points) {
        label(
            &mut svg,
            x(*load) - 8.0,
            HEIGHT - MARGIN + 18.0,
            &format!("{load:.0}"),
        );
    }
    for (index, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let path: Vec<String> = points
            .iter()
            .map(|(load, s)| format!("{:.1},{:.1}", x(*load), y(*s)))
            .collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>",
            path.join(" ")
        );
        let row = MARGIN + 20.0 * index as f64;
        let _ = writeln!(
            svg,
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"12\" height=\"3\" fill=\"{colour}\"/>",
            WIDTH - LEGEND_WIDTH + 16.0,
            row - 5.0
        );
        label(&mut svg, WIDTH - LEGEND_WIDTH + 34.0, row, name);
    }
    svg.push_str("</svg>\n");
    svg
}

fn label(svg: &mut String, x: f64, y: f64, text: &str) {
    let _ = writeln!(svg, "<text x=\"{x:.1}\" y=\"{y:.1}\">{text}</text>");
}
