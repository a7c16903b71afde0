//! Chooses the endpoint for the next attempt of a request, with a permit if the endpoint limits the
//! rate of its requests.

use super::failure::FailureCause;
use super::{Execution, Failure, OutgoingRequest};
use crate::choice::endpoints::{EndpointRecord, EndpointRequirements, ExpectedWork, InstanceId};
use crate::dialect::Dialect;
use crate::node::Gateway;
use crate::routes::RouteKind;
use crate::serve::call::Call;
use galenapick::Urgency;
use galenapick::crashes::lifetime;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of requests for a permit before one attempt. Each takes a round trip to a peer.
const MAX_PERMIT_REQUESTS: usize = 3;

/// Fraction of the client's remaining time for which a request waits for a permit.
const WAIT_SHARE: f64 = 0.25;

/// Time by which the wait for a permit may exceed the one that was last told.
const WAIT_MARGIN: Duration = Duration::from_millis(50);

/// Minimum `Retry-After` delay, which applies where the waits of some endpoints are not known.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Reason given to clients.
const REASON: &str = "the endpoints of the service take no more requests now";

impl<D: Dialect> Gateway<D> {
    /// Returns the endpoint for the next attempt. The request may be sent to it once, now.
    ///
    /// An endpoint without a permit is passed over for another one. If there is none, the request
    /// waits for a permit as long as that is in time, and is refused at once otherwise.
    pub(super) async fn next_endpoint(
        self: &Rc<Self>,
        outgoing: &OutgoingRequest<'_>,
    ) -> Result<EndpointRecord, Failure> {
        let call = outgoing.call;
        let urgency = self.urgency(call);
        let longest_wait = longest_wait(call, urgency);
        let wait_deadline = Instant::now() + longest_wait;
        let time_to_wait = || wait_deadline.saturating_duration_since(Instant::now());
        for number in 1..=MAX_PERMIT_REQUESTS {
            let Some(endpoint) = self.choose(outgoing, false) else {
                return Err(self.no_endpoint());
            };
            let Some(wait) = self.permit_wait(&endpoint, urgency) else {
                return self.check_queue(outgoing, endpoint, urgency, longest_wait);
            };
            if wait > time_to_wait() {
                break;
            }
            let is_last = number == MAX_PERMIT_REQUESTS;
            let max_wait = self.max_permit_wait(outgoing, wait, is_last);
            let max_wait = max_wait.min(time_to_wait());
            let permit = self.request_permit(call.id(), &endpoint, urgency, max_wait);
            if permit.await {
                return Ok(endpoint);
            }
        }
        match self.choose(outgoing, true) {
            Some(endpoint) => self.check_queue(outgoing, endpoint, urgency, longest_wait),
            None => Err(self.no_permit(outgoing)),
        }
    }

    /// Returns the time for which a request for a permit that may be had after `wait` should wait.
    /// Where there is a choice, the endpoint was chosen for this wait and not for a longer one.
    fn max_permit_wait(
        &self,
        outgoing: &OutgoingRequest<'_>,
        wait: Duration,
        is_last: bool,
    ) -> Duration {
        let has_choice = self.choose(outgoing, true).is_some();
        match (has_choice, wait.is_zero()) {
            (true, true) => Duration::ZERO,
            (true, false) => wait + WAIT_MARGIN,
            (false, true) if !is_last => Duration::ZERO,
            (false, _) => Duration::MAX,
        }
    }

    /// Returns an endpoint without a limit, or refuses a request of a new program whose queue there
    /// is too long. Those endpoints get what the ones with a limit do not take.
    fn check_queue(
        &self,
        outgoing: &OutgoingRequest<'_>,
        endpoint: EndpointRecord,
        urgency: Urgency,
        longest_wait: Duration,
    ) -> Result<EndpointRecord, Failure> {
        let endpoints = self.endpoints.borrow();
        if urgency.is_under_way || !endpoints.has_rate_limit(outgoing.service) {
            return Ok(endpoint);
        }
        let wait = endpoints.queue_wait(&endpoint.id);
        if wait <= longest_wait {
            return Ok(endpoint);
        }
        Err(rate_limited(outgoing, wait))
    }

