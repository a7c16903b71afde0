//! Text tables and CSV of the policy experiment.

use super::policy::Policy;
use super::runs::CaseResult;
use super::stats::Stats;
use std::fmt::Write as _;
use std::io::{self, Write};

/// Column with one measure of a run.
struct Column {
    title: &'static str,
    /// Number of decimal places.
    digits: usize,
    value: fn(&Stats) -> f64,
}

/// Measures of a run, in the order of the columns.
const COLUMNS: [Column; 13] = [
    column("p50_s", 1, |s| quantile_s(s, 0.5)),
    column("p95_s", 1, |s| quantile_s(s, 0.95)),
    column("p99_s", 1, |s| quantile_s(s, 0.99)),
    column("met_%", 1, |s| s.met_share() * 100.0),
    column("worst_member_%", 1, |s| {
        s.worst_client_account_share() * 100.0
    }),
    column("first_token_p95_ms", 0, |s| {
        s.first_token_ms.value_at_quantile(0.95) as f64
    }),
    column("gap_p95_ms", 1, |s| {
        s.gap_us.value_at_quantile(0.95) as f64 / 1e3
    }),
    column("recomputed_%", 2, |s| {
        percent(s.recomputed_tokens, s.prompt_tokens)
    }),
    column("recomputed_ktok", 0, |s| s.recomputed_tokens as f64 / 1e3),
    column("unused_Mtok_s", 1, |s| s.unused_token_s / 1e6),
    column("refused", 0, |s| s.refused as f64),
    column("sent/calls", 3, |s| s.sent as f64 / s.calls.max(1) as f64),
    column("programs", 0, |s| s.latency_ms.len() as f64),
];

const fn column(title: &'static str, digits: usize, value: fn(&Stats) -> f64) -> Column {
    Column {
        title,
        digits,
        value,
    }
}

/// Writes the table of a case: means over the seeds, followed by ratios to the baseline policies.
pub(crate) fn write_table(out: &mut impl Write, case: &CaseResult) -> io::Result<()> {
    writeln!(
        out,
        "\n{}, {} % of capacity ({:.2} programs/s), fault: {}",
        case.deployment, case.load_percent, case.rate_per_s, case.fault
    )?;
    write!(out, "{:<24}", "policy")?;
    for column in &COLUMNS {
        write!(out, " {:>width$}", column.title, width = width(column))?;
    }
    writeln!(out)?;
    for (policy, runs) in &case.policies {
        write!(out, "{:<24}", policy.name())?;
        for column in &COLUMNS {
            let mean = mean(runs.iter().map(column.value));
            let (width, digits) = (width(column), column.digits);
            write!(out, " {mean:>width$.digits$}")?;
        }
        writeln!(out)?;
    }
    write_ratios(out, case)
}

/// Formats all runs as comma-separated values with a header.
pub(crate) fn csv(cases: &[CaseResult]) -> String {
    let mut text = String::from("deployment,load_percent,fault,policy,seed");
    for column in &COLUMNS {
        let _ = write!(text, ",{}", column.title);
    }
    text.push('\n');
    for case in cases {
        for (policy, runs) in &case.policies {
            for (index, stats) in runs.iter().enumerate() {
                let (name, seed) = (policy.name(), index + 1);
                let _ = write!(text, "{},{},", case.deployment, case.load_percent);
                let _ = write!(text, "{},{name},{seed}", case.fault);
                for column in &COLUMNS {
                    let _ = write!(text, ",{:.*}", column.digits, (column.value)(stats));
                }
                text.push('\n');
            }
        }
    }
    text
}

/// Returns the 95th percentile of the program latency of a run, in seconds.
pub(crate) fn p95_s(stats: &Stats) -> f64 {
    quantile_s(stats, 0.95)
}

/// Returns the mean of the values, or 0 if there are none.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), v| (sum + v, count + 1));
    sum / f64::from(count.max(1))
}

/// Writes the ratios of galenapick's latency and wasted cache to those of the baseline policies.
fn write_ratios(out: &mut impl Write, case: &CaseResult) -> io::Result<()> {
    let find = |searched: Policy| {
        let found = case.policies.iter().find(|(policy, _)| *policy == searched);
        found.map(|(_, runs)| runs.as_slice())
    };
    let Some(galenapick) = find(Policy::Galenapick) else {
        return Ok(());
    };
    let baselines = [
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::PrefixSticky,
    ];
    for baseline in baselines {
        let Some(runs) = find(baseline) else { continue };
        let latency = format_ratios(galenapick, runs, p95_s);
        let recomputed = format_ratios(galenapick, runs, |s| s.recomputed_tokens as f64);
        let unused = format_ratios(galenapick, runs, |s| s.unused_token_s);
        writeln!(
            out,
            "  galenapick / {:<18} p95 {latency}  recomputed {recomputed}  unused {unused}",
            baseline.name()
        )?;
    }
    Ok(())
}

/// Formats the mean, minimum and maximum of the ratios between runs with the same seed.
fn format_ratios(
    galenapick_runs: &[Stats],
    baseline_runs: &[Stats],
    value: impl Fn(&Stats) -> f64,
) -> String {
    let ratio = |(a, b): (&Stats, &Stats)| value(a) / value(b).max(f64::MIN_POSITIVE);
    let ratios: Vec<f64> = galenapick_runs
        .iter()
        .zip(baseline_runs)
        .map(ratio)
        .collect();
    let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let greatest = ratios.iter().copied().fold(0.0, f64::max);
    let mean = mean(ratios.iter().copied());
    format!("{mean:.2} ({least:.2} to {greatest:.2})")
}

fn quantile_s(stats: &Stats, quantile: f64) -> f64 {
    stats.latency_ms.value_at_quantile(quantile) as f64 / 1e3
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

fn width(column: &Column) -> usize {
    column.title.len().max(6)
}
