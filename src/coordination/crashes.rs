//! Requests that crash the endpoints that run them.
//!
//! For each request, and for requests whose bodies begin alike, the table holds the lifetimes of
//! endpoints that ended while they had it. A complete answer proves the request harmless and clears
//! them. A request with enough lifetimes that are not cleared is quarantined: it reaches no endpoint
//! until the quarantine is over, and then one at a time over all gateways.
//!
//! A request that only ran beside one that crashes endpoints shares lifetimes with it. As long as
//! another request that has at least as many may have caused them, the quarantine is short and the
//! trial decides.
//!
//! The state of a request is a set of lifetimes, each cleared or not. Gateways merge theirs by union,
//! and a cleared lifetime stays cleared, so the order in which reports arrive does not matter.

mod answered;
mod entry;
mod fingerprint;
#[cfg(test)]
mod tests;
mod unconfirmed;

pub use crate::protocol::crashes::{Claimant, CrashReport, Fingerprint, Lifetime, TrialReport};
pub use entry::MAX_LIFETIMES;
pub use fingerprint::{Fingerprints, PREFIX_BYTES, fingerprints};

use crate::coordination::stable_hash::stable_hash;
use answered::AnsweredRequests;
use entry::{Entry, Trial};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};
use unconfirmed::UnconfirmedCrashes;

/// Duration of the first quarantine of a request whose crashes another one may have caused, or that
/// has not crashed an endpoint again after the first crash was known.
const SHARED_QUARANTINE: Duration = Duration::from_secs(2);

/// Maximum number of requests in the table. One entry takes about 200 bytes.
const MAX_REQUESTS: usize = 1_024;

/// Returns the tag of a lifetime of an endpoint.
pub fn lifetime(instance: &str, started_unix_ms: Option<u64>) -> Lifetime {
    stable_hash((instance, started_unix_ms))
}

/// State of a request after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of lifetimes that are not cleared.
    pub lifetimes: usize,
    /// Whether these are enough for a quarantine.
    pub is_quarantined: bool,
}

/// A crash that is no longer blamed on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its state afterwards.
    pub left: Suspicion,
    /// Whether it was quarantined before.
    pub ends_quarantine: bool,
}

/// Whether a request may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is not quarantined.
    Open,
    /// It may be sent to one endpoint, to see whether it still crashes, if no other gateway claims
    /// the trial at the same time.
    Trial,
    /// It is quarantined for this long.
    Refused(Duration),
}

/// The requests under which endpoints crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    /// At most [`MAX_REQUESTS`].
    entries: HashMap<Fingerprint, Entry>,
    unconfirmed: UnconfirmedCrashes,
    answered: AnsweredRequests,
}

impl Crashes {
    /// Records that a connection to an endpoint ended while it had a request, which may be a crash.
    ///
    /// It counts like one here until [`Self::withdraw`] ends that, at the latest at `until`. Peers
    /// are not told. Returns whether a crash would be blamed on the request.
    pub fn suspect(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lifetime: Lifetime,
        until: Instant,
    ) -> bool {
        let is_answered = self.answered.contains(now, fingerprint);
        if !is_answered {
            self.unconfirmed.insert(now, fingerprint, lifetime, until);
        }
        !is_answered
    }

    /// Ends what [`Self::suspect`] has begun: the crash is recorded, or there was none.
    pub fn withdraw(&mut self, fingerprint: Fingerprint, lifetime: Lifetime) {
        self.unconfirmed.remove(fingerprint, lifetime);
    }

