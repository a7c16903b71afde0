//! Limits that endpoints have stated on the rate of their requests.

#[cfg(test)]
mod tests;

use galenapick::RequestRate;
use galenapick::crashes::Lifetime;
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

/// Limits by incarnation of the endpoint.
///
/// A limit holds until an answer of the same incarnation states another one or none.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    by_lifetime: HashMap<Lifetime, RateLimit>,
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
        let observed = RateLimit { rate, observed_at };
        match self.by_lifetime.get_mut(&lifetime) {
            Some(known) if known.observed_at > observed_at => false,
            Some(known) => {
                let is_changed = known.rate != rate;
                *known = observed;
                is_changed
            }
            None if rate.is_none() => false,
            None => {
                self.by_lifetime.insert(lifetime, observed);
                true
            }
        }
    }

    /// Returns the limit of an incarnation; `None` if it has none.
    pub(crate) fn rate(&self, lifetime: Lifetime) -> Option<RequestRate> {
        self.by_lifetime.get(&lifetime)?.rate
    }

    /// Returns the number of incarnations that have a limit.
    pub(crate) fn limited_count(&self) -> usize {
        let limits = self.by_lifetime.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Forgets limits that have ended, and those of endpoints that are gone.
    pub(crate) fn forget_old(&mut self, now: Instant, is_listed: impl Fn(Lifetime) -> bool) {
        self.by_lifetime.retain(|lifetime, limit| {
            let age = now.saturating_duration_since(limit.observed_at);
            match limit.rate {
                None => age < FORGET_ENDED_AFTER,
                Some(_) => age < FORGET_UNLISTED_AFTER || is_listed(*lifetime),
            }
        });
    }
}
