//! Requests that crash the endpoints that run them.
//!
//! For each request, and for requests whose bodies begin alike, the table holds the lifetimes of
//! endpoints that ended while they had it. A complete answer proves the request harmless and clears
//! them. A request with enough lifetimes that are not cleared is quarantined: it reaches no endpoint
//! until the quarantine is over, and then one at a time.
//!
//! The state of a request is a set of lifetimes, each cleared or not. Gateways merge theirs by union,
//! and a cleared lifetime stays cleared, so the order in which reports arrive does not matter.

mod fingerprint;
#[cfg(test)]
mod tests;

pub use crate::protocol::crashes::{CrashReport, Fingerprint, Lifetime};
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
    /// It may be sent to one endpoint, to see whether it still crashes.
    Trial,
    /// It is quarantined for this long.
    Refused(Duration),
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
    /// When the running trial makes way for another one.
    trial_until: Option<Instant>,
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
            trial_until: None,
            reports_left: 0,
            reported_at: None,
        }
    }

    fn suspicion(&self) -> Suspicion {
        let lifetimes = self.lifetimes.iter().filter(|(_, cleared)| !cleared);
        let lifetimes = lifetimes.count();
        Suspicion {
            lifetimes,
            is_quarantined: lifetimes >= self.quarantine_crashes,
        }
    }

    /// Returns the end of the quarantine, past or not; `None` if the request is not quarantined.
    fn quarantined_until(&self) -> Option<Instant> {
        let suspicion = self.suspicion();
        let doublings = suspicion.lifetimes.saturating_sub(self.quarantine_crashes) as u32;
        let end = self.last_crash_at + self.first_quarantine * 2_u32.pow(doublings);
        suspicion.is_quarantined.then_some(end)
    }

    /// Returns the end of the quarantine or of the trial that follows it.
    fn refused_until(&self) -> Option<Instant> {
        let quarantined_until = self.quarantined_until()?;
        Some(
            self.trial_until
                .map_or(quarantined_until, |until| until.max(quarantined_until)),
        )
    }

    /// Returns when the request is forgotten: a quarantined one is kept for a trial afterwards.
    fn expires_at(&self) -> Instant {
        let quarantined_until = self.quarantined_until();
        quarantined_until.unwrap_or(self.last_crash_at) + SUSPICION
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

    fn clear(&mut self) {
        for (_, cleared) in &mut self.lifetimes {
            *cleared = true;
        }
        self.trial_until = None;
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
        let is_trial = entry.trial_until.take().is_some();
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
        entry.clear();
        entry.mark_changed();
        Some(cleared)
    }

    /// Decides whether a request that arrives may be served, and starts a trial if one is due.
    pub fn admit(&mut self, now: Instant, fingerprints: &Fingerprints) -> Admission {
        let Some(left) = self.quarantine_left(now, fingerprints) else {
            return Admission::Open;
        };
        if !left.is_zero() {
            return Admission::Refused(left);
        }
        for fingerprint in fingerprints {
            if let Some(entry) = self.entries.get_mut(fingerprint) {
                entry.trial_until = Some(now + TRIAL_TIMEOUT);
            }
        }
        Admission::Trial
    }

    /// Returns the time for which a request must not be sent: the rest of its quarantine or of the
    /// trial that follows it. Zero allows a trial; `None` if it is not quarantined.
    pub fn quarantine_left(&self, now: Instant, fingerprints: &Fingerprints) -> Option<Duration> {
        let entries = fingerprints
            .iter()
            .filter_map(|fingerprint| self.entries.get(fingerprint));
        let refused_until = entries.filter_map(Entry::refused_until).max()?;
        Some(refused_until.saturating_duration_since(now))
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
        if is_answered && entry.suspicion().lifetimes > 0 {
            entry.clear();
            entry.mark_changed();
        }
        is_changed.then(|| entry.suspicion())
    }

    /// Returns the reports that are due, at most `limit`, and marks them as sent. Requests under
    /// which most endpoints crashed come first.
    pub fn due_reports(&mut self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let entries = self.entries.iter_mut();
        let due = entries.filter(|(_, entry)| entry.is_report_due(now));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, entry)| Reverse(entry.suspicion().lifetimes));
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

fn report(now: Instant, fingerprint: Fingerprint, entry: &Entry) -> CrashReport {
    let age = now.saturating_duration_since(entry.last_crash_at);
    CrashReport {
        fingerprint,
        age_ms: age.as_millis() as u64,
        lifetimes: entry.lifetimes.to_vec(),
    }
}