    /// Records that a lifetime of an endpoint ended while it had a request that was sent just before.
    /// Returns the request's state unless nothing changed.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lifetime: Lifetime,
    ) -> Option<Suspicion> {
        let sent_at = now + Duration::from_nanos(1);
        self.record_crash_of_attempt(now, fingerprint, lifetime, sent_at)
    }

    /// Records that a lifetime of an endpoint ended while it had an attempt that was sent at a time.
    /// Returns the request's state unless nothing changed.
    pub fn record_crash_of_attempt(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lifetime: Lifetime,
        sent_at: Instant,
    ) -> Option<Suspicion> {
        if self.answered.contains(now, fingerprint) {
            return None;
        }
        let entry = self.entry(now, fingerprint);
        entry.last_crash_at = now;
        let is_trial = entry.end_trial(now);
        if !entry.record_crash(now, sent_at, lifetime) && !is_trial {
            return None;
        }
        entry.mark_changed();
        Some(entry.suspicion())
    }

    /// Records a complete answer to a request. Returns the state that it cleared, if any.
    pub fn record_answer(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Suspicion> {
        self.answered.insert(now, fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        let cleared = entry.suspicion();
        if cleared.lifetimes == 0 {
            return None;
        }
        entry.clear(now);
        entry.mark_changed();
        Some(cleared)
    }

    /// Returns the lifetimes that ended under requests and are not cleared.
    pub fn crashed_lifetimes(&self) -> HashSet<Lifetime> {
        let entries = self.entries.values();
        entries.flat_map(Entry::suspected).collect()
    }

    /// Takes back that a lifetime of an endpoint ended under the requests that it had. Returns what has
    /// changed.
    ///
    /// `is_reported` is whether peers are told. Those that learn of it by themselves need no reports.
    pub fn withdraw_lifetime(&mut self, lifetime: Lifetime, is_reported: bool) -> Vec<Withdrawal> {
        self.unconfirmed.remove_lifetime(lifetime);
        let mut withdrawals = Vec::new();
        for (fingerprint, entry) in &mut self.entries {
            if !entry.suspected().contains(&lifetime) {
                continue;
            }
            let was_quarantined = entry.suspicion().is_quarantined;
            entry.add(lifetime, true);
            entry.forget_cleared();
            if is_reported {
                entry.mark_changed();
            }
            let left = entry.suspicion();
            withdrawals.push(Withdrawal {
                fingerprint: *fingerprint,
                left,
                ends_quarantine: was_quarantined && !left.is_quarantined,
            });
        }
        withdrawals
    }

    /// Records which prefix a request has, if it is in the table.
    pub fn record_prefix(&mut self, fingerprints: &Fingerprints) {
        let [Fingerprint::Prefix(prefix), request] = fingerprints else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(request) {
            entry.prefix = Some(*prefix);
        }
    }

    /// Decides whether a request that arrives may be served, and claims a trial if one is due. The
    /// claim counts once other gateways have had the time to report theirs, see
    /// [`Self::confirm_trial`].
    pub fn admit(
        &mut self,
        now: Instant,
        fingerprints: &Fingerprints,
        claimant: Claimant,
    ) -> Admission {
        let Some(left) = self.quarantine_left(now, fingerprints) else {
            return Admission::Open;
        };
        if !left.is_zero() {
            return Admission::Refused(left);
        }
        for fingerprint in fingerprints {
            if let Some(entry) = self.entries.get_mut(fingerprint) {
                entry.claim_trial(now, claimant);
            }
        }
        Admission::Trial
    }

    /// Decides whether a request whose trial was claimed may be sent.
    pub fn confirm_trial(
        &self,
        now: Instant,
        fingerprints: &Fingerprints,
        claimant: Claimant,
    ) -> Admission {
        // Of trials of several requests that share crashes, that of the lowest claimant runs.
        let precedes = |fingerprint, trial: &Trial| {
            let is_same_request = fingerprints.contains(&fingerprint);
            trial.claimant < claimant || (is_same_request && trial.claimant != claimant)
        };
        match self.refused_until(now, fingerprints, precedes) {
            None => Admission::Open,
            Some(until) if until <= now => Admission::Trial,
            Some(until) => Admission::Refused(until.saturating_duration_since(now)),
        }
    }

    /// Ends a trial that was not run.
    pub fn cancel_trial(&mut self, now: Instant, fingerprints: &Fingerprints, claimant: Claimant) {
        for fingerprint in fingerprints {
            let entry = self.entries.get_mut(fingerprint);
            let is_own = |trial: Trial| trial.claimant == claimant;
            if let Some(entry) = entry.filter(|entry| entry.trial.is_some_and(is_own))
                && entry.end_trial(now)
            {
                entry.mark_changed();
            }
        }
    }

    /// Returns the time for which a request must not be sent: the rest of its quarantine or of a
    /// trial that follows it. Zero allows a trial; `None` if it is not quarantined.
    pub fn quarantine_left(&self, now: Instant, fingerprints: &Fingerprints) -> Option<Duration> {
        let refused_until = self.refused_until(now, fingerprints, |_, _| true)?;
        Some(refused_until.saturating_duration_since(now))
    }

    /// Returns the end of the quarantine of a request or of a trial that `counts`, past or not;
    /// `None` if it is not quarantined.
    fn refused_until(
        &self,
        now: Instant,
        fingerprints: &Fingerprints,
        counts: impl Fn(Fingerprint, &Trial) -> bool,
    ) -> Option<Instant> {
        let ends = fingerprints.iter().filter_map(|fingerprint| {
            let entry = self.entries.get(fingerprint);
            // Most requests are not quarantined and need no search.
            let quarantined = entry.filter(|entry| entry.suspicion().is_quarantined);
            let confirmed_until = quarantined.map(|entry| {
                let quarantined_until = self.quarantined_until(*fingerprint, entry);
                let trial_until = self.trial_until(entry, &counts);
                trial_until.map_or(quarantined_until, |until| until.max(quarantined_until))
            });
            let unconfirmed = self.unconfirmed.of(now, *fingerprint, entry);
            confirmed_until.max(unconfirmed.quarantined_until())
        });
        ends.max()
    }

    /// Returns the end of the quarantine of a quarantined entry, past or not.
    fn quarantined_until(&self, fingerprint: Fingerprint, entry: &Entry) -> Instant {
        if entry.is_unrepeated() {
            // The endpoints ended at the same time, whatever the reason. A trial decides.
            return entry.last_crash_at + SHARED_QUARANTINE;
        }
        entry.quarantined_until(if self.is_shared(fingerprint, entry) {
            SHARED_QUARANTINE
        } else {
            entry.first_quarantine
        })
    }

    /// Returns the latest end of the trials that `counts` of an entry and of all that share crashes
    /// with it. At the same time they could crash an endpoint under each other.
    fn trial_until(
        &self,
        entry: &Entry,
        counts: impl Fn(Fingerprint, &Trial) -> bool,
    ) -> Option<Instant> {
        let suspected = entry.suspected();
        let trials = self.entries.iter().filter_map(|(fingerprint, other)| {
            let trial = other.trial.filter(|trial| counts(*fingerprint, trial))?;
            let mut shared = other.suspected().into_iter();
            let is_shared = shared.any(|lifetime| suspected.contains(&lifetime));
            is_shared.then_some(trial.until)
        });
        trials.max()
    }

    /// Returns whether most crashes of a quarantined entry may be due to others and the rest would not
    /// quarantine it. Only entries with at least as many crashes count, so that a trial that ends
    /// with a crash singles out its request.
    fn is_shared(&self, fingerprint: Fingerprint, entry: &Entry) -> bool {
        let mut unshared = entry.suspected();
        let crashes = unshared.len();
        for (other_fingerprint, other) in &self.entries {
            let is_same = is_same_request((fingerprint, entry), (*other_fingerprint, other));
            if other.suspicion().lifetimes >= crashes && !is_same {
                let suspected = other.suspected();
                unshared.retain(|lifetime| !suspected.contains(lifetime));
            }
        }
        unshared.len() < entry.quarantine_crashes && unshared.len() * 2 < crashes
    }

    /// Merges what another gateway knows of a request. Returns the request's state unless nothing
    /// changed.
    ///
    /// Lifetimes of a request that was answered here recently are cleared, and that is reported.
    pub fn merge(&mut self, now: Instant, report: &CrashReport) -> Option<Suspicion> {
        let age = Duration::from_millis(report.age_ms);
        let last_crash_at = now.checked_sub(age).unwrap_or(now);
        let is_answered = self.answered.contains(now, report.fingerprint);
        if !self.entries.contains_key(&report.fingerprint) {
            let mut incoming = Entry::new(report.fingerprint, last_crash_at);
            for (lifetime, is_cleared) in report.lifetimes.iter().take(MAX_LIFETIMES) {
                incoming.add(*lifetime, *is_cleared);
            }
            if incoming.expires_at() <= now {
                return None;
            }
        }
        let entry = self.entry(last_crash_at, report.fingerprint);
        entry.last_crash_at = entry.last_crash_at.max(last_crash_at);
        let mut is_changed = false;
        for lifetime in report.lifetimes.iter().take(MAX_LIFETIMES) {
            let is_unrepeated = report.unrepeated.contains(&lifetime.0);
            is_changed |= entry.merge(*lifetime, is_unrepeated);
        }
        entry.suspected_since.get_or_insert(last_crash_at);
        entry.forget_cleared();
        entry.prefix = entry.prefix.max(report.prefix);
        if let Some(trial) = report.trial {
            entry.merge_trial(now, trial);
        }
        if is_answered && entry.suspicion().lifetimes > 0 {
            entry.clear(now);
            entry.mark_changed();
        }
        is_changed.then(|| entry.suspicion())
    }

    /// Returns the reports that are due, at most `limit`, and marks them as sent. Trials come first,
    /// then changes, then requests under which most endpoints crashed.
    pub fn due_reports(&mut self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let entries = self.entries.iter_mut();
        let due = entries.filter(|(_, entry)| entry.is_report_due(now));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, entry)| {
            let is_trial_running = entry.trial.is_some_and(|trial| trial.until > now);
            let is_changed = entry.reports_left > 0;
            Reverse((is_trial_running, is_changed, entry.suspicion().lifetimes))
        });
        due.into_iter()
            .take(limit)
            .map(|(fingerprint, entry)| {
                entry.reports_left = entry.reports_left.saturating_sub(1);
                entry.reported_at = Some(now);
                report(now, *fingerprint, entry)
            })
            .collect()
    }

    /// Returns whether any report is or becomes due without a further change.
    pub fn has_reports(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.reports_left > 0 || entry.suspicion().is_quarantined)
    }

    /// Makes all entries due, for a peer that knows none of them.
    pub fn report_all(&mut self) {
        for entry in self.entries.values_mut() {
            entry.mark_changed();
        }
    }

    /// Returns the state of one request as a report; `None` if it is not known.
    pub fn report(&self, now: Instant, fingerprint: Fingerprint) -> Option<CrashReport> {
        let entry = self.entries.get(&fingerprint)?;
        Some(report(now, fingerprint, entry))
    }

    /// Forgets expired requests and returns those that were quarantined.
    pub fn forget_expired(&mut self, now: Instant) -> Vec<Fingerprint> {
        let expired = self
            .entries
            .extract_if(|_, entry| entry.expires_at() <= now);
        let quarantined = expired.filter(|(_, entry)| entry.suspicion().is_quarantined);
        quarantined.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Returns whether a request is quarantined or on trial.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.suspicion().is_quarantined)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.suspicion().is_quarantined)
            .count()
    }

    /// Returns a request's entry, which is created in the place of the oldest one if the table is
    /// full. Quarantined requests give way last.
    fn entry(&mut self, last_crash_at: Instant, fingerprint: Fingerprint) -> &mut Entry {
        if !self.entries.contains_key(&fingerprint) && self.entries.len() >= MAX_REQUESTS {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| {
                let suspicion = entry.suspicion();
                (suspicion.is_quarantined, entry.last_crash_at)
            });
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|oldest| self.entries.remove(&oldest));
        }
        let entry = self.entries.entry(fingerprint);
        entry.or_insert_with(|| Entry::new(fingerprint, last_crash_at))
    }
}

/// Returns whether two entries are the same, or a request and the prefix that it has or may have.
fn is_same_request(one: (Fingerprint, &Entry), other: (Fingerprint, &Entry)) -> bool {
    match (one, other) {
        ((Fingerprint::Request(_), request), (Fingerprint::Prefix(prefix), _))
        | ((Fingerprint::Prefix(prefix), _), (Fingerprint::Request(_), request)) => {
            request.prefix.is_none_or(|own| own == prefix)
        }
        _ => one.0 == other.0,
    }
}

fn report(now: Instant, fingerprint: Fingerprint, entry: &Entry) -> CrashReport {
    let age = now.saturating_duration_since(entry.last_crash_at);
    CrashReport {
        fingerprint,
        age_ms: age.as_millis() as u64,
        lifetimes: entry.lifetimes.to_vec(),
        prefix: entry.prefix,
        unrepeated: entry.unrepeated.to_vec(),
        trial: entry.trial.map(|trial| TrialReport {
            number: trial.number.0,
            claimant: trial.claimant,
            left_ms: trial.until.saturating_duration_since(now).as_millis() as u64,
        }),
    }
}
