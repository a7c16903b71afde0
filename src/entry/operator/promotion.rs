//! What an environment has shown before it may go into production.

use crate::entry::Entry;
use crate::environment::PromotionRules;
use crate::protocol::log::Log;
use crate::protocol::operator::{ActionSummary, PartialList};
use crate::state::burn::{BurnLine, BurnReport, BurnWindow, Measure};

/// What was shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    /// What holds.
    pub(super) shown: Vec<String>,
    /// What does not hold.
    pub(super) short: Vec<String>,
}

impl Evidence {
    /// Tells whether nothing is short.
    pub(super) fn is_enough(&self) -> bool {
        self.short.is_empty()
    }

    /// Lists everything, one fact a line.
    pub(super) fn lines(&self) -> Vec<String> {
        let shown = self.shown.iter().map(|fact| format!("shown: {fact}"));
        let short = self.short.iter().map(|fact| format!("short: {fact}"));
        shown.chain(short).collect()
    }

    fn add(&mut self, holds: bool, fact: String) {
        if holds {
            self.shown.push(fact);
        } else {
            self.short.push(fact);
        }
    }
}

impl<L: Log> Entry<L> {
    /// Collects the evidence on an environment.
    pub(super) async fn evidence(&self, name: &str) -> Evidence {
        let current = self.0.operating.configurator.current();
        let Some(view) = current.environment(name) else {
            let mut evidence = Evidence::default();
            evidence.add(false, "the environment is in service".to_string());
            return evidence;
        };
        let actions = self.list_actions().await;
        let report = self.operations().report();
        weigh(name, &view.environment.promotion, &report, &actions)
    }
}

/// Weighs programs, burn and unknown actions against the environment's rules.
fn weigh(
    name: &str,
    rules: &PromotionRules,
    report: &BurnReport,
    actions: &PartialList<ActionSummary>,
) -> Evidence {
    let mut evidence = Evidence::default();
    let lines = report.lines.iter().filter(|line| line.environment == name);
    let whole: Vec<&BurnLine> = lines.filter(|line| line.client_account.is_none()).collect();
    let success = whole.iter().find(|line| line.measure == Measure::Success);
    let programs = success.map_or(0, |line| line.window(BurnWindow::Days3).total);
    let needed = rules.min_programs;
    evidence.add(
        programs >= needed,
        format!("{programs} programs of {needed}"),
    );
    for line in &whole {
        let rate = highest_rate(line);
        let fact = format!(
            "{} burns at {rate:.2} of {}",
            line.measure, rules.max_burn_rate
        );
        evidence.add(rate <= rules.max_burn_rate, fact);
    }
    let of_this = actions
        .items
        .iter()
        .filter(|action| action.environment == name);
    let unknown = of_this.filter(|action| action.state == "unknown").count();
    evidence.add(unknown == 0, format!("{unknown} unknown actions"));
    for node in &actions.silent {
        evidence.add(false, format!("actions of {node}, which does not answer"));
    }
    evidence
}

/// The higher of the burn rates over an hour, six hours and three days.
fn highest_rate(line: &BurnLine) -> f64 {
    let windows = [BurnWindow::Hour, BurnWindow::Hours6, BurnWindow::Days3];
    let rates = windows.map(|window| line.window(window).burn_rate);
    rates.into_iter().fold(0.0, f64::max)
}
