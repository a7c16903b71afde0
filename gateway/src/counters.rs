//! Counters and latency histograms, served as text at the readiness address.

mod accounts;
#[cfg(test)]
mod tests;

use crate::routes::RouteKind;
use crate::serve::forward::Survival;
use accounts::AccountCounters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Upper bounds of the histogram buckets in ms, from a cached read to a typical client timeout.
const BUCKETS_MS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/// Latency histogram of one kind of route.
#[derive(Clone, Copy, Debug, Default)]
struct Histogram {
    /// Number of requests in each bucket; the last element counts those above all bounds.
    buckets: [u64; BUCKETS_MS.len() + 1],
    sum_ms: u64,
}

impl Histogram {
    fn add(&mut self, duration: Duration) {
        let ms = duration.as_millis() as u64;
        let bucket = BUCKETS_MS.iter().position(|bound| ms <= *bound);
        self.buckets[bucket.unwrap_or(BUCKETS_MS.len())] += 1;
        self.sum_ms += ms;
    }
}

/// Outcome of a call to the store that was made for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RelayOutcome {
    /// The store executed the call.
    Answered,
    /// The store refused the call.
    Refused,
    /// The store did not answer in time, or its connection broke.
    Unanswered,
}

/// Counts since the gateway's start.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    answers: RefCell<BTreeMap<(String, u16), u64>>,
    times: RefCell<BTreeMap<String, Histogram>>,
    endpoints_leaving: Cell<u64>,
    quarantine_refusals: Cell<u64>,
    crashes_withdrawn: Cell<u64>,
    /// Checks whether an endpoint still runs, by outcome.
    survival_checks: RefCell<BTreeMap<Survival, u64>>,
    endpoints_failing: Cell<u64>,
    failures_retried: Cell<u64>,
    /// Requests for permits, by outcome.
    permits: RefCell<BTreeMap<String, u64>>,
    /// Calls to the store that were made for peers, by outcome.
    relayed_calls: RefCell<BTreeMap<RelayOutcome, u64>>,
    pub(crate) accounts: RefCell<AccountCounters>,
}

impl Counters {
    /// Counts an answer and its duration.
    pub(crate) fn record_answer(&self, kind: RouteKind, status: u16, duration: Duration) {
        let kind = kind.to_string();
        *self
            .answers
            .borrow_mut()
            .entry((kind.clone(), status))
            .or_default() += 1;
        self.times
            .borrow_mut()
            .entry(kind)
            .or_default()
            .add(duration);
    }

    /// Counts an endpoint that stated that it is leaving.
    pub(crate) fn record_leaving_endpoint(&self) {
        self.endpoints_leaving.set(self.endpoints_leaving.get() + 1);
    }

    /// Counts an endpoint that began to get calls only as trials.
    pub(crate) fn record_failing_endpoint(&self) {
        self.endpoints_failing.set(self.endpoints_failing.get() + 1);
    }

    /// Counts a failure of a failing endpoint after which the request was sent elsewhere.
    pub(crate) fn record_retried_failure(&self) {
        self.failures_retried.set(self.failures_retried.get() + 1);
    }

    /// Counts a check whether an endpoint still runs.
    pub(crate) fn record_survival(&self, survival: Survival) {
        let mut checks = self.survival_checks.borrow_mut();
        *checks.entry(survival).or_default() += 1;
    }

    /// Counts a request that was refused, or not sent again, because it is quarantined.
    pub(crate) fn record_quarantine_refusal(&self) {
        self.quarantine_refusals
            .set(self.quarantine_refusals.get() + 1);
    }

    /// Counts a crash that is no longer blamed on a request.
    pub(crate) fn record_withdrawn_crash(&self) {
        self.crashes_withdrawn.set(self.crashes_withdrawn.get() + 1);
    }

    /// Counts a request for a permit to send to an endpoint with a limit.
    pub(crate) fn record_permit(&self, outcome: String) {
        *self.permits.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// Counts a call to the store that was made for a peer.
    pub(crate) fn record_relayed_call(&self, outcome: RelayOutcome) {
        *self.relayed_calls.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// Renders all counters and the given gauges in the Prometheus text format.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        for ((kind, status), count) in self.answers.borrow().iter() {
            write_metric(
                &mut text,
                "answers_total",
                &format!("kind=\"{kind}\",status=\"{status}\""),
                *count,
            );
        }
        for (kind, histogram) in self.times.borrow().iter() {
            let mut total = 0;
            for (bucket, count) in histogram.buckets.iter().enumerate() {
                total += count;
                let bound = BUCKETS_MS
                    .get(bucket)
                    .map_or("+Inf".to_owned(), u64::to_string);
                let labels = format!("kind=\"{kind}\",le=\"{bound}\"");
                write_metric(&mut text, "answer_ms_bucket", &labels, total);
            }
            let labels = format!("kind=\"{kind}\"");
            write_metric(&mut text, "answer_ms_sum", &labels, histogram.sum_ms);
            write_metric(&mut text, "answer_ms_count", &labels, total);
        }
        let endpoints_leaving = self.endpoints_leaving.get();
        write_metric(&mut text, "endpoints_leaving_total", "", endpoints_leaving);
        let quarantine_refusals = self.quarantine_refusals.get();
        write_metric(
            &mut text,
            "quarantine_refusals_total",
            "",
            quarantine_refusals,
        );
        let crashes_withdrawn = self.crashes_withdrawn.get();
        write_metric(&mut text, "crashes_withdrawn_total", "", crashes_withdrawn);
        for (survival, count) in self.survival_checks.borrow().iter() {
            let labels = format!("survival=\"{survival}\"");
            write_metric(&mut text, "endpoint_checks_total", &labels, *count);
        }
        self.accounts.borrow().render(&mut text);
        let endpoints_failing = self.endpoints_failing.get();
        write_metric(&mut text, "endpoints_failing_total", "", endpoints_failing);
        let failures_retried = self.failures_retried.get();
        write_metric(&mut text, "failures_retried_total", "", failures_retried);
        for (outcome, count) in self.permits.borrow().iter() {
            let labels = format!("outcome=\"{outcome}\"");
            write_metric(&mut text, "permits_total", &labels, *count);
        }
        for (outcome, count) in self.relayed_calls.borrow().iter() {
            let labels = format!("outcome=\"{outcome}\"");
            write_metric(&mut text, "relayed_calls_total", &labels, *count);
        }
        for (name, value) in gauges {
            write_metric(&mut text, name, "", *value);
        }
        text
    }
}

pub(crate) fn write_metric(text: &mut String, name: &str, labels: &str, value: u64) {
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{labels}}}")
    };
    // Writing to a string cannot fail.
    let _ = writeln!(text, "galenapick_{name}{labels} {value}");
}
