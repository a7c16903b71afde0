//! Counters and latency histograms, read as text at the readiness address.

#[cfg(test)]
mod tests;

use crate::routes::RouteKind;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Upper bounds of the histogram's buckets, in ms: from a cached read to a client's patience.
const BUCKETS_MS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000];

/// Times of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Histogram {
    /// Requests in each bucket, and in the last place those above all.
    buckets: [u64; BUCKETS_MS.len() + 1],
    sum_ms: u64,
}

impl Histogram {
    fn add(&mut self, took: Duration) {
        let ms = took.as_millis() as u64;
        let at = BUCKETS_MS.iter().position(|bound| ms <= *bound);
        self.buckets[at.unwrap_or(BUCKETS_MS.len())] += 1;
        self.sum_ms += ms;
    }
}

/// What a gateway has counted since its start.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    answers: RefCell<BTreeMap<(String, u16), u64>>,
    times: RefCell<BTreeMap<String, Histogram>>,
}

impl Counters {
    /// Counts an answer.
    pub(crate) fn answered(&self, kind: RouteKind, status: u16, took: Duration) {
        let kind = kind.to_string();
        *self
            .answers
            .borrow_mut()
            .entry((kind.clone(), status))
            .or_default() += 1;
        self.times.borrow_mut().entry(kind).or_default().add(took);
    }

    /// Writes all as text in the format of Prometheus, with gauges that the caller gives.
    pub(crate) fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        for ((kind, status), count) in self.answers.borrow().iter() {
            line(
                &mut text,
                "answers_total",
                &format!("kind=\"{kind}\",status=\"{status}\""),
                *count,
            );
        }
        for (kind, histogram) in self.times.borrow().iter() {
            let mut total = 0;
            for (at, count) in histogram.buckets.iter().enumerate() {
                total += count;
                let bound = BUCKETS_MS.get(at).map_or("+Inf".to_owned(), u64::to_string);
                let labels = format!("kind=\"{kind}\",le=\"{bound}\"");
                line(&mut text, "answer_ms_bucket", &labels, total);
            }
            let labels = format!("kind=\"{kind}\"");
            line(&mut text, "answer_ms_sum", &labels, histogram.sum_ms);
            line(&mut text, "answer_ms_count", &labels, total);
        }
        for (name, value) in gauges {
            line(&mut text, name, "", *value);
        }
        text
    }
}

fn line(text: &mut String, name: &str, labels: &str, value: u64) {
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{labels}}}")
    };
    // Writing to memory can't fail.
    let _ = writeln!(text, "galenapick_{name}{labels} {value}");
}
