//! Judges endpoints that answer calls with failures of their own, by what all gateways saw.
//!
//! A failure of an endpoint's own is an answer, so that neither a timeout nor a broken connection
//! shows it, and it often comes faster than a success. An endpoint is failing if its share of failures
//! exceeds that of the better half of its service for certain. It then gets single calls as trials,
//! and calls as before after consecutive successes of the trials of all gateways.

mod recent;
#[cfg(test)]
mod tests;
mod trials;

use galenapick::crashes::Lifetime;
use recent::Recent;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use trials::Trials;

/// Minimum number of recent failures of a failing endpoint. Fewer may be calls that fail everywhere.
const MIN_FAILURES: f64 = 2.5;

/// Minimum share of failures of a failing endpoint. Callers notice less only by chance.
const MIN_SHARE: f64 = 0.15;

/// Factor by which the share of failures must exceed that of the better half of the service.
const EXCESS: f64 = 1.5;

/// Difference by which it must exceed that share besides, which is small where most calls fail.
const MARGIN: f64 = 0.1;

/// Greatest chance that one judgement of a service takes any endpoint out that fails as many calls as
/// the others do. A service is judged some ten times a second by each gateway.
const MAX_FALSE_VERDICTS: f64 = 1e-5;

/// Greatest chance that one judgement takes any such endpoint for an exception when it learns how many
/// calls the others fail.
const MAX_FALSE_DOUBTS: f64 = 0.01;

/// Number of times that the endpoints are told from the exceptions, from the better half on.
const OTHERS_ROUNDS: usize = 4;

/// Number of answers without a failure assumed of each endpoint in its expected share of failures, so
/// that one failure alone costs an endpoint part of its calls and not all.
const PRIOR_ANSWERS: f64 = 5.0;

/// Expected share of failures below which an endpoint gets calls as others do. It is reached two
/// half-lives after a single failure, so that an endpoint that is avoided is tried again.
const NEGLIGIBLE_SHARE: f64 = 0.05;

/// Number of recent failures below which an endpoint is no longer suspected.
const FORGET_BELOW: f64 = 0.1;

/// Age at which the report of a peer expires; by then several are missing.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Maximum number of endpoints in a report.
pub(crate) const MAX_REPORTED: usize = 64;

/// What one gateway tells others about an endpoint. All counts are totals, so that a report may be
/// lost, late or repeated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndpointReport {
    /// The endpoint's incarnation.
    #[serde(rename = "e")]
    pub(crate) lifetime: Lifetime,
    /// Weight of the recent answers to the reporting gateway.
    #[serde(rename = "a")]
    pub(crate) answers: f32,
    /// Those of `answers` that were failures.
    #[serde(rename = "f")]
    pub(crate) failures: f32,
    /// Trials of the reporting gateway that succeeded.
    #[serde(rename = "s")]
    pub(crate) succeeded_trials: u32,
    /// Trials of the reporting gateway that failed.
    #[serde(rename = "t")]
    pub(crate) failed_trials: u32,
    /// Number of times that the reporting gateway ended the trials as passed.
    #[serde(rename = "p", default)]
    pub(crate) passed: u32,
}

/// Last report of a peer.
#[derive(Debug)]
struct PeerReport {
    number: u64,
    received_at: Instant,
    reports: HashMap<Lifetime, EndpointReport>,
}

/// What is known of one incarnation of an endpoint.
#[derive(Debug)]
struct Entry {
    /// Answers to this gateway.
    own: Recent,
    /// Answers to peers, as they last reported them.
    peers: Recent,
    /// Answers before the end of the last period of trials, which no longer count.
    settled: Recent,
    trials: Trials,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            own: Recent::new(now),
            peers: Recent::new(now),
            settled: Recent::new(now),
            trials: Trials::default(),
        }
    }

    /// Returns whether peers are told of the endpoint.
    fn is_suspect(&self, now: Instant) -> bool {
        self.trials.is_failing()
            || self.trials.has_just_ended(now, REPORT_TTL)
            || self.total(now).failures > FORGET_BELOW
    }

    /// Returns the recent answers to all gateways.
    fn total(&self, now: Instant) -> Recent {
        let mut total = Recent::new(now);
        total.add(&self.own, 1.0);
        total.add(&self.peers, 1.0);
        total.add(&self.settled, -1.0);
        total
    }
}

/// Change of the judgement of an endpoint, with the figures that led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Verdict {
    pub(crate) lifetime: Lifetime,
    pub(crate) is_failing: bool,
    /// Recent answers to all gateways.
    pub(crate) answers: f64,
    /// Those of `answers` that were failures.
    pub(crate) failures: f64,
    /// Share of failures of the better half of the service.
    pub(crate) service_share: f64,
    /// Share of failures of the endpoints that differ from each other by chance only.
    pub(crate) others_share: f64,
    /// Negative logarithm of the chance of as many failures at that share.
    pub(crate) evidence: f64,
    /// Consecutive successes of trials.
    pub(crate) succeeded_trials: u32,
    /// Time for which the endpoint was failing; zero if it was not.
    pub(crate) failing_for: Duration,
}

