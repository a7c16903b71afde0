//! The report of error-budget burn.

use super::rates::{Alert, BurnWindow, Measure, alert_for, burn_rate};
use super::table::BurnTable;
use crate::environment::Objectives;
use crate::ids::{ClientAccountId, EnvironmentId};
use crate::protocol::operations::{Cell, OperationEvent};
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

/// Latency quantiles in the report.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Burn of all environments, and operational events.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time of the report, in Unix milliseconds.
    pub at_ms: u64,
    /// One line per environment, client account and measure.
    pub lines: Vec<BurnLine>,
    /// Operational events, oldest first.
    pub events: Vec<OperationEvent>,
}

/// Burn of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// The environment.
    pub environment: EnvironmentId,
    /// The client account; `None` for all client accounts together.
    #[serde(rename = "member")]
    pub client_account: Option<ClientAccountId>,
    /// The measure of the objective.
    pub measure: Measure,
    /// Maximum duration of a good event, in milliseconds; `None` for success.
    pub objective_ms: Option<u64>,
    /// Required share of good events.
    pub objective_share: f64,
    /// Counts and rates by window.
    pub windows: Vec<WindowCount>,
    /// Median over three days, in milliseconds; 0 for success.
    pub p50_ms: u64,
    /// 95th percentile over three days, in milliseconds; 0 for success.
    pub p95_ms: u64,
    /// 99th percentile over three days, in milliseconds; 0 for success.
    pub p99_ms: u64,
    /// Alert level.
    pub alert: Alert,
}

impl BurnLine {
    /// Returns the counts of a window; zeros if the line does not have it.
    pub fn window(&self, window: BurnWindow) -> WindowCount {
        let found = self.windows.iter().find(|count| count.window == window);
        found.copied().unwrap_or(WindowCount {
            window,
            total: 0,
            bad: 0,
            burn_rate: 0.0,
        })
    }
}

/// Counts and burn rate of a window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowCount {
    /// The window.
    pub window: BurnWindow,
    /// Number of events.
    pub total: u64,
    /// Number of events that missed the objective.
    pub bad: u64,
    /// Ratio of the error rate to the error rate that the objective allows.
    pub burn_rate: f64,
}

/// Reports on one environment: first all client accounts together, then each one.
pub(crate) fn report_environment(
    table: &BurnTable,
    now_ms: u64,
    environment: &str,
    objectives: &Objectives,
) -> Vec<BurnLine> {
    let all = table.client_accounts().into_iter();
    let client_accounts = all.filter(|(name, _)| name == environment);
    let scopes: Vec<Option<ClientAccountId>> = std::iter::once(None)
        .chain(client_accounts.map(|(_, client_account)| Some(client_account)))
        .collect();
    let mut lines = Vec::new();
    for client_account in scopes {
        let cells: Vec<_> = BurnWindow::iter()
            .map(|window| {
                (
                    window,
                    table.sum(now_ms, window, environment, client_account.as_deref()),
                )
            })
            .collect();
        for measure in Measure::iter() {
            lines.push(report_line(
                environment,
                client_account.as_ref(),
                measure,
                objectives,
                &cells,
            ));
        }
    }
    lines
}

fn report_line(
    environment: &str,
    client_account: Option<&ClientAccountId>,
    measure: Measure,
    objectives: &Objectives,
    cells: &[(BurnWindow, Cell)],
) -> BurnLine {
    let (objective_ms, share) = objective(measure, objectives);
    let counts = cells
        .iter()
        .map(|(window, cell)| window_count(*window, cell, measure, share));
    let windows: Vec<WindowCount> = counts.collect();
    let rate = |window| {
        let found = windows.iter().find(|count| count.window == window);
        found.map_or(0.0, |count| count.burn_rate)
    };
    let longest_window = cells.last().map(|(_, cell)| cell);
    let [p50_ms, p95_ms, p99_ms] = longest_window.map_or([0; 3], |cell| quantiles(cell, measure));
    BurnLine {
        environment: environment.to_string(),
        client_account: client_account.cloned(),
        measure,
        objective_ms,
        objective_share: share,
        alert: alert_for(rate),
        windows,
        p50_ms,
        p95_ms,
        p99_ms,
    }
}

fn objective(measure: Measure, objectives: &Objectives) -> (Option<u64>, f64) {
    match measure {
        Measure::ProgramLatency => (
            Some(objectives.program_latency_ms),
            objectives.program_latency_share,
        ),
        Measure::FirstToken => (
            Some(objectives.first_token_ms),
            objectives.first_token_share,
        ),
        Measure::Success => (None, objectives.success_share),
    }
}

fn window_count(window: BurnWindow, cell: &Cell, measure: Measure, share: f64) -> WindowCount {
    let (bad, total) = match measure {
        Measure::ProgramLatency => (cell.late, cell.programs - cell.failed),
        Measure::FirstToken => (cell.late_first_tokens, cell.first_tokens),
        Measure::Success => (cell.failed, cell.programs),
    };
    WindowCount {
        window,
        total,
        bad,
        burn_rate: burn_rate(bad, total, share),
    }
}

fn quantiles(cell: &Cell, measure: Measure) -> [u64; 3] {
    match measure {
        Measure::ProgramLatency => cell.program_latency.quantiles(QUANTILES),
        Measure::FirstToken => cell.first_token.quantiles(QUANTILES),
        Measure::Success => [0; 3],
    }
}
