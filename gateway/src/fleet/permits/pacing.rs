//! Grants permits for the endpoints that this gateway paces.

use super::{NumberedPermitReply, PermitReply, PermitRequest, Permits};
use crate::dialect::Dialect;
use crate::fleet::carrier::{before, milliseconds};
use crate::fleet::owners::Location;
use crate::node::Gateway;
use galenapick::crashes::Lifetime;
use galenapick::{Pacer, PacerTicket, RequestRate, Urgency};
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for which a request waits here, whatever its sender asks for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A request that waits for its permit here, until it is dropped.
struct WaitingRequest<'a> {
    permits: &'a Permits,
    lifetime: Lifetime,
    ticket: PacerTicket,
}

impl WaitingRequest<'_> {
    fn with_pacer<T>(&self, apply: impl FnOnce(&mut Pacer, PacerTicket) -> T) -> Option<T> {
        let mut pacers = self.permits.pacers.borrow_mut();
        let pacer = pacers.get_mut(&self.lifetime)?;
        Some(apply(pacer, self.ticket))
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        // A request that has its permit no longer waits, which changes nothing.
        self.with_pacer(Pacer::cancel);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Decides on a request of a peer and answers it, at once or after the wait for its permit.
    pub(in crate::fleet) async fn receive_permit_request(
        self: Rc<Self>,
        request: PermitRequest,
        from: SocketAddr,
    ) {
        let reply = self.decide_permit(&request).await;
        // The peer takes a lost answer for a refusal.
        let reply = NumberedPermitReply(request.number, reply);
        self.carrier.send(from, &reply).await;
    }

    /// Decides on a request for a permit, which waits among the others.
    pub(super) async fn decide_permit(&self, request: &PermitRequest) -> PermitReply {
        let lifetime = request.lifetime;
        let asked_at = Instant::now();
        let observed_at = before(asked_at, request.age_ms);
        self.merge_limit(observed_at, lifetime, Some(request.rate));
        if self.pacing_gateway(lifetime) != Some(Location::Local) {
            self.permits.pacers.borrow_mut().remove(&lifetime);
            return PermitReply::NotPacing;
        }
        let urgency = Urgency {
            is_under_way: request.is_under_way,
            priority: request.priority,
        };
        let max_wait = Duration::from_millis(request.max_wait_ms).min(MAX_WAIT);
        let deadline = asked_at + max_wait;
        let mut waiting: Option<WaitingRequest<'_>> = None;
        loop {
            let now = Instant::now();
            let rate = match self.granted_rate(now, lifetime) {
                Ok(rate) => rate,
                Err(age_ms) => return PermitReply::Unlimited { age_ms },
            };
            let waiting = waiting.get_or_insert_with(|| self.enqueue(now, lifetime, rate, urgency));
            let polled = waiting.with_pacer(|pacer, ticket| {
                pacer.set_rate(now, rate);
                (pacer.poll(now, ticket), pacer.period())
            });
            let Some((wait, period)) = polled else {
                return PermitReply::NotPacing;
            };
            if wait.is_zero() {
                return PermitReply::Granted;
            }
            if now + wait > deadline {
                let after = waiting.with_pacer(|pacer, ticket| pacer.refuse(now, ticket));
                let after_ms = milliseconds(after.unwrap_or(wait)).max(1);
                return PermitReply::Refused { after_ms };
            }
            // Requests before it may give up.
            Timer::after(wait.min(period)).await;
        }
    }

    /// Returns the rate at which this gateway grants permits for an incarnation of an endpoint. If it
    /// has no limit, returns the age of the answer that showed it, in milliseconds.
    fn granted_rate(&self, now: Instant, lifetime: Lifetime) -> Result<RequestRate, u64> {
        let limit = self.endpoints.borrow().rate_limits().limit(lifetime);
        let Some(limit) = limit else {
            return Err(0);
        };
        let age = now.saturating_duration_since(limit.observed_at);
        let rate = limit.rate.ok_or(milliseconds(age))?;
        Ok(rate.share(self.gossip.reachable_share(now)))
    }

    /// Adds a request to those that wait for a permit here.
    fn enqueue(
        &self,
        now: Instant,
        lifetime: Lifetime,
        rate: RequestRate,
        urgency: Urgency,
    ) -> WaitingRequest<'_> {
        let mut pacers = self.permits.pacers.borrow_mut();
        let pacer = pacers.entry(lifetime).or_insert_with(|| {
            crate::event!("pacing_begun", "lifetime" => format!("{lifetime:016x}"),
                "per_s" => rate.requests_per_s().to_string());
            Pacer::new(now, rate)
        });
        WaitingRequest {
            permits: &self.permits,
            lifetime,
            ticket: pacer.enqueue(now, urgency),
        }
    }

    /// Forgets the pace of endpoints that have no limit any more or that another gateway paces.
    pub(crate) fn forget_pacers(&self) {
        let endpoints = self.endpoints.borrow();
        let limits = endpoints.rate_limits();
        self.permits.pacers.borrow_mut().retain(|lifetime, _| {
            limits.rate(*lifetime).is_some()
                && self.pacing_gateway(*lifetime) == Some(Location::Local)
        });
    }
}
