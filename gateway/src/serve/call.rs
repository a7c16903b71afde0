//! State of a client's request, and its processing until the answer.

use crate::choice::endpoints::InstanceId;
use crate::dialect::{CallInfo, Dialect};
use crate::node::Gateway;
use crate::routes::{Account, ConfigurationVersion, Route, RouteKind, ServiceTable};
use crate::serve::forward::{EndpointAnswer, Execution, MAX_ENDPOINTS_TRIED, OutgoingRequest};
use crate::serve::http::{Framing, RequestHead};
use crate::serve::reply::{Refusal, Reply, ReplyState};
use crate::serve::scarcity::RoomWait;
use crate::serve::shutdown::{EndingTime, Phase, late_refusal};
use crate::serve::stream::{EventId, LAST_EVENT_ID};
use crate::turns::outage::retry_delay;
use futures_lite::future;
use galenapick::crashes::Fingerprints;
use smallvec::SmallVec;
use smol::Timer;
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
    /// Services of the configuration under which it was admitted. A later one may list others, while
    /// endpoints go on with the request.
    pub(crate) services: Rc<ServiceTable>,
    /// Client account on which it runs; `None` if the route or the deployment needs none.
    pub(crate) account: Option<Rc<Account>>,
    /// Version of the configuration under which the account was found.
    pub(crate) admitted_version: Option<ConfigurationVersion>,
    /// Identify the request over its attempts.
    pub(crate) fingerprints: Fingerprints,
    /// Whether it is sent once, although it crashed endpoints, to see whether it still does.
    pub(crate) is_trial: Cell<bool>,
    pub(crate) received_at: Instant,
    /// Deadline set by the client's timeout or the route's timeout, whichever is earlier.
    pub(crate) deadline: Instant,
    /// When the gateway ends what is unfinished.
    pub(crate) ending_time: EndingTime,
    /// Whether it may have run so far.
    pub(crate) execution: Cell<Execution>,
    /// When its token of the account's quota for the next attempt expires; `None` if it has none.
    pub(crate) token_expires_at: Cell<Option<Instant>>,
    /// Number of endpoints to which it was sent.
    pub(crate) send_count: Cell<u32>,
    /// Endpoints to which it was sent or that could not be reached.
    pub(crate) tried: RefCell<SmallVec<[InstanceId; MAX_ENDPOINTS_TRIED]>>,
    /// Endpoint to which it was last sent.
    pub(crate) endpoint: RefCell<Option<InstanceId>>,
    /// Size of the body last sent, which holds the history of a turn before its input.
    pub(crate) sent_bytes: Cell<usize>,
    /// Start of the last attempt to send it.
    pub(crate) sent_at: Cell<Option<Instant>>,
    /// When the head of the answer arrived.
    pub(crate) answered_at: Cell<Option<Instant>>,
    /// Wait for room at the endpoints.
    pub(crate) room_wait: Cell<RoomWait>,
    /// Framing of the endpoint's answer.
    pub(crate) framing: Cell<Option<Framing>>,
}

/// Reason why a request is ended before its answer; its name is that of the event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Unfinished {
    /// Its deadline has passed.
    TimedOut,
    /// The grace period of the gateway's shutdown has passed.
    GatewayStopped,
}

