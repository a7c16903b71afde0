//! Speeds of endpoints, and how slow they are at this moment.
//!
//! A speed is learned from answers: the time that the work of a call would take at an average endpoint
//! of the service, divided by the time that it took, without waits and without a slowness that the
//! endpoint stated. Gateways tell each other the totals of what they measured, since each of many gets
//! few answers of an endpoint. Stated slowness ages within a fraction of a second.

#[cfg(test)]
mod tests;

use galenapick::crashes::Lifetime;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of calls at average speed assumed of each endpoint, so that the first few answers neither
/// favor nor ban it.
const PRIOR_CALLS: f64 = 2.0;

/// Number of measured calls of a gateway at one endpoint above which earlier ones lose weight.
const MEMORY_CALLS: f64 = 100.0;

/// Range of plausible ratios between a call's duration and its expected one. Others come from waits
/// that nobody saw, or from calls that did not run.
const PLAUSIBLE: std::ops::Range<f64> = 0.05..20.0;

/// Range of slowness that is believed. Absurd figures count as its ends.
const SLOWDOWN: (f64, f64) = (0.2, 10.0);

/// Time after which a stated slowness says nothing any more. Endpoints change theirs several times
/// a second.
const SLOWDOWN_TTL: Duration = Duration::from_millis(600);

/// Slowness from which peers are told of it. Less does not change a choice.
const NOTABLE_SLOWDOWN: f64 = 1.2;

/// Maximum number of endpoints in a report.
pub(crate) const MAX_REPORTED: usize = 64;

/// Totals of what one gateway measured at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Measured {
    /// Number of calls.
    #[serde(rename = "n")]
    calls: f32,
    /// Sum of the logarithms of their durations relative to the expected ones.
    #[serde(rename = "l")]
    log_ratios: f32,
}

impl Measured {
    fn add(&mut self, ratio: f64) {
        if f64::from(self.calls) >= MEMORY_CALLS {
            let weight = 1.0 - 1.0 / MEMORY_CALLS as f32;
            self.calls *= weight;
            self.log_ratios *= weight;
        }
        self.calls += 1.0;
        self.log_ratios += ratio.ln() as f32;
    }

    fn is_sound(&self) -> bool {
        let most = self.calls * (PLAUSIBLE.end.ln() as f32 + 0.1);
        self.calls.is_finite() && self.calls > 0.0 && self.log_ratios.abs() <= most
    }
}

/// What one gateway tells others about the speed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SpeedReport {
    /// The endpoint's incarnation.
    #[serde(rename = "e")]
    pub(crate) lifetime: Lifetime,
    /// What the reporting gateway measured, if that is told.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub(crate) measured: Option<Measured>,
    /// Stated slowness in hundredths and its age in milliseconds, if that is told.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub(crate) slowdown: Option<(u32, u32)>,
}

/// A slowness that an endpoint stated.
#[derive(Clone, Copy, Debug)]
struct Stated {
    slowdown: f64,
    at: Instant,
}

#[derive(Debug, Default)]
struct Entry {
    own: Measured,
    /// What peers measured, by incarnation of the peer.
    peers: HashMap<u64, Measured>,
    /// Sum of `own` and `peers`.
    calls: f64,
    log_ratios: f64,
    stated: Option<Stated>,
    /// Whether peers are still to be told of the measurements, and of the slowness.
    has_new_measured: bool,
    has_new_slowdown: bool,
}

impl Entry {
    fn sum(&mut self) {
        let all = || self.peers.values().chain([&self.own]);
        self.calls = all().map(|it| f64::from(it.calls)).sum();
        self.log_ratios = all().map(|it| f64::from(it.log_ratios)).sum();
    }
}

/// Speeds of the endpoints of one service.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    entries: HashMap<Lifetime, Entry>,
    /// Mean of the endpoints' mean logarithms, which is that of an average endpoint.
    mean_log: f64,
    /// Whether an endpoint has stated its slowness, so that speeds are in force.
    is_stated: bool,
}

impl Speeds {
    /// Returns whether endpoints of the service state their slowness.
    pub(crate) fn is_stated(&self) -> bool {
        self.is_stated
    }

    /// Returns the learned speed of an endpoint relative to an average one.
    pub(crate) fn speed(&self, lifetime: Lifetime) -> f64 {
        let entry = self.entries.get(&lifetime);
        entry.map_or(1.0, |entry| {
            let excess = entry.log_ratios - entry.calls * self.mean_log;
            (-excess / (entry.calls + PRIOR_CALLS)).exp()
        })
    }

