//! What the load has seen.

use crate::workload::{Latencies, Percentiles, ProgramResult};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::time::Duration;

/// One program.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadRow {
    /// Its key.
    pub key: String,
    /// Its kind.
    pub kind: String,
    /// When it was due, in milliseconds from the start.
    pub due_ms: f64,
    /// From when it was due to its last answer, in milliseconds.
    pub latency_ms: f64,
    /// Whether every step was answered.
    pub finished: bool,
    /// Calls answered.
    pub answered: u32,
    /// Requests sent.
    pub sent: u32,
    /// Longest time to a first token, in milliseconds.
    pub first_token_ms: f64,
    /// Why it did not finish; empty if it did.
    pub failure: String,
}

/// What the load has seen.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Programs that were due.
    pub planned: usize,
    /// Time until the last program was over, in seconds.
    pub elapsed_s: f64,
    /// One row for each program, in the order of their ends.
    pub rows: Vec<LoadRow>,
    program: Latencies,
    first_token: Latencies,
    failures: BTreeMap<String, u64>,
    errors: Vec<String>,
}

/// The report as JSON.
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

    /// Adds a program that was due at this time from the start.
    pub(super) fn add(&mut self, due: Duration, result: &ProgramResult) {
        if result.is_finished() {
            self.program.add(result.latency);
        }
        for time in &result.first_tokens {
            self.first_token.add(*time);
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
            due_ms: millis(due),
            latency_ms: millis(result.latency),
            finished: result.is_finished(),
            answered: result.calls_answered,
            sent: result.requests_sent,
            first_token_ms: millis(first_token.unwrap_or_default()),
            failure: result.failure.clone().unwrap_or_default(),
        });
    }

    /// Programs of which every step was answered.
    pub fn finished(&self) -> usize {
        self.rows.iter().filter(|row| row.finished).count()
    }

    /// Percentiles of the latency of programs that finished.
    pub fn program_latency(&self) -> Percentiles {
        self.program.percentiles()
    }

    /// Whether no answer, stream or history was wrong.
    pub fn is_sound(&self) -> bool {
        self.errors.is_empty()
    }

    /// Writes the report as one JSON object.
    pub fn write_json(&self, mut out: impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut out, &self.summary())?;
        out.write_all(b"\n")
    }

    /// Writes a line for each program.
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
            program_latency_ms: self.program.percentiles(),
            program_latency_max_ms: self.program.max_ms(),
            first_token_ms: self.first_token.percentiles(),
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

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
