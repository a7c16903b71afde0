//! Room at the endpoints of a service, as all gateways use it.

use super::{Endpoints, InstanceTag};
use crate::admission::room::Room;
use galenapick::stable_hash;
use std::time::{Duration, Instant};

/// Most calls of an endpoint that are counted, as a multiple of its slots. Gateways report more than
/// they have at an endpoint that fails, and such a report says nothing of the others.
const MAX_COUNTED: u32 = 3;

/// Returns the tag under which gateways report the requests that wait in them for a service.
pub(crate) fn waiting_tag(service: &str) -> InstanceTag {
    stable_hash(format!("waiting for {service}")) as InstanceTag
}

impl Endpoints {
    /// Returns the room of a service, with `own_waiting` requests that wait in this gateway.
    /// Endpoints that take no calls or fail have none.
    pub(crate) fn room(&self, now: Instant, service: &str, own_waiting: usize) -> Room {
        let mut slots = 0_u64;
        let mut calls = 0_u64;
        let healthy = self.endpoints.values().filter(|endpoint| {
            *endpoint.record.service == *service
                && endpoint.takes_calls()
                && !endpoint.is_backing_off(now)
        });
        for endpoint in healthy {
            let own_slots = endpoint.record.slots.max(1);
            let counted = own_slots.saturating_mul(MAX_COUNTED);
            slots += u64::from(own_slots);
            calls += u64::from(self.calls_in_flight(endpoint).min(counted));
        }
        let peers = self.peer_counts.values();
        let ages = peers.map(|peer| now.saturating_duration_since(peer.received_at));
        Room {
            slots: slots as f64,
            calls: calls as f64,
            waiting: own_waiting as f64 + self.peers_waiting(service),
            call_ms: self.call_duration_ms(service),
            age: ages.max().unwrap_or(Duration::ZERO),
        }
    }

    /// Returns the number of requests that wait in peers for a service, as they last told.
    pub(crate) fn peers_waiting(&self, service: &str) -> f64 {
        let waiting = self.peer_calls.get(&waiting_tag(service));
        f64::from(waiting.copied().unwrap_or_default())
    }

    /// Returns the average duration of the calls of a service that found a free slot, in ms.
    pub(crate) fn call_duration_ms(&self, service: &str) -> f64 {
        let duration = self.call_durations.get(service).copied();
        duration.unwrap_or_default().ms()
    }
}
