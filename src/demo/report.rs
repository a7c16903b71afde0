//! Report of a demonstration, based on the counts of clients and stand-ins.

use super::DemoOptions;
use super::faults::FaultLog;
use crate::cluster::Platform;
use crate::workload::{ActionVerdict, Latencies, Percentiles, ProgramResult, audit_actions};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Report of a demonstration.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// Seed of the programs and the faults.
    pub seed: u64,
    /// Number of programs.
    pub programs: usize,
    /// Programs in which every step was answered.
    pub finished: usize,
    /// Programs that did not finish.
    pub failed: usize,
    /// Duration of the run, in seconds.
    pub elapsed_s: f64,
    /// Non-repeatable actions that took effect.
    pub actions: usize,
    /// Non-repeatable actions that took effect more than once.
    pub actions_run_twice: usize,
    /// Actions that were reported with an unknown outcome.
    pub actions_unknown: usize,
    /// Reported outcomes that contradict the services' counts, such as "not run" for an action that
    /// ran.
    pub false_reports: usize,
    /// Turns of histories that were compared with the messages sent and received.
    pub turns_checked: u64,
    /// Turns that were lost, changed, or mixed with those of another program.
    pub history_errors: usize,
    /// Answers that belong to a different prompt, and streams with gaps.
    pub answer_errors: usize,
    /// Programs that exceeded their budget.
    pub budget_errors: usize,
    /// Cached tokens that engines still hold for ended programs.
    pub held_tokens: u64,
    /// Time from the start of a program to its last answer; finished programs only.
    pub program_latency_ms: Percentiles,
    /// Time from a call to its first token.
    pub first_token_ms: Percentiles,
    /// Prompt tokens computed again after an engine had already computed them for the program.
    pub wasted_cache_tokens: u64,
    /// Prompt tokens of all calls.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Records appended to the log.
    pub appends: u64,
    /// Mean rate of appends over the run, per second.
    pub appends_per_s: f64,
    /// Answers that were delivered before their records were committed to the log.
    pub pending_answers: u32,
    /// Reasons for which programs failed, with the number of programs.
    pub failures: BTreeMap<String, usize>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Violated guarantees.
    pub errors: Vec<String>,
    /// Whether faults were injected. Only then may programs fail.
    #[serde(skip)]
    with_faults: bool,
}

impl DemoReport {
    pub(super) fn gather(
        options: &DemoOptions,
        platform: &Platform,
        results: &[ProgramResult],
        faults: &FaultLog,
        elapsed: Duration,
        held_tokens: u64,
    ) -> Self {
        let runs = platform.action_runs();
        let false_reports = audit_actions(results, &runs);
        let ledger = platform.ledger.counts();
        let appends = platform.log.counts().appends;
        let finished = results.iter().filter(|result| result.is_finished()).count();
        let history_errors = collect_errors(results, |result| &result.history_errors);
        let answer_errors = collect_errors(results, |result| &result.answer_errors);
        let budget_errors = collect_errors(results, |result| &result.budget_errors);
        let mut report = Self {
            seed: options.seed,
            programs: options.programs,
            finished,
            failed: options.programs - finished,
            elapsed_s: elapsed.as_secs_f64(),
            actions: runs.len(),
            actions_run_twice: runs.values().filter(|count| **count > 1).count(),
            actions_unknown: count_unknown_actions(results),
            false_reports: false_reports.len(),
            turns_checked: results.iter().map(|result| result.turns_checked).sum(),
            history_errors: history_errors.len(),
            answer_errors: answer_errors.len(),
            budget_errors: budget_errors.len(),
            held_tokens,
            program_latency_ms: program_latency(results),
            first_token_ms: first_token(results),
            wasted_cache_tokens: ledger.recomputed_tokens,
            prompt_tokens: ledger.prompt_tokens,
            completion_tokens: ledger.completion_tokens,
            appends,
            appends_per_s: appends as f64 / elapsed.as_secs_f64(),
            pending_answers: results.iter().map(|result| result.pending_answers).sum(),
            failures: count_failures(results),
            faults: faults.lines(),
            errors: Vec::new(),
            with_faults: options.faults,
        };
        report.errors.extend(false_reports);
        report.errors.extend(history_errors);
        report.errors.extend(answer_errors);
        report.errors.extend(budget_errors);
        report.add_held_cache_error();
        report
    }

