//! Limits that endpoints have stated on the rate of their requests.

#[cfg(test)]
mod tests;

use galenapick::crashes::Lifetime;
use galenapick::{RequestRate, Urgency};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after which an ended limit is forgotten. Statements that are older than its end have arrived
/// by then.
const FORGET_ENDED_AFTER: Duration = Duration::from_secs(30);

/// Time after which the limit of an endpoint that is not listed is forgotten. Entries of the list
/// that expired during an outage of the store have come back by then.
const FORGET_UNLISTED_AFTER: Duration = Duration::from_secs(60);

/// What the latest known answer of an incarnation stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RateLimit {
    /// `None` if the endpoint stated no limit, after it had stated one.
    pub(crate) rate: Option<RequestRate>,
    /// When the answer arrived at the gateway that received it.
    pub(crate) observed_at: Instant,
}

/// What is known of one incarnation.
#[derive(Debug)]
struct Entry {
    limit: RateLimit,
    /// Whether other gateways are still to be told of a change.
    is_unreported: bool,
    /// Times until which no permit is to be had: for requests of new programs, and for those of
    /// programs under way.
    no_permit_until: [Option<Instant>; 2],
}

/// Limits by incarnation of the endpoint.
///
/// A limit holds until an answer of the same incarnation states another one or none.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    by_lifetime: HashMap<Lifetime, Entry>,
}

impl RateLimits {
    /// Records what an answer stated, unless a later one is known. Returns whether that changed the
    /// limit.
    pub(crate) fn observe(
        &mut self,
        observed_at: Instant,
        lifetime: Lifetime,
        rate: Option<RequestRate>,
    ) -> bool {
        let limit = RateLimit { rate, observed_at };
        let is_changed = match self.by_lifetime.get_mut(&lifetime) {
            Some(known) if known.limit.observed_at > observed_at => false,
            Some(known) if known.limit.rate == rate => {
                known.limit = limit;
                false
            }
            Some(_) => true,
            None => rate.is_some(),
        };
        if is_changed {
            let entry = Entry {
                limit,
                is_unreported: false,
                no_permit_until: [None; 2],
            };
            self.by_lifetime.insert(lifetime, entry);
        }
        is_changed
    }

    /// Returns what is known of an incarnation.
    pub(crate) fn limit(&self, lifetime: Lifetime) -> Option<RateLimit> {
        self.by_lifetime.get(&lifetime).map(|entry| entry.limit)
    }

    /// Returns the limit of an incarnation; `None` if it has none.
    pub(crate) fn rate(&self, lifetime: Lifetime) -> Option<RequestRate> {
        self.limit(lifetime)?.rate
    }

    /// Records that no permit is to be had until this time.
    pub(crate) fn set_no_permit_until(
        &mut self,
        lifetime: Lifetime,
        urgency: Urgency,
        until: Instant,
    ) {
        if let Some(entry) = self.by_lifetime.get_mut(&lifetime) {
            entry.no_permit_until[usize::from(urgency.is_under_way)] = Some(until);
        }
    }

    /// Returns the time for which no permit is to be had.
    pub(crate) fn permit_wait(
        &self,
        now: Instant,
        lifetime: Lifetime,
        urgency: Urgency,
    ) -> Duration {
        let limited = self.by_lifetime.get(&lifetime);
        let limited = limited.filter(|entry| entry.limit.rate.is_some());
        let until =
            limited.and_then(|entry| entry.no_permit_until[usize::from(urgency.is_under_way)]);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Has other gateways told of the limit of an incarnation.
    pub(crate) fn mark_unreported(&mut self, lifetime: Lifetime) {
        if let Some(entry) = self.by_lifetime.get_mut(&lifetime) {
            entry.is_unreported = true;
        }
    }

    /// Returns the limits of which others are still to be told, and marks them as reported.
    pub(crate) fn take_unreported(&mut self) -> Vec<(Lifetime, RateLimit)> {
        let entries = self.by_lifetime.iter_mut();
        let unreported = entries.filter_map(|(lifetime, entry)| {
            let is_unreported = std::mem::take(&mut entry.is_unreported);
            is_unreported.then_some((*lifetime, entry.limit))
        });
        unreported.collect()
    }

    /// Returns whether no incarnation has a limit, or had one shortly before.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_lifetime.is_empty()
    }

    /// Returns all limits, also those that have ended shortly before.
    pub(crate) fn all(&self) -> Vec<(Lifetime, RateLimit)> {
        let entries = self.by_lifetime.iter();
        entries
            .map(|(lifetime, entry)| (*lifetime, entry.limit))
            .collect()
    }

    /// Returns the number of incarnations that have a limit.
    pub(crate) fn limited_count(&self) -> usize {
        let entries = self.by_lifetime.values();
        entries.filter(|entry| entry.limit.rate.is_some()).count()
    }

    /// Forgets limits that have ended, and those of endpoints that are gone.
    pub(crate) fn forget_old(&mut self, now: Instant, is_listed: impl Fn(Lifetime) -> bool) {
        self.by_lifetime.retain(|lifetime, entry| {
            let age = now.saturating_duration_since(entry.limit.observed_at);
            match entry.limit.rate {
                None => age < FORGET_ENDED_AFTER,
                Some(_) => age < FORGET_UNLISTED_AFTER || is_listed(*lifetime),
            }
        });
    }
}