    /// Returns the expected slowness of an endpoint at a moment.
    pub(crate) fn slowdown(&self, now: Instant, lifetime: Lifetime) -> f64 {
        let stated = self.entries.get(&lifetime).and_then(|entry| entry.stated);
        stated.map_or(1.0, |stated| {
            let age = now.saturating_duration_since(stated.at);
            let share = 1.0 - age.as_secs_f64() / SLOWDOWN_TTL.as_secs_f64();
            1.0 + (stated.slowdown - 1.0) * share.max(0.0)
        })
    }

    /// Returns the age of the slowness that an endpoint last stated.
    pub(crate) fn slowdown_age(&self, now: Instant, lifetime: Lifetime) -> Option<Duration> {
        let stated = self.entries.get(&lifetime)?.stated?;
        Some(now.saturating_duration_since(stated.at))
    }

    /// Returns the factor by which work takes longer at an endpoint than at an average one.
    pub(crate) fn factor(&self, now: Instant, lifetime: Lifetime) -> f64 {
        if !self.is_stated {
            return 1.0;
        }
        self.slowdown(now, lifetime) / self.speed(lifetime)
    }

    /// Records the slowness that an answer to this gateway stated.
    pub(crate) fn observe_slowdown(&mut self, now: Instant, lifetime: Lifetime, slowdown: f64) {
        if !slowdown.is_finite() || slowdown <= 0.0 {
            return;
        }
        self.is_stated = true;
        let slowdown = slowdown.clamp(SLOWDOWN.0, SLOWDOWN.1);
        let was = self.slowdown(now, lifetime);
        let entry = self.entries.entry(lifetime).or_default();
        entry.stated = Some(Stated { slowdown, at: now });
        let is_notable = |slowdown: f64| slowdown >= NOTABLE_SLOWDOWN;
        entry.has_new_slowdown |= is_notable(slowdown) && !is_notable(was);
    }

    /// Records how long the work of a call took relative to the expected time.
    pub(crate) fn measure(&mut self, now: Instant, lifetime: Lifetime, ratio: f64) {
        let ratio = ratio / self.slowdown(now, lifetime);
        if !self.is_stated || !PLAUSIBLE.contains(&ratio) {
            return;
        }
        let entry = self.entries.entry(lifetime).or_default();
        entry.own.add(ratio);
        entry.has_new_measured = true;
        entry.sum();
    }

    /// Merges what a peer tells. A report that arrives late or twice changes nothing for worse.
    pub(crate) fn merge(&mut self, now: Instant, gateway: u64, report: &SpeedReport) {
        self.is_stated = true;
        let entry = self.entries.entry(report.lifetime).or_default();
        if let Some(measured) = report.measured.filter(Measured::is_sound) {
            let known = entry.peers.entry(gateway).or_default();
            if measured.calls >= known.calls.min(MEMORY_CALLS as f32 - 1.0) {
                *known = measured;
                entry.sum();
            }
        }
        if let Some((hundredths, age_ms)) = report.slowdown {
            let slowdown = f64::from(hundredths) / 100.0;
            let age = Duration::from_millis(u64::from(age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let is_newer = entry.stated.is_none_or(|stated| stated.at < at);
            if is_newer && age < SLOWDOWN_TTL && slowdown > 0.0 {
                let slowdown = slowdown.clamp(SLOWDOWN.0, SLOWDOWN.1);
                entry.stated = Some(Stated { slowdown, at });
            }
        }
    }

    /// Returns what peers are still to be told, and marks it as told. Measurements are told only
    /// where `with_measured`, since they stay valid.
    pub(crate) fn take_reports(&mut self, now: Instant, with_measured: bool) -> Vec<SpeedReport> {
        let mut reports = Vec::new();
        for (lifetime, entry) in &mut self.entries {
            let is_told = with_measured && entry.has_new_measured;
            let stated = entry
                .stated
                .filter(|_| std::mem::take(&mut entry.has_new_slowdown));
            if (is_told || stated.is_some()) && reports.len() < MAX_REPORTED {
                entry.has_new_measured &= !is_told;
                let slowdown = stated.map(|stated| {
                    let age = now.saturating_duration_since(stated.at).as_millis();
                    ((stated.slowdown * 100.0) as u32, age as u32)
                });
                reports.push(SpeedReport {
                    lifetime: *lifetime,
                    measured: is_told.then_some(entry.own),
                    slowdown,
                });
            }
        }
        reports
    }

    /// Forgets endpoints that are gone, and recomputes the average of the others.
    pub(crate) fn refresh(&mut self, is_listed: impl Fn(Lifetime) -> bool) {
        self.entries.retain(|lifetime, _| is_listed(*lifetime));
        let measured = self.entries.values().filter(|entry| entry.calls >= 1.0);
        let (count, sum) = measured.fold((0.0, 0.0), |(count, sum), entry| {
            (count + 1.0, sum + entry.log_ratios / entry.calls)
        });
        if count > 0.0 {
            self.mean_log = sum / count;
        }
    }
}
