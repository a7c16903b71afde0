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

mod fingerprint;
#[cfg(test)]
mod tests;

pub use crate::protocol::crashes::{Claimant, CrashReport, Fingerprint, Lifetime, TrialReport};
pub use fingerprint::{Fingerprints, PREFIX_BYTES, fingerprints};

use crate::coordination::stable_hash::stable_hash;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of lifetimes that end under copies of a request before they are quarantined.
const REQUEST_CRASHES: usize = 3;

/// Number of lifetimes that end under requests whose bodies begin alike, none of which is answered,
/// before these are quarantined. They may be different requests, so it takes one crash more.
const PREFIX_CRASHES: usize = 4;

/// Duration of the first quarantine of a request; each further crash doubles it.
const QUARANTINE: Duration = Duration::from_secs(120);

/// Duration of the first quarantine of requests that only begin alike.
const PREFIX_QUARANTINE: Duration = Duration::from_secs(60);

/// Duration of the first quarantine of a request whose crashes another one may have caused.
const SHARED_QUARANTINE: Duration = Duration::from_secs(2);

/// Maximum number of lifetimes that are kept for a request.
pub const MAX_LIFETIMES: usize = 8;

/// Time after the last crash for which a request that is not quarantined is remembered.
const SUSPICION: Duration = Duration::from_secs(600);

/// Maximum number of requests in the table. One entry takes about 200 bytes.
const MAX_REQUESTS: usize = 1_024;

/// Time after a complete answer in which crashes are not blamed on the request. It covers the pause
/// between two copies of a popular request.
const ANSWERED_RECENTLY: Duration = Duration::from_secs(10);

/// Maximum number of fingerprints that are remembered as answered recently; one takes about 90 bytes.
const MAX_ANSWERED: usize = 4_096;

/// Time after which a trial that had no outcome makes way for another one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of times that a change is reported to peers, because datagrams get lost.
const REPORTS_PER_CHANGE: u8 = 3;

/// Interval between these reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which quarantined requests are reported again, for peers that were unreachable.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

impl Fingerprint {
    /// Number of lifetimes after which the requests are quarantined.
    fn quarantine_crashes(self) -> usize {
        match self {
            Self::Prefix(_) => PREFIX_CRASHES,
            Self::Request(_) => REQUEST_CRASHES,
        }
    }

    /// Duration of the first quarantine.
    fn quarantine(self) -> Duration {
        match self {
            Self::Prefix(_) => PREFIX_QUARANTINE,
            Self::Request(_) => QUARANTINE,
        }
    }
}

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

/// The latest trial of a request. Gateways that report different ones agree on the one with the
/// highest number, of these on that of the lowest claimant, and on its earliest end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Trial {
    number: Reverse<u32>,
    claimant: Claimant,
    /// When it makes way for another one; in the past once it is over.
    until: Instant,
}

#[derive(Debug)]
struct Entry {
    /// Number of lifetimes that are not cleared from which on the requests are quarantined.
    quarantine_crashes: usize,
    /// Duration of the first quarantine.
    first_quarantine: Duration,
    /// At most [`MAX_LIFETIMES`], each with whether it is cleared.
    lifetimes: SmallVec<[(Lifetime, bool); 4]>,
    last_crash_at: Instant,
    /// Hash of the prefix of a request; always `None` for a prefix.
    prefix: Option<u64>,
    trial: Option<Trial>,
    /// Number of reports of the last change that are still to be sent.
    reports_left: u8,
    reported_at: Option<Instant>,
}

impl Entry {
    fn new(fingerprint: Fingerprint, last_crash_at: Instant) -> Self {
        Self {
            quarantine_crashes: fingerprint.quarantine_crashes(),
            first_quarantine: fingerprint.quarantine(),
            lifetimes: SmallVec::new(),
            last_crash_at,
            prefix: None,
            trial: None,
            reports_left: 0,
            reported_at: None,
        }
    }

    /// Returns the lifetimes that are not cleared.
    fn suspected(&self) -> SmallVec<[Lifetime; MAX_LIFETIMES]> {
        let suspected = self.lifetimes.iter().filter(|(_, cleared)| !cleared);
        suspected.map(|(lifetime, _)| *lifetime).collect()
    }

    fn suspicion(&self) -> Suspicion {
        let lifetimes = self.lifetimes.iter().filter(|(_, cleared)| !cleared);
        let lifetimes = lifetimes.count();
        Suspicion {
            lifetimes,
            is_quarantined: lifetimes >= self.quarantine_crashes,
        }
    }

    /// Returns the end of the quarantine of a quarantined request, past or not.
    fn quarantined_until(&self, first_quarantine: Duration) -> Instant {
        let lifetimes = self.suspicion().lifetimes;
        let doublings = lifetimes.saturating_sub(self.quarantine_crashes) as u32;
        self.last_crash_at + first_quarantine * 2_u32.pow(doublings)
    }

    fn claim_trial(&mut self, now: Instant, claimant: Claimant) {
        let last_number = self.trial.map_or(0, |trial| trial.number.0);
        self.trial = Some(Trial {
            number: Reverse(last_number.saturating_add(1)),
            claimant,
            until: now + TRIAL_TIMEOUT,
        });
        self.mark_changed();
    }

    fn merge_trial(&mut self, now: Instant, report: TrialReport) {
        let left = Duration::from_millis(report.left_ms).min(TRIAL_TIMEOUT);
        let trial = Trial {
            number: Reverse(report.number),
            claimant: report.claimant,
            until: now + left,
        };
        self.trial = Some(self.trial.map_or(trial, |current| current.min(trial)));
    }