/// Judgement of all endpoints.
#[derive(Debug, Default)]
pub(crate) struct Failing {
    entries: HashMap<Lifetime, Entry>,
    peers: HashMap<u64, PeerReport>,
    /// Whether any endpoint has failed calls recently or is failing.
    has_suspects: bool,
}

impl Failing {
    /// Returns whether any endpoint has failed calls recently, or is on trial.
    pub(crate) fn has_suspects(&self) -> bool {
        self.has_suspects
    }

    /// Returns whether an endpoint gets calls only as trials.
    pub(crate) fn is_failing(&self, lifetime: Lifetime) -> bool {
        let entry = self.entries.get(&lifetime);
        entry.is_some_and(|entry| entry.trials.is_failing())
    }

    /// Returns the number of endpoints that get calls only as trials.
    pub(crate) fn failing_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.trials.is_failing()).count()
    }

    /// Returns whether a call may be sent to a failing endpoint as a trial.
    pub(crate) fn is_trial_due(&self, now: Instant, lifetime: Lifetime) -> bool {
        let entry = self.entries.get(&lifetime);
        entry.is_some_and(|entry| entry.trials.is_due(now))
    }

    /// Returns the share of the calls of an endpoint that are expected to fail; 0 if few are.
    pub(crate) fn expected_share(&self, now: Instant, lifetime: Lifetime) -> f64 {
        self.entries.get(&lifetime).map_or(0.0, |entry| {
            let total = entry.total(now);
            let share = total.failures / (total.answers + PRIOR_ANSWERS);
            if share < NEGLIGIBLE_SHARE { 0.0 } else { share }
        })
    }

    /// Records that a call was sent to an endpoint; to a failing one it is a trial.
    pub(crate) fn begin(&mut self, lifetime: Lifetime) {
        if !self.has_suspects {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&lifetime) {
            entry.trials.begin();
        }
    }

    /// Records the answer of an endpoint to this gateway, or the end of a call without one.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        lifetime: Lifetime,
        has_failed: Option<bool>,
        gateways: usize,
        random: f64,
    ) {
        let entry = self
            .entries
            .entry(lifetime)
            .or_insert_with(|| Entry::new(now));
        let Some(has_failed) = has_failed else {
            entry.trials.cancel();
            return;
        };
        let answer = Recent {
            answers: 1.0,
            failures: f64::from(u8::from(has_failed)),
            at: now,
        };
        entry.own.add(&answer, 1.0);
        entry.trials.finish(now, has_failed, gateways, random);
        self.has_suspects |= has_failed;
    }

    /// Merges the report of a peer, unless a later one is known.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        gateway: u64,
        number: u64,
        reports: &[EndpointReport],
        random: f64,
    ) {
        let gateways = self.peers.len() + 1;
        let known = self.peers.entry(gateway).or_insert_with(|| PeerReport {
            number: 0,
            received_at: now,
            reports: HashMap::new(),
        });
        if number <= known.number {
            return;
        }
        let before = std::mem::take(&mut known.reports);
        for report in reports.iter().take(MAX_REPORTED) {
            let (answers, failures) = (f64::from(report.answers), f64::from(report.failures));
            let is_sound = answers.is_finite() && (0.0..=answers).contains(&failures);
            if !is_sound {
                continue;
            }
            let entry = self.entries.entry(report.lifetime);
            let entry = entry.or_insert_with(|| Entry::new(now));
            let last = before.get(&report.lifetime);
            let passed = last.map_or(report.passed, |last| last.passed);
            let (succeeded, failed) =
                last.map_or((0, 0), |last| (last.succeeded_trials, last.failed_trials));
            entry.trials.add_peer(
                now,
                report.succeeded_trials.saturating_sub(succeeded),
                report.failed_trials.saturating_sub(failed),
                gateways,
                random,
            );
            if report.passed > passed {
                entry.trials.pass();
            }
            entry.peers.add(&weights(report, now), 1.0);
            known.reports.insert(report.lifetime, *report);
            self.has_suspects |= failures > FORGET_BELOW;
        }
        for (lifetime, report) in &before {
            if let Some(entry) = self.entries.get_mut(lifetime) {
                entry.peers.add(&weights(report, known.received_at), -1.0);
            }
        }
        known.number = number;
        known.received_at = now;
    }

    /// Returns what to tell peers: the answers of the endpoints that any gateway saw failing.
    pub(crate) fn report(&self, now: Instant) -> Vec<EndpointReport> {
        if !self.has_suspects {
            return Vec::new();
        }
        let suspects = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_suspect(now));
        let mut reports: Vec<EndpointReport> = suspects
            .map(|(lifetime, entry)| {
                let own = entry.own.aged(now);
                EndpointReport {
                    lifetime: *lifetime,
                    answers: own.answers as f32,
                    failures: own.failures as f32,
                    succeeded_trials: entry.trials.succeeded(),
                    failed_trials: entry.trials.failed(),
                    passed: entry.trials.passed(),
                }
            })
            .collect();
        reports.sort_by(|a, b| b.failures.total_cmp(&a.failures));
        reports.truncate(MAX_REPORTED);
        reports
    }

    /// Judges the endpoints of one service anew and returns those whose judgement changed.
    pub(crate) fn judge(
        &mut self,
        now: Instant,
        service: &[Lifetime],
        gateways: usize,
        random: f64,
    ) -> Vec<Verdict> {
        let totals: Vec<(Lifetime, Recent)> = service
            .iter()
            .filter_map(|lifetime| Some((*lifetime, self.entries.get(lifetime)?.total(now))))
            .collect();
        let service_share = better_half_share(&totals, service.len());
        let limit = (service_share * EXCESS + MARGIN).max(MIN_SHARE);
        let endpoints = service.len() as f64;
        let doubtful = (endpoints / MAX_FALSE_DOUBTS).ln();
        let others_share = self.others_share(&totals, service_share, doubtful);
        let needed = (endpoints / MAX_FALSE_VERDICTS).ln();
        let mut verdicts = Vec::new();
        for (lifetime, total) in totals {
            let Some(entry) = self.entries.get_mut(&lifetime) else {
                continue;
            };
            let was_failing = entry.trials.is_failing();
            let failing_for = entry.trials.failing_for(now);
            let succeeded_trials = entry.trials.streak();
            let evidence = total.evidence_against(others_share);
            if was_failing && entry.trials.has_passed() {
                entry.trials.end(now);
                entry.settled = entry.own;
                entry.settled.add(&entry.peers, 1.0);
            } else if !was_failing
                && total.failures >= MIN_FAILURES
                && total.certain_share() > limit
                && evidence >= needed
            {
                entry.trials.start(now, gateways, random);
            }
            let is_failing = entry.trials.is_failing();
            if is_failing != was_failing {
                verdicts.push(Verdict {
                    lifetime,
                    is_failing,
                    answers: total.answers,
                    failures: total.failures,
                    service_share,
                    others_share,
                    evidence,
                    succeeded_trials,
                    failing_for,
                });
            }
        }
        verdicts
    }

    /// Returns the expected share of failures of the endpoints that are not failing and differ from each
    /// other by chance only. The better half has fewer by its choice; the others that fit it are added
    /// until none is left.
    fn others_share(&self, totals: &[(Lifetime, Recent)], service_share: f64, limit: f64) -> f64 {
        let mut share = service_share;
        for _ in 0..OTHERS_ROUNDS {
            let mut others: Option<Recent> = None;
            for (lifetime, total) in totals {
                if !self.is_failing(*lifetime) && total.evidence_against(share) < limit {
                    let others = others.get_or_insert_with(|| Recent::new(total.at));
                    others.add(total, 1.0);
                }
            }
            share = others.map_or(share, |others| others.expected_share());
        }
        share
    }

    /// Forgets old reports and endpoints that are no longer suspected.
    pub(crate) fn forget_old(&mut self, now: Instant, is_listed: impl Fn(Lifetime) -> bool) {
        let is_old =
            |report: &PeerReport| now.saturating_duration_since(report.received_at) >= REPORT_TTL;
        // The totals of trials in the reports of silent peers are kept, so that none counts twice.
        for peer in self.peers.values_mut().filter(|peer| is_old(peer)) {
            for report in peer.reports.values_mut() {
                if let Some(entry) = self.entries.get_mut(&report.lifetime) {
                    entry.peers.add(&weights(report, peer.received_at), -1.0);
                }
                report.answers = 0.0;
                report.failures = 0.0;
            }
        }
        self.entries.retain(|lifetime, _| is_listed(*lifetime));
        let entries = &self.entries;
        for peer in self.peers.values_mut() {
            peer.reports
                .retain(|lifetime, _| entries.contains_key(lifetime));
        }
        self.has_suspects = self.entries.values().any(|entry| entry.is_suspect(now));
    }
}

fn weights(report: &EndpointReport, received_at: Instant) -> Recent {
    Recent {
        answers: f64::from(report.answers),
        failures: f64::from(report.failures),
        at: received_at,
    }
}

/// Returns the share of failures of the half of a service's endpoints that fails least. Few answers
/// prove little: without any, half of them may be failures.
fn better_half_share(totals: &[(Lifetime, Recent)], endpoints: usize) -> f64 {
    let share = |recent: &Recent| recent.failures / recent.answers.max(1.0);
    let mut sorted: Vec<&Recent> = totals.iter().map(|(_, recent)| recent).collect();
    sorted.sort_by(|a, b| share(a).total_cmp(&share(b)));
    let unknown = endpoints.saturating_sub(sorted.len());
    let known_half = endpoints.div_ceil(2).saturating_sub(unknown);
    let better = &sorted[..known_half.min(sorted.len())];
    let failures: f64 = better.iter().map(|recent| recent.failures).sum();
    let answers: f64 = better.iter().map(|recent| recent.answers).sum();
    (failures + 1.0) / (answers + 2.0)
}
