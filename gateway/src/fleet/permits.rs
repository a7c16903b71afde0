//! Permits to send requests to endpoints that limit the rate of their requests.
//!
//! For each such endpoint one gateway paces the requests of all of them: before each send, whatever
//! it is for, a gateway asks it for a permit by datagram. Without an answer there is no permit, so a
//! lost datagram costs a request its place and never exceeds the limit. All gateways compute the same
//! pacing gateway from those that they hear of. If two take themselves for it, each grants only the
//! share of the limit that corresponds to the share of the gateways that it reaches.

mod pacing;

use crate::choice::endpoints::EndpointRecord;
use crate::dialect::Dialect;
use crate::fleet::carrier::{Report, before, milliseconds};
use crate::fleet::owners::{Location, choose_owner};
use crate::net::with_timeout;
use crate::node::Gateway;
use async_channel::Sender;
use galenapick::crashes::{Lifetime, lifetime};
use galenapick::{Pacer, RequestRate, Urgency};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum wait for an answer, besides the time for which the request may wait for its permit. It
/// covers the scheduling delay of a busy VM.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without further requests to a pacing gateway that has not answered. Missing heartbeats show
/// afterwards whether it is lost.
const SILENT_PACER_DELAY: Duration = Duration::from_millis(300);

/// Time in which gateways agree on the one that paces an endpoint, which is a few heartbeats.
const AGREEMENT_DELAY: Duration = Duration::from_millis(100);

/// A request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct PermitRequest {
    /// Identifies the request at its sender.
    #[serde(rename = "n")]
    number: u64,
    /// The endpoint's incarnation.
    #[serde(rename = "e")]
    lifetime: Lifetime,
    /// Limit that the sender knows.
    #[serde(rename = "r")]
    rate: RequestRate,
    /// Age of the limit, in milliseconds.
    #[serde(rename = "a")]
    age_ms: u64,
    #[serde(rename = "u")]
    is_under_way: bool,
    #[serde(rename = "p")]
    priority: u32,
    /// Maximum wait for the permit, in milliseconds.
    #[serde(rename = "w")]
    max_wait_ms: u64,
}

impl Report for PermitRequest {
    const TAG: u8 = b'P';
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PermitReply {
    /// One request may be sent now.
    #[serde(rename = "g")]
    Granted,
    /// None may be sent; another permit may be had after this time.
    #[serde(rename = "w")]
    Refused { after_ms: u64 },
    /// The endpoint has stated no limit since, in an answer of this age.
    #[serde(rename = "u")]
    Unlimited { age_ms: u64 },
    /// Another gateway paces the endpoint.
    #[serde(rename = "o")]
    NotPacing,
}

/// Number of a request, and the answer to it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct NumberedPermitReply(u64, PermitReply);

impl Report for NumberedPermitReply {
    const TAG: u8 = b'G';
}

/// Outcome of a request for a permit, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum PermitOutcome {
    Granted,
    Refused,
    /// The limit has ended.
    Unlimited,
    /// The gateways do not agree yet on the one that paces the endpoint.
    NotPacing,
    NoAnswer,
}

/// Requests for permits of this gateway, and the pace of the endpoints that it grants them for.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    next_number: Cell<u64>,
    /// Receivers of answers, by number of the request.
    waiters: RefCell<HashMap<u64, Sender<PermitReply>>>,
    pacers: RefCell<HashMap<Lifetime, Pacer>>,
}

impl Permits {
    /// Creates an instance whose request numbers differ from those of earlier incarnations.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            next_number: Cell::new(incarnation),
            ..Self::default()
        }
    }

    fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        number
    }
}

/// Removes the receiver of an answer once it is no longer awaited.
struct WaiterGuard<'a> {
    permits: &'a Permits,
    number: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.permits.waiters.borrow_mut().remove(&self.number);
    }
}

