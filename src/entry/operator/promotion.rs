//! Evidence that an environment must meet before promotion to production.

use crate::entry::Entry;
use crate::environment::PromotionRules;
use crate::protocol::log::Log;
use crate::protocol::operator::{ActionSummary, PartialList};
use crate::state::burn::{BurnLine, BurnReport, BurnWindow, Measure};

/// Results of checking an environment against its promotion rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    /// Conditions that are met.
    pub(super) met: Vec<String>,
    /// Conditions that are not met.
    pub(super) unmet: Vec<String>,
}

impl Evidence {
    /// Returns whether all conditions are met.
    pub(super) fn is_sufficient(&self) -> bool {
        self.unmet.is_empty()
    }

    /// Returns one line for each condition, the met ones first.
    pub(super) fn lines(&self) -> Vec<String> {
        let met = self.met.iter().map(|fact| format!("shown: {fact}"));
        let unmet = self.unmet.iter().map(|fact| format!("short: {fact}"));
        met.chain(unmet).collect()
    }

    fn add(&mut self, holds: bool, fact: String) {
        if holds {
            self.met.push(fact);
        } else {
            self.unmet.push(fact);
        }
    }
}

impl<L: Log> Entry<L> {
    /// Collects the evidence for an environment. An unknown one has one unmet condition.
    pub(super) async fn evidence(&self, name: &str) -> Evidence {
        let current = self.0.operator_services.configurator.current();
        let Some(view) = current.environment(name) else {
            let mut evidence = Evidence::default();
            evidence.add(false, "the environment is in service".to_string());
            return evidence;
        };
        let actions = self.list_actions().await;
        let report = self.operations().report();
        evaluate(name, &view.environment.promotion, &report, &actions)
    }
}

/// Checks program count, burn rates and unknown actions against the promotion rules.
///
/// An entry that does not answer counts as an unmet condition, because its actions are not known.
fn evaluate(
    name: &str,
    rules: &PromotionRules,
    report: &BurnReport,
    actions: &PartialList<ActionSummary>,
) -> Evidence {
    let mut evidence = Evidence::default();
    let lines = report.lines.iter().filter(|line| line.environment == name);
    let totals: Vec<&BurnLine> = lines.filter(|line| line.client_account.is_none()).collect();
    let success = totals.iter().find(|line| line.measure == Measure::Success);
    let programs = success.map_or(0, |line| line.window(BurnWindow::Days3).total);
    let needed = rules.min_programs;
    evidence.add(
        programs >= needed,
        format!("{programs} programs of {needed}"),
    );
    for line in &totals {
        let rate = highest_burn_rate(line);
        let fact = format!(
            "{} burns at {rate:.2} of {}",
            line.measure, rules.max_burn_rate
        );
        evidence.add(rate <= rules.max_burn_rate, fact);
    }
    let in_environment = actions
        .items
        .iter()
        .filter(|action| action.environment == name);
    let unknown = in_environment
        .filter(|action| action.state == "unknown")
        .count();
    evidence.add(unknown == 0, format!("{unknown} unknown actions"));
    for node in &actions.silent {
        evidence.add(false, format!("actions of {node}, which does not answer"));
    }
    evidence
}

/// Returns the highest of the burn rates over one hour, six hours and three days.
fn highest_burn_rate(line: &BurnLine) -> f64 {
    let windows = [BurnWindow::Hour, BurnWindow::Hours6, BurnWindow::Days3];
    let rates = windows.map(|window| line.window(window).burn_rate);
    rates.into_iter().fold(0.0, f64::max)
}
