//! What keeps endpoints from a call, for refusals that say why none can take it.

use super::endpoint::Endpoint;
use super::{Chooser, EndpointRequirements};
use std::collections::BTreeMap;
use std::time::Instant;

/// What keeps an endpoint from a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Obstacle {
    /// It will stop.
    Leaving,
    /// It has been silent, according to membership.
    Suspect,
    /// It has not answered a call and has given no sign of life since.
    Silent,
    /// Its circuit breaker allows no call now.
    #[strum(to_string = "with an open breaker")]
    BreakerOpen,
    /// It has the model in an older version only.
    Outdated,
    /// It has failed the call already.
    #[strum(to_string = "that failed the call")]
    Excluded,
}

impl Chooser {
    /// Returns the number of endpoints of the model or service by what keeps them from a call.
    pub fn obstacles(
        &self,
        now: Instant,
        requirements: &EndpointRequirements<'_>,
    ) -> BTreeMap<Obstacle, usize> {
        let mut counts = BTreeMap::new();
        let group = self.groups.get(requirements.target.name());
        for index in group.into_iter().flatten() {
            if let Some(obstacle) = self.obstacle(now, &self.endpoints[*index], requirements) {
                *counts.entry(obstacle).or_default() += 1;
            }
        }
        counts
    }

    /// Returns what keeps an endpoint from a call, or `None` if it may get it.
    pub(super) fn obstacle(
        &self,
        now: Instant,
        endpoint: &Endpoint,
        requirements: &EndpointRequirements<'_>,
    ) -> Option<Obstacle> {
        if let Some(obstacle) = endpoint.obstacle(now, &self.cfg) {
            Some(obstacle)
        } else if !endpoint.can_serve(requirements.target) {
            Some(Obstacle::Outdated)
        } else if requirements.exclude.contains(&endpoint.name) {
            Some(Obstacle::Excluded)
        } else {
            None
        }
    }
}
