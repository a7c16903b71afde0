//! State of a client's request, and its processing until the answer.

use crate::dialect::{CallInfo, Dialect};
use crate::endpoints::InstanceId;
use crate::forward::{EndpointAnswer, Execution, MAX_ENDPOINTS_TRIED, OutgoingRequest};
use crate::http::{Framing, RequestHead};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::outage::retry_delay;
use crate::reply::{Refusal, Reply, ReplyState};
use crate::routes::{Route, RouteKind};
use crate::stream::{EventId, LAST_EVENT_ID};
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// `Retry-After` delay while the gateway has no configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A client's request with its route and progress.
pub(crate) struct Call {
    pub(crate) head: RequestHead,
    pub(crate) info: CallInfo,
    pub(crate) body: Vec<u8>,
    pub(crate) route: Rc<Route>,
    pub(crate) received_at: Instant,
    /// Deadline set by the client's timeout or the route's timeout, whichever is earlier.
    pub(crate) deadline: Instant,
    /// Whether it may have run so far.
    pub(crate) execution: Cell<Execution>,
    /// Number of endpoints to which it was sent.
    pub(crate) send_count: Cell<u32>,
    /// Endpoints to which it was sent or that could not be reached.
    pub(crate) tried: RefCell<SmallVec<[InstanceId; MAX_ENDPOINTS_TRIED]>>,
    /// Endpoint to which it was last sent.
    pub(crate) endpoint: RefCell<Option<InstanceId>>,
    /// Start of the last attempt to send it.
    pub(crate) sent_at: Cell<Option<Instant>>,
    /// When the head of the answer arrived.
    pub(crate) answered_at: Cell<Option<Instant>>,
    /// Framing of the endpoint's answer.
    pub(crate) framing: Cell<Option<Framing>>,
}

impl Call {
    /// Returns the time until the deadline; zero if it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the refusal of a request that has not run and cannot be served soon.
    pub(crate) fn refuse_during_outage(&self, reason: &'static str) -> Refusal {
        Refusal::retry_later(retry_delay(self.time_left(), fastrand::f64()), reason)
    }

    /// Logs the outcome with its timings.
    fn log_answer(&self, reply: &Reply) {
        let since = |at: Option<Instant>| {
            at.map_or(0, |at| at.duration_since(self.received_at).as_millis())
        };
        crate::event!("answered", "request" => self.id(),
            "program" => self.info.program.as_deref().unwrap_or_default(),
            "route" => self.route.name.as_str(), "kind" => self.route.kind.to_string(),
            "endpoint" => self.endpoint.borrow().as_deref().unwrap_or_default(),
            "status" => reply.status(), "reply" => reply.state().to_string(),
            "framing" => self.framing.get().map_or_else(String::new, |framing| framing.to_string()),
            "sent_ms" => since(self.sent_at.get()), "first_ms" => since(self.answered_at.get()),
            "took_ms" => self.received_at.elapsed().as_millis());
    }

    /// Returns the last event that the client has of a stream of which it asks for the rest.
    pub(crate) fn last_event_id(&self) -> Option<EventId> {
        let mut headers = self.head.headers.iter();
        let header = headers.find(|header| header.is(LAST_EVENT_ID))?;
        header.value.parse().ok()
    }

    /// Returns the id of the client's attempt; empty if the client sent none.
    pub(crate) fn id(&self) -> &str {
        self.info.request_id.as_deref().unwrap_or_default()
    }
}

impl<D: Dialect> Gateway<D> {
    /// Returns the route of a request, or the refusal to send if there is none.
    pub(crate) fn route(&self, head: &RequestHead) -> Result<Rc<Route>, Refusal> {
        let routes = self.routes.borrow();
        if routes.version().is_none() {
            return Err(Refusal::retry_later(
                STARTUP_RETRY_AFTER,
                "no configuration yet",
            ));
        }
        let route = routes.find(&head.host, &head.target);
        route.ok_or(Refusal::new(404, "no such route"))
    }

    /// Serves a request until its deadline, then counts and logs the outcome.
    pub(crate) async fn serve(self: &Rc<Self>, call: &Call, reply: &Reply) {
        let work = async {
            match call.route.kind {
                RouteKind::Streaming => self.serve_stream(call, reply).await,
                RouteKind::Idempotent | RouteKind::AtMostOnce => {
                    self.serve_plain(call, reply).await;
                }
            }
        };
        if with_timeout(call.time_left(), work).await.is_none() {
            self.answer_timeout(call, reply).await;
        }
        let duration = call.received_at.elapsed();
        self.counters
            .record_answer(call.route.kind, reply.status(), duration);
        call.log_answer(reply);
    }

    /// Refuses a request whose deadline has passed, or aborts its answer if that has begun.
    async fn answer_timeout(&self, call: &Call, reply: &Reply) {
        crate::event!("timed_out", "request" => call.id(),
            "execution" => call.execution.get().to_string());
        if reply.state() != ReplyState::Pending {
            reply.abort();
            return;
        }
        let refusal = match call.execution.get() {
            Execution::NotRun => Refusal::new(503, "no time left"),
            Execution::MayHaveRun => Refusal::new(504, "no answer in time"),
        };
        reply.refuse(&refusal).await;
    }

    async fn serve_plain(self: &Rc<Self>, call: &Call, reply: &Reply) {
        let service = call.route.pick_service(&mut self.rng.borrow_mut());
        let request = OutgoingRequest {
            call,
            service: &service,
            body: &call.body,
            prompt_tokens: 0,
            answer_tokens: 0,
            resume_after: None,
        };
        match self.send(&request).await {
            Ok(EndpointAnswer::Whole { head, body }) => {
                let write = reply.write_answer(head.status, &head.reason, &head.headers, &body);
                write.await;
            }
            Ok(EndpointAnswer::Stream(_)) => {
                reply.refuse(&Refusal::new(502, "unexpected stream")).await
            }
            Err(failure) => reply.refuse(&failure.refusal(call)).await,
        }
    }
}