    /// Ends the trial and returns whether one was running.
    fn end_trial(&mut self, now: Instant) -> bool {
        let running = self.trial.as_mut().filter(|trial| trial.until > now);
        running.map(|trial| trial.until = now).is_some()
    }

    /// Returns when the request is forgotten: a quarantined one is kept for a trial afterwards.
    fn expires_at(&self) -> Instant {
        let kept_from = match self.suspicion().is_quarantined {
            true => self.quarantined_until(self.first_quarantine),
            false => self.last_crash_at,
        };
        kept_from + SUSPICION
    }

    /// Adds a lifetime and returns whether that changed anything.
    fn add(&mut self, lifetime: Lifetime, is_cleared: bool) -> bool {
        let mut known = self.lifetimes.iter_mut();
        if let Some((_, cleared)) = known.find(|(known, _)| *known == lifetime) {
            let is_changed = is_cleared && !*cleared;
            *cleared |= is_cleared;
            return is_changed;
        }
        if self.lifetimes.len() >= MAX_LIFETIMES {
            let Some(oldest) = self.lifetimes.iter().position(|(_, cleared)| *cleared) else {
                return false;
            };
            self.lifetimes.remove(oldest);
        }
        self.lifetimes.push((lifetime, is_cleared));
        true
    }

    fn clear(&mut self, now: Instant) {
        for (_, cleared) in &mut self.lifetimes {
            *cleared = true;
        }
        self.end_trial(now);
    }

    fn mark_changed(&mut self) {
        self.reports_left = REPORTS_PER_CHANGE;
        self.reported_at = None;
    }

    fn is_report_due(&self, now: Instant) -> bool {
        let interval = match self.reports_left {
            0 if !self.suspicion().is_quarantined => return false,
            0 => REFRESH_INTERVAL,
            _ => REPORT_INTERVAL,
        };
        let reported_at = self.reported_at;
        reported_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }
}

/// Requests that were answered completely within [`ANSWERED_RECENTLY`].
#[derive(Debug, Default)]
struct AnsweredRequests {
    last_answers: HashMap<Fingerprint, Instant>,
    /// One element for each request, with an answer that may not be its last one.
    queue: VecDeque<(Instant, Fingerprint)>,
}

impl AnsweredRequests {
    fn insert(&mut self, now: Instant, fingerprint: Fingerprint) {
        if self.last_answers.insert(fingerprint, now).is_none() {
            self.queue.push_back((now, fingerprint));
        }
        while let Some((at, oldest)) = self.queue.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= ANSWERED_RECENTLY;
            if !is_expired && self.queue.len() <= MAX_ANSWERED {
                break;
            }
            self.queue.pop_front();
            match self.last_answers.get(&oldest) {
                Some(last_answer) if *last_answer > at => {
                    self.queue.push_back((*last_answer, oldest));
                }
                _ => {
                    self.last_answers.remove(&oldest);
                }
            }
        }
    }

    fn contains(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        let answered_at = self.last_answers.get(&fingerprint);
        answered_at.is_some_and(|at| now.saturating_duration_since(*at) < ANSWERED_RECENTLY)
    }
}

/// The requests under which endpoints crashed.
#[derive(Debug, Default)]
pub struct Crashes {
    /// At most [`MAX_REQUESTS`].
    entries: HashMap<Fingerprint, Entry>,
    answered: AnsweredRequests,
}

impl Crashes {
    /// Records that a lifetime of an endpoint ended while it had a request. Returns the request's
    /// state unless nothing changed.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        lifetime: Lifetime,
    ) -> Option<Suspicion> {
        if self.answered.contains(now, fingerprint) {
            return None;
        }
        let entry = self.entry(now, fingerprint);
        entry.last_crash_at = now;
        let is_trial = entry.end_trial(now);
        if !entry.add(lifetime, false) && !is_trial {
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
        match self.refused_until(fingerprints, precedes) {
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
        let refused_until = self.refused_until(fingerprints, |_, _| true)?;
        Some(refused_until.saturating_duration_since(now))
    }

    /// Returns the end of the quarantine of a request or of a trial that `counts`, past or not;
    /// `None` if it is not quarantined.
    fn refused_until(
        &self,
        fingerprints: &Fingerprints,
        counts: impl Fn(Fingerprint, &Trial) -> bool,
    ) -> Option<Instant> {
        let ends = fingerprints.iter().filter_map(|fingerprint| {
            let entry = self.entries.get(fingerprint)?;
            // Most requests are not quarantined and need no search.
            entry.suspicion().is_quarantined.then(|| {
                let quarantined_until = self.quarantined_until(*fingerprint, entry);
                let trial_until = self.trial_until(entry, &counts);
                trial_until.map_or(quarantined_until, |until| until.max(quarantined_until))
            })
        });
        ends.max()
    }

    /// Returns the end of the quarantine of a quarantined entry, past or not.
    fn quarantined_until(&self, fingerprint: Fingerprint, entry: &Entry) -> Instant {
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
        for (lifetime, is_cleared) in report.lifetimes.iter().take(MAX_LIFETIMES) {
            is_changed |= entry.add(*lifetime, *is_cleared);
        }
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
        trial: entry.trial.map(|trial| TrialReport {
            number: trial.number.0,
            claimant: trial.claimant,
            left_ms: trial.until.saturating_duration_since(now).as_millis() as u64,
        }),
    }
}
