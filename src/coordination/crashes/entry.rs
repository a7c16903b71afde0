//! State of one request in the table.

use super::Suspicion;
use crate::protocol::crashes::{Claimant, Fingerprint, Lifetime, TrialReport};
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Number of lifetimes that end under copies of a request before they are quarantined.
pub(super) const REQUEST_CRASHES: usize = 3;

/// Number of lifetimes that end under requests whose bodies begin alike, none of which is answered,
/// before these are quarantined. They may be different requests, so it takes one crash more.
pub(super) const PREFIX_CRASHES: usize = 4;

/// Duration of the first quarantine of a request; each further crash doubles it.
pub(super) const QUARANTINE: Duration = Duration::from_secs(120);

/// Duration of the first quarantine of requests that only begin alike.
pub(super) const PREFIX_QUARANTINE: Duration = Duration::from_secs(60);

/// Maximum number of lifetimes that are kept for a request.
pub const MAX_LIFETIMES: usize = 8;

/// Time after the last crash for which a request that is not quarantined is remembered.
pub(super) const SUSPICION: Duration = Duration::from_secs(600);

/// Time after which a trial that had no outcome makes way for another one.
pub(super) const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of times that a change is reported to peers, because datagrams get lost.
pub(super) const REPORTS_PER_CHANGE: u8 = 3;

/// Interval between these reports.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which quarantined requests are reported again, for peers that were unreachable.
pub(super) const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

impl Fingerprint {
    /// Number of lifetimes after which the requests are quarantined.
    pub(super) fn quarantine_crashes(self) -> usize {
        match self {
            Self::Prefix(_) => PREFIX_CRASHES,
            Self::Request(_) => REQUEST_CRASHES,
        }
    }

    /// Duration of the first quarantine.
    pub(super) fn quarantine(self) -> Duration {
        match self {
            Self::Prefix(_) => PREFIX_QUARANTINE,
            Self::Request(_) => QUARANTINE,
        }
    }
}

/// The latest trial of a request. Gateways that report different ones agree on the one with the
/// highest number, of these on that of the lowest claimant, and on its earliest end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Trial {
    pub(super) number: Reverse<u32>,
    pub(super) claimant: Claimant,
    /// When it makes way for another one; in the past once it is over.
    pub(super) until: Instant,
}

#[derive(Debug)]
pub(super) struct Entry {
    /// Number of lifetimes that are not cleared from which on the requests are quarantined.
    pub(super) quarantine_crashes: usize,
    /// Duration of the first quarantine.
    pub(super) first_quarantine: Duration,
    /// At most [`MAX_LIFETIMES`], each with whether it is cleared.
    pub(super) lifetimes: SmallVec<[(Lifetime, bool); 4]>,
    pub(super) last_crash_at: Instant,
    /// When the first lifetime that is not cleared was known; `None` if there is none.
    pub(super) suspected_since: Option<Instant>,
    /// Lifetimes that ended under an attempt which was sent before any other end was known.
    pub(super) unrepeated: SmallVec<[Lifetime; 4]>,
    /// Hash of the prefix of a request; always `None` for a prefix.
    pub(super) prefix: Option<u64>,
    pub(super) trial: Option<Trial>,
    /// Number of reports of the last change that are still to be sent.
    pub(super) reports_left: u8,
    pub(super) reported_at: Option<Instant>,
}

impl Entry {
    pub(super) fn new(fingerprint: Fingerprint, last_crash_at: Instant) -> Self {
        Self {
            quarantine_crashes: fingerprint.quarantine_crashes(),
            first_quarantine: fingerprint.quarantine(),
            lifetimes: SmallVec::new(),
            last_crash_at,
            suspected_since: None,
            unrepeated: SmallVec::new(),
            prefix: None,
            trial: None,
            reports_left: 0,
            reported_at: None,
        }
    }

    /// Returns the lifetimes that are not cleared.
    pub(super) fn suspected(&self) -> SmallVec<[Lifetime; MAX_LIFETIMES]> {
        let suspected = self.lifetimes.iter().filter(|(_, cleared)| !cleared);
        suspected.map(|(lifetime, _)| *lifetime).collect()
    }

    pub(super) fn suspicion(&self) -> Suspicion {
        let lifetimes = self.lifetimes.iter().filter(|(_, cleared)| !cleared);
        let lifetimes = lifetimes.count();
        Suspicion {
            lifetimes,
            is_quarantined: lifetimes >= self.quarantine_crashes,
        }
    }