    fn add_held_cache_error(&mut self) {
        if self.held_tokens > 0 {
            let tokens = self.held_tokens;
            let error = format!("engines hold {tokens} tokens of programs that are over");
            self.errors.push(error);
        }
    }

    /// Returns whether all guarantees held. Without faults, every program must also have finished.
    pub fn is_sound(&self) -> bool {
        self.errors.is_empty() && (self.with_faults || self.failed == 0)
    }

    /// Serializes the report as one JSON object.
    pub fn to_json(&self) -> serde_json::Result<String> {
        serde_json::to_string(self)
    }
}

fn collect_errors<'a>(
    results: &'a [ProgramResult],
    errors: impl Fn(&'a ProgramResult) -> &'a Vec<String>,
) -> Vec<String> {
    results.iter().flat_map(errors).cloned().collect()
}

fn count_unknown_actions(results: &[ProgramResult]) -> usize {
    let actions = results.iter().flat_map(|result| &result.actions);
    actions
        .filter(|action| action.verdict == ActionVerdict::Unknown)
        .count()
}

fn program_latency(results: &[ProgramResult]) -> Percentiles {
    let mut latencies = Latencies::default();
    for result in results.iter().filter(|result| result.is_finished()) {
        latencies.add(result.latency);
    }
    latencies.percentiles()
}

fn first_token(results: &[ProgramResult]) -> Percentiles {
    let mut latencies = Latencies::default();
    for time in results.iter().flat_map(|result| &result.first_tokens) {
        latencies.add(*time);
    }
    latencies.percentiles()
}

fn count_failures(results: &[ProgramResult]) -> BTreeMap<String, usize> {
    let mut failures = BTreeMap::new();
    for failure in results.iter().filter_map(|result| result.failure.as_ref()) {
        *failures.entry(failure.clone()).or_default() += 1;
    }
    failures
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = |f: &mut fmt::Formatter<'_>, name: &str, value: String| {
            writeln!(f, "  {name:<34}{value:>24}")
        };
        writeln!(f)?;
        row(
            f,
            "programs finished",
            format!("{} of {}", self.finished, self.programs),
        )?;
        row(
            f,
            "program latency p50/p95/p99",
            format_percentiles(self.program_latency_ms),
        )?;
        row(
            f,
            "first token p50/p95/p99",
            format_percentiles(self.first_token_ms),
        )?;
        row(f, "tokens generated", self.completion_tokens.to_string())?;
        row(f, "prompt tokens", self.prompt_tokens.to_string())?;
        row(f, "wasted cache", self.wasted_cache_text())?;
        row(f, "appends a second", format!("{:.1}", self.appends_per_s))?;
        row(f, "actions run", self.actions.to_string())?;
        row(f, "actions run twice", self.actions_run_twice.to_string())?;
        row(
            f,
            "actions reported as unknown",
            self.actions_unknown.to_string(),
        )?;
        row(
            f,
            "false reports of actions",
            self.false_reports.to_string(),
        )?;
        row(f, "history turns checked", self.turns_checked.to_string())?;
        row(f, "history errors", self.history_errors.to_string())?;
        row(f, "answer errors", self.answer_errors.to_string())?;
        row(f, "budget errors", self.budget_errors.to_string())?;
        row(
            f,
            "cache held for ended programs",
            self.held_tokens.to_string(),
        )?;
        row(
            f,
            "answers pending at first",
            self.pending_answers.to_string(),
        )?;
        row(f, "faults injected", self.faults.len().to_string())?;
        for (failure, count) in &self.failures {
            writeln!(f, "  failed, {count} x {failure}")?;
        }
        for error in &self.errors {
            writeln!(f, "  BROKEN: {error}")?;
        }
        Ok(())
    }
}

impl DemoReport {
    fn wasted_cache_text(&self) -> String {
        let share = 100.0 * self.wasted_cache_tokens as f64 / self.prompt_tokens.max(1) as f64;
        format!("{} ({share:.1} %)", self.wasted_cache_tokens)
    }
}

fn format_percentiles(times: Percentiles) -> String {
    format!("{:.0}/{:.0}/{:.0} ms", times.p50, times.p95, times.p99)
}
