//! The report of a load run.

use crate::workload::{Latencies, Percentiles, ProgramResult};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::time::Duration;

/// The result of one program.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadRow {
    /// The program's idempotency key.
    pub key: String,
    /// The kind of the program, as in [`PlanKind`](crate::PlanKind).
    pub kind: String,
    /// Arrival time, in milliseconds from the start of the load.
    pub due_ms: f64,
    /// Time from the arrival to the last answer, in milliseconds.
    pub latency_ms: f64,
    /// Whether every step was answered.
    pub finished: bool,
    /// Number of calls that were answered.
    pub answered: u32,
    /// Number of requests sent, including retries.
    pub sent: u32,
    /// Longest time to first token, in milliseconds; 0 if no answer was streamed.
    pub first_token_ms: f64,
    /// Why the program did not finish; empty if it finished.
    pub failure: String,
}

/// The report of a load run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Number of programs that were due to start.
    pub planned: usize,
    /// Time until the last program ended, in seconds.
    pub elapsed_s: f64,
    /// One row for each program, in the order in which they ended.
    pub rows: Vec<LoadRow>,
    program_latency: Latencies,
    first_token_latency: Latencies,
    failures: BTreeMap<String, u64>,
    errors: Vec<String>,
}

/// The JSON representation of the report.
#[derive(Serialize)]
struct Summary<'a> {
    programs: usize,
    finished: usize,
    failed: usize,
    elapsed_s: f64,
    program_latency_ms: Percentiles,
    program_latency_max_ms: f64,
    first_token_ms: Percentiles,
    calls_answered: u64,
    requests_sent: u64,
    failures: &'a BTreeMap<String, u64>,
    errors: &'a [String],
}

impl LoadReport {
    pub(super) fn new(planned: usize) -> Self {
        Self {
            planned,
            ..Self::default()
        }
    }

    /// Adds the result of a program that was due at offset `due` from the start.
    pub(super) fn add(&mut self, due: Duration, result: &ProgramResult) {
        if result.is_finished() {
            self.program_latency.add(result.latency);
        }
        for time in &result.first_tokens {
            self.first_token_latency.add(*time);
        }
        if let Some(failure) = &result.failure {
            *self.failures.entry(failure.clone()).or_default() += 1;
        }
        self.errors.extend(result.answer_errors.iter().cloned());
        self.errors.extend(result.history_errors.iter().cloned());
        let first_token = result.first_tokens.iter().max().copied();
        self.rows.push(LoadRow {
            key: result.key.clone(),
            kind: result.kind.to_string(),
            due_ms: as_ms(due),
            latency_ms: as_ms(result.latency),
            finished: result.is_finished(),
            answered: result.calls_answered,
            sent: result.requests_sent,
            first_token_ms: as_ms(first_token.unwrap_or_default()),
            failure: result.failure.clone().unwrap_or_default(),
        });
    }

    /// Returns the number of programs that finished.
    pub fn finished(&self) -> usize {
        self.rows.iter().filter(|row| row.finished).count()
    }

    /// Returns the latency percentiles of the programs that finished, in milliseconds.
    pub fn program_latency(&self) -> Percentiles {
        self.program_latency.percentiles()
    }

    /// Returns whether no check of an answer, stream or history failed.
    pub fn is_sound(&self) -> bool {
        self.errors.is_empty()
    }

    /// Writes the report as one JSON object.
    pub fn write_json(&self, mut out: impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut out, &self.summary())?;
        out.write_all(b"\n")
    }

    /// Writes the rows as CSV, with a header line.
    pub fn write_csv(&self, mut out: impl Write) -> io::Result<()> {
        writeln!(
            out,
            "key,kind,due_ms,latency_ms,finished,answered,sent,first_token_ms,failure"
        )?;
        for row in &self.rows {
            let failure = row.failure.replace('"', "\"\"");
            writeln!(
                out,
                "{},{},{:.3},{:.3},{},{},{},{:.3},\"{failure}\"",
                row.key,
                row.kind,
                row.due_ms,
                row.latency_ms,
                row.finished,
                row.answered,
                row.sent,
                row.first_token_ms
            )?;
        }
        Ok(())
    }

    fn summary(&self) -> Summary<'_> {
        let finished = self.finished();
        Summary {
            programs: self.planned,
            finished,
            failed: self.planned - finished,
            elapsed_s: self.elapsed_s,
            program_latency_ms: self.program_latency.percentiles(),
            program_latency_max_ms: self.program_latency.max_ms(),
            first_token_ms: self.first_token_latency.percentiles(),
            calls_answered: self.rows.iter().map(|row| u64::from(row.answered)).sum(),
            requests_sent: self.rows.iter().map(|row| u64::from(row.sent)).sum(),
            failures: &self.failures,
            errors: &self.errors,
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = self.summary();
        let latency = summary.program_latency_ms;
        let first = summary.first_token_ms;
        writeln!(f, "programs          {}", summary.programs)?;
        writeln!(f, "finished          {}", summary.finished)?;
        writeln!(f, "failed            {}", summary.failed)?;
        writeln!(f, "elapsed           {:.1} s", summary.elapsed_s)?;
        writeln!(
            f,
            "program latency   p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
            latency.p50, latency.p95, latency.p99, summary.program_latency_max_ms
        )?;
        writeln!(
            f,
            "first token       p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms",
            first.p50, first.p95, first.p99
        )?;
        writeln!(f, "calls answered    {}", summary.calls_answered)?;
        writeln!(f, "requests sent     {}", summary.requests_sent)?;
        for (failure, count) in summary.failures {
            writeln!(f, "  {count} x {failure}")?;
        }
        for error in summary.errors {
            writeln!(f, "  wrong: {error}")?;
        }
        Ok(())
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