    /// Records that a lifetime ended under an attempt. Returns whether that is new.
    pub(super) fn record_crash(
        &mut self,
        now: Instant,
        sent_at: Instant,
        lifetime: Lifetime,
    ) -> bool {
        let mut known = self.lifetimes.iter();
        if known.any(|(known, _)| *known == lifetime) {
            return false;
        }
        let is_unrepeated = self.suspected_since.is_none_or(|since| sent_at <= since);
        self.suspected_since.get_or_insert(now);
        let is_added = self.add(lifetime, false);
        match (is_added, is_unrepeated) {
            (true, true) => self.unrepeated.push(lifetime),
            (true, false) => {}
            // There is no room for another lifetime, so one that is known stands for it.
            (false, false) => self.unrepeated.clear(),
            (false, true) => {}
        }
        is_added
    }

    /// Merges a lifetime that another gateway reports. Returns whether that changed anything.
    pub(super) fn merge(
        &mut self,
        (lifetime, is_cleared): (Lifetime, bool),
        is_unrepeated: bool,
    ) -> bool {
        let mut known = self.lifetimes.iter();
        let is_known = known.any(|(known, _)| *known == lifetime);
        let is_changed = self.add(lifetime, is_cleared);
        if !is_unrepeated {
            self.unrepeated.retain(|known| *known != lifetime);
        } else if !is_known && is_changed {
            self.unrepeated.push(lifetime);
        }
        is_changed
    }

    /// Returns whether the request has not been seen to crash an endpoint again after the first crash
    /// was known.
    pub(super) fn is_unrepeated(&self) -> bool {
        let suspected = self.suspected();
        suspected
            .iter()
            .all(|lifetime| self.unrepeated.contains(lifetime))
    }

    /// Forgets when the lifetimes ended if all of them are cleared.
    pub(super) fn forget_cleared(&mut self) {
        if self.suspected().is_empty() {
            self.suspected_since = None;
        }
    }

    /// Returns the end of the quarantine of a quarantined request, past or not.
    pub(super) fn quarantined_until(&self, first_quarantine: Duration) -> Instant {
        let lifetimes = self.suspicion().lifetimes;
        let doublings = lifetimes.saturating_sub(self.quarantine_crashes) as u32;
        self.last_crash_at + first_quarantine * 2_u32.pow(doublings)
    }

    pub(super) fn claim_trial(&mut self, now: Instant, claimant: Claimant) {
        let last_number = self.trial.map_or(0, |trial| trial.number.0);
        self.trial = Some(Trial {
            number: Reverse(last_number.saturating_add(1)),
            claimant,
            until: now + TRIAL_TIMEOUT,
        });
        self.mark_changed();
    }

    pub(super) fn merge_trial(&mut self, now: Instant, report: TrialReport) {
        let left = Duration::from_millis(report.left_ms).min(TRIAL_TIMEOUT);
        let trial = Trial {
            number: Reverse(report.number),
            claimant: report.claimant,
            until: now + left,
        };
        self.trial = Some(self.trial.map_or(trial, |current| current.min(trial)));
    }

    /// Ends the trial and returns whether one was running.
    pub(super) fn end_trial(&mut self, now: Instant) -> bool {
        let running = self.trial.as_mut().filter(|trial| trial.until > now);
        running.map(|trial| trial.until = now).is_some()
    }

    /// Returns when the request is forgotten: a quarantined one is kept for a trial afterwards.
    pub(super) fn expires_at(&self) -> Instant {
        let kept_from = match self.suspicion().is_quarantined {
            true => self.quarantined_until(self.first_quarantine),
            false => self.last_crash_at,
        };
        kept_from + SUSPICION
    }

    /// Adds a lifetime and returns whether that changed anything.
    pub(super) fn add(&mut self, lifetime: Lifetime, is_cleared: bool) -> bool {
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
            let (removed, _) = self.lifetimes.remove(oldest);
            self.unrepeated.retain(|known| *known != removed);
        }
        self.lifetimes.push((lifetime, is_cleared));
        true
    }

    pub(super) fn clear(&mut self, now: Instant) {
        for (_, cleared) in &mut self.lifetimes {
            *cleared = true;
        }
        self.forget_cleared();
        self.end_trial(now);
    }

    pub(super) fn mark_changed(&mut self) {
        self.reports_left = REPORTS_PER_CHANGE;
        self.reported_at = None;
    }

    pub(super) fn is_report_due(&self, now: Instant) -> bool {
        let interval = match self.reports_left {
            0 if !self.suspicion().is_quarantined => return false,
            0 => REFRESH_INTERVAL,
            _ => REPORT_INTERVAL,
        };
        let reported_at = self.reported_at;
        reported_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }
}