impl Call {
    /// Returns the time until the deadline or the end of a stopping gateway, whichever is earlier; zero
    /// if it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        let end = self.ending_time.get();
        let end = end.map_or(self.deadline, |end| end.min(self.deadline));
        end.saturating_duration_since(Instant::now())
    }

    /// Returns whether it has not run, may not be repeated and is not expected to be answered before the
    /// gateway ends.
    pub(crate) fn is_too_late(&self) -> bool {
        let may_be_passed_on =
            self.route.kind == RouteKind::Idempotent || self.execution.get() != Execution::NotRun;
        let ending_time = self.ending_time.get().filter(|_| !may_be_passed_on);
        ending_time.is_some_and(|ending_time| {
            let left = ending_time.saturating_duration_since(Instant::now());
            left < self.route.target_latency
        })
    }

    /// Returns its priority, 0 being the highest: that of its account, otherwise that of its route.
    pub(crate) fn priority(&self) -> u32 {
        let account = self.account.as_ref();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
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
            "route" => self.route.name.as_str(), "account" => self.account_name(),
            "priority" => self.priority(), "kind" => self.route.kind.to_string(),
            "endpoint" => self.endpoint.borrow().as_deref().unwrap_or_default(),
            "status" => reply.status(), "reply" => reply.state().to_string(),
            "framing" => self.framing.get().map_or_else(String::new, |framing| framing.to_string()),
            "previous" => self.info.previous_turn.as_deref().unwrap_or_default(),
            "body_bytes" => self.body.len(), "sent_bytes" => self.sent_bytes.get(),
            "sent_ms" => since(self.sent_at.get()), "first_ms" => since(self.answered_at.get()),
            "waited_ms" => self.room_wait.get().waited.as_millis(),
            "predicted_ms" => self.room_wait.get().predicted.as_millis(),
            "took_ms" => self.received_at.elapsed().as_millis());
    }

    /// Returns the last event that the client has of a stream of which it asks for the rest.
    pub(crate) fn last_event_id(&self) -> Option<EventId> {
        let mut headers = self.head.headers.iter();
        let header = headers.find(|header| header.is(LAST_EVENT_ID))?;
        header.value.parse().ok()
    }

    /// Returns the name of its account; empty if it has none.
    pub(crate) fn account_name(&self) -> &str {
        self.account.as_ref().map_or("", |account| &account.name)
    }

    /// Returns the tokens that each event of a stream from a service stands for.
    pub(crate) fn tokens_per_event(&self, service: &str) -> u64 {
        let engine = self
            .services
            .get(service)
            .and_then(|service| service.engine);
        engine.map_or(1, |engine| u64::from(engine.tokens_per_event.max(1)))
    }

    /// Returns the most events with data that a stream may have, if the request states its most
    /// tokens. The last one may stand for fewer tokens than the others.
    pub(crate) fn max_events(&self, service: &str) -> Option<u64> {
        let (_, max_tokens) = self.info.tokens?;
        Some(u64::from(max_tokens).div_ceil(self.tokens_per_event(service)))
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
        route.ok_or_else(|| self.unless_outdated(Refusal::new(404, "no such route")))
    }

    /// Serves a request until its deadline, then counts and logs the outcome.
    pub(crate) async fn serve(self: &Rc<Self>, call: &Call, reply: &Reply) {
        let work = async {
            // Checked again before it is sent, as it may wait until then.
            if let Some(late) = self.check_lateness(call) {
                reply.refuse(&late.refusal(call)).await;
                return None;
            }
            let _trial = match self.pass_quarantine(call).await {
                Ok(trial) => trial,
                Err(refusal) => {
                    reply.refuse(&refusal).await;
                    return None;
                }
            };
            // Before any work for a turn is done; further attempts take tokens of their own.
            if let Err(failure) = self.obtain_token(call).await {
                reply.refuse(&failure.refusal(call)).await;
                return None;
            }
            match call.route.kind {
                RouteKind::Streaming => self.serve_stream(call, reply).await,
                RouteKind::Idempotent | RouteKind::AtMostOnce => {
                    self.serve_plain(call, reply).await;
                }
            }
            None
        };
        let timeout = async {
            Timer::at(call.deadline).await;
            Some(Unfinished::TimedOut)
        };
        let end = async {
            self.shutdown.wait_for(Phase::Ending).await;
            Some(Unfinished::GatewayStopped)
        };
        if let Some(reason) = future::or(work, future::or(timeout, end)).await {
            self.answer_unfinished(call, reply, reason).await;
        }
        self.return_token(call);
        if let (200..=299, Some(program)) = (reply.status(), &call.info.program) {
            self.begun_programs
                .borrow_mut()
                .insert(call.account_name(), program);
        }
        self.measure_forecast(call, reply.status());
        let duration = call.received_at.elapsed();
        self.counters
            .record_answer(call.route.kind, reply.status(), duration);
        if let Some(account) = &call.account {
            let mut counters = self.counters.accounts.borrow_mut();
            counters.record_answer(&account.name, reply.status());
        }
        call.log_answer(reply);
    }

    /// Refuses a request that is not finished in time, or aborts its answer if that has begun.
    async fn answer_unfinished(&self, call: &Call, reply: &Reply, reason: Unfinished) {
        let execution = call.execution.get();
        crate::event!(&reason.to_string(), "request" => call.id(),
            "execution" => execution.to_string());
        if reply.state() != ReplyState::Pending {
            reply.abort();
            return;
        }
        let refusal = match (reason, execution) {
            (Unfinished::TimedOut, Execution::NotRun) => Refusal::new(503, "no time left"),
            (Unfinished::TimedOut, Execution::MayHaveRun) => Refusal::new(504, "no answer in time"),
            (Unfinished::GatewayStopped, Execution::NotRun) => late_refusal(),
            (Unfinished::GatewayStopped, Execution::MayHaveRun) => {
                Refusal::new(504, "the gateway stopped before the answer")
            }
        };
        if reason == Unfinished::GatewayStopped {
            reply.close_after_answer();
        }
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