impl<D: Dialect> Gateway<D> {
    /// Asks for a permit to send a request to an endpoint that has a limit, and returns whether it was
    /// granted. It waits for the permit for `max_wait`.
    pub(crate) async fn request_permit(
        self: &Rc<Self>,
        request_id: &str,
        endpoint: &EndpointRecord,
        urgency: Urgency,
        max_wait: Duration,
    ) -> bool {
        let lifetime = lifetime(&endpoint.id, endpoint.started_unix_ms);
        let limit = self.endpoints.borrow().rate_limits().limit(lifetime);
        let Some((rate, observed_at)) = limit.and_then(|it| Some((it.rate?, it.observed_at)))
        else {
            return true;
        };
        let asked_at = Instant::now();
        let age = asked_at.saturating_duration_since(observed_at);
        let request = PermitRequest {
            number: self.permits.take_number(),
            lifetime,
            rate,
            age_ms: milliseconds(age),
            is_under_way: urgency.is_under_way,
            priority: urgency.priority,
            max_wait_ms: milliseconds(max_wait),
        };
        // Other requests of this gateway use the answer instead of asking as well.
        self.set_no_permit_until(lifetime, urgency, asked_at + REPLY_TIMEOUT);
        let pacing = self.pacing_gateway(lifetime);
        let reply = match pacing {
            Some(Location::Local) => Some(self.decide_permit(&request).await),
            Some(Location::Remote(address)) => self.ask_for_permit(address, &request).await,
            Some(Location::Pending) | None => None,
        };
        let outcome = self.apply_permit_reply(lifetime, urgency, reply);
        self.counters.record_permit(outcome.to_string());
        let pacing = match pacing {
            Some(Location::Remote(address)) => address.to_string(),
            Some(Location::Local) => "local".to_owned(),
            Some(Location::Pending) | None => String::new(),
        };
        crate::event!("permit", "request" => request_id, "endpoint" => &*endpoint.id,
            "outcome" => outcome.to_string(), "pacing" => pacing,
            "per_s" => rate.requests_per_s().to_string(), "limit_age_ms" => request.age_ms,
            "under_way" => urgency.is_under_way, "priority" => urgency.priority,
            "max_wait_ms" => request.max_wait_ms,
            "after_ms" => match reply {
                Some(PermitReply::Refused { after_ms }) => after_ms,
                _ => 0,
            },
            "waited_ms" => asked_at.elapsed().as_millis());
        matches!(outcome, PermitOutcome::Granted | PermitOutcome::Unlimited)
    }

    /// Records what an answer says of later permits.
    fn apply_permit_reply(
        &self,
        lifetime: Lifetime,
        urgency: Urgency,
        reply: Option<PermitReply>,
    ) -> PermitOutcome {
        let now = Instant::now();
        let (outcome, delay) = match reply {
            Some(PermitReply::Granted) => (PermitOutcome::Granted, Duration::ZERO),
            Some(PermitReply::Unlimited { age_ms }) => {
                self.merge_limit(before(now, age_ms), lifetime, None);
                (PermitOutcome::Unlimited, Duration::ZERO)
            }
            Some(PermitReply::Refused { after_ms }) => {
                (PermitOutcome::Refused, Duration::from_millis(after_ms))
            }
            Some(PermitReply::NotPacing) => (PermitOutcome::NotPacing, AGREEMENT_DELAY),
            None => (PermitOutcome::NoAnswer, SILENT_PACER_DELAY),
        };
        self.set_no_permit_until(lifetime, urgency, now + delay);
        outcome
    }

    fn set_no_permit_until(&self, lifetime: Lifetime, urgency: Urgency, until: Instant) {
        let mut endpoints = self.endpoints.borrow_mut();
        let limits = endpoints.rate_limits_mut();
        limits.set_no_permit_until(lifetime, urgency, until);
    }

    /// Sends a request for a permit to a peer and waits for the answer.
    async fn ask_for_permit(
        &self,
        address: SocketAddr,
        request: &PermitRequest,
    ) -> Option<PermitReply> {
        let (sender, replies) = async_channel::bounded(1);
        self.permits
            .waiters
            .borrow_mut()
            .insert(request.number, sender);
        let _guard = WaiterGuard {
            permits: &self.permits,
            number: request.number,
        };
        // A datagram that is not sent is not answered either.
        self.carrier.send(address, request).await;
        let timeout = Duration::from_millis(request.max_wait_ms) + REPLY_TIMEOUT;
        with_timeout(timeout, replies.recv()).await?.ok()
    }

    /// Passes the answer of a peer to the request that waits for it.
    pub(super) fn receive_permit_reply(&self, reply: &NumberedPermitReply) {
        let NumberedPermitReply(number, reply) = reply;
        match self.permits.waiters.borrow().get(number) {
            // An answer that comes twice counts once.
            Some(waiter) => drop(waiter.try_send(*reply)),
            None => crate::event!("permit_unused", "number" => *number),
        }
    }

    /// Returns the gateway that paces the requests to an incarnation of an endpoint.
    pub(crate) fn pacing_gateway(&self, lifetime: Lifetime) -> Option<Location> {
        let candidates = self.candidates();
        choose_owner(lifetime, &candidates).map(|candidate| candidate.location)
    }
}