    fn choose(&self, outgoing: &OutgoingRequest<'_>, is_unlimited: bool) -> Option<EndpointRecord> {
        let tried = outgoing.call.tried.borrow();
        let urgency = self.urgency(outgoing.call);
        let requirements = requirements(outgoing, &tried, urgency, is_unlimited);
        let local_domain = &self.settings.failure_domain;
        let mut rng = self.rng.borrow_mut();
        let endpoints = self.endpoints.borrow();
        endpoints.choose(Instant::now(), &requirements, local_domain, &mut rng)
    }

    /// Returns the work of a request that is about to be sent to an endpoint.
    pub(super) fn expected_work(
        &self,
        outgoing: &OutgoingRequest<'_>,
        endpoint: &EndpointRecord,
    ) -> Option<ExpectedWork> {
        let urgency = self.urgency(outgoing.call);
        let requirements = requirements(outgoing, &[], urgency, false);
        let endpoints = self.endpoints.borrow();
        endpoints.expected_work(&endpoint.id, &requirements)
    }

    /// Returns the time until an endpoint may have a permit, as far as is known; `None` if it has no
    /// limit.
    fn permit_wait(&self, endpoint: &EndpointRecord, urgency: Urgency) -> Option<Duration> {
        let lifetime = lifetime(&endpoint.id, endpoint.started_unix_ms);
        let endpoints = self.endpoints.borrow();
        let limits = endpoints.rate_limits();
        limits.rate(lifetime)?;
        Some(limits.permit_wait(Instant::now(), lifetime, urgency))
    }

    /// Returns the failure of a request for which no endpoint has a permit in time.
    fn no_permit(&self, outgoing: &OutgoingRequest<'_>) -> Failure {
        let call = outgoing.call;
        let tried = call.tried.borrow();
        let urgency = self.urgency(call);
        let requirements = requirements(outgoing, &tried, urgency, false);
        let endpoints = self.endpoints.borrow();
        let wait = endpoints.shortest_permit_wait(Instant::now(), &requirements);
        wait.map_or_else(|| self.no_endpoint(), |wait| rate_limited(outgoing, wait))
    }

    /// Returns the urgency of a request. A program has begun if the request continues a turn, is a
    /// call of a tool, or has been sent before, or if another request of the program was answered.
    pub(super) fn urgency(&self, call: &Call) -> Urgency {
        let info = &call.info;
        let is_begun = |program: &String| {
            call.route.kind != RouteKind::Streaming
                || self
                    .begun_programs
                    .borrow()
                    .contains(call.account_name(), program)
        };
        Urgency {
            is_under_way: info.previous_turn.is_some()
                || call.send_count.get() > 0
                || info.program.as_ref().is_some_and(is_begun),
            priority: call.priority(),
        }
    }
}

/// Returns the failure of a request that no endpoint takes in time.
fn rate_limited(outgoing: &OutgoingRequest<'_>, wait: Duration) -> Failure {
    let call = outgoing.call;
    crate::event!("rate_limited", "request" => call.id(), "service" => outgoing.service,
        "retry_after_ms" => wait.max(MIN_RETRY_AFTER).as_millis(), "left_ms" => call.time_left().as_millis());
    Failure {
        execution: Execution::NotRun,
        reason: REASON,
        cause: FailureCause::RateLimited(wait.max(MIN_RETRY_AFTER)),
    }
}

/// Returns the longest time for which a request waits for an endpoint. A new program that begins
/// later than its route aims at would end late, in place of another one.
pub(super) fn longest_wait(call: &Call, urgency: Urgency) -> Duration {
    let longest = call.time_left().mul_f64(WAIT_SHARE);
    if urgency.is_under_way {
        longest
    } else {
        longest.min(call.route.target_latency)
    }
}

fn requirements<'a>(
    outgoing: &'a OutgoingRequest<'_>,
    tried: &'a [InstanceId],
    urgency: Urgency,
    is_unlimited: bool,
) -> EndpointRequirements<'a> {
    EndpointRequirements {
        service: outgoing.service,
        prompt_tokens: outgoing.prompt_tokens,
        answer_tokens: outgoing.answer_tokens,
        prompt_parts: &outgoing.call.info.prompt_parts,
        exclude: tried,
        urgency,
        is_unlimited,
    }
}
