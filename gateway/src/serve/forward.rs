//! Forwards a request to endpoints and determines whether the request may have run.

mod account;
mod failure;
mod late;
mod leaving;
mod matching;
mod permit;
mod quarantine;
mod quota;
mod rate_limit;
mod request;
mod survival;
#[cfg(test)]
mod tests;

use crate::choice::endpoints::{CallOutcome, EndpointRecord, ExpectedWork, InstanceId};
use crate::dialect::{AnswerInfo, Dialect};
use crate::limits::{BufferShare, MAX_ANSWER_BYTES};
use crate::net::{connect, io_with_timeout, with_timeout};
use crate::node::Gateway;
use crate::routes::RouteKind;
use crate::serve::call::Call;
use crate::serve::http::{BodyDecoder, BodyError, Connection, Framing, ResponseHead};
use crate::serve::pool::EndpointConnection;
use failure::FailureCause;
pub(crate) use failure::{Execution, Failure};
use futures_lite::future;
use leaving::ObservedAnswer;
use matching::{ExpectedAnswer, read_matching_answer};
use quarantine::Attempt;
pub(crate) use quarantine::fingerprints;
pub(crate) use quota::QuotaOutcome;
pub(crate) use request::OutgoingRequest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
pub(crate) use survival::{Survival, SurvivalChecks};

/// Maximum time to connect to an endpoint; long enough for one retransmission of a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of endpoints tried for one request, including unreachable ones.
pub(crate) const MAX_ENDPOINTS_TRIED: usize = 4;

/// Time without an answer after which an idempotent request is sent to another endpoint; several
/// times the usual call duration.
const RETRY_TIMEOUT: Duration = Duration::from_millis(450);

/// Classification of an answer by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerClass {
    /// The endpoint's answer to this request.
    Answer,
    /// The endpoint states that it has not executed the request.
    NotRun,
    /// The status implies that the request has not run, but the endpoint does not confirm it.
    UnconfirmedRefusal,
    /// Not a valid answer to this request.
    Invalid,
}

/// Classifies an answer by its status and headers.
///
/// No other function decides from an answer whether a request has run.
pub(crate) fn classify(status: u16, info: &AnswerInfo) -> AnswerClass {
    match status {
        421 => AnswerClass::NotRun,
        _ if info.has_not_run => AnswerClass::NotRun,
        200..=299 if info.is_signed && info.request_id.is_some() => AnswerClass::Answer,
        200..=299 => AnswerClass::Invalid,
        408 | 429 | 503 => AnswerClass::UnconfirmedRefusal,
        300..=599 => AnswerClass::Answer,
        _ => AnswerClass::Invalid,
    }
}

/// Returns what the status of a complete answer says of the endpoint. Status 504 states that the
/// request's time is over, 501 that the request asks for what the endpoint does not offer.
fn answer_outcome(status: u16) -> CallOutcome {
    match status {
        500 | 502 | 505..=599 => CallOutcome::AnsweredWithFailure,
        _ => CallOutcome::Answered,
    }
}

/// Counts a call at an endpoint as in flight until it is dropped, then records the outcome.
struct CallGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    endpoint: InstanceId,
    started_at: Instant,
    outcome: Cell<CallOutcome>,
    attempt: Attempt,
    /// The work of the call, if its time can be compared.
    work: Option<ExpectedWork>,
    /// Tokens of the answer.
    answer_tokens: Cell<u64>,
}

impl<D: Dialect> Drop for CallGuard<D> {
    fn drop(&mut self) {
        let now = Instant::now();
        let duration = now.duration_since(self.started_at);
        let mut endpoints = self.gateway.endpoints.borrow_mut();
        endpoints.finish_call(now, &self.endpoint, duration, self.outcome.get());
        if let Some(work) = &self.work
            && self.outcome.get() == CallOutcome::Answered
        {
            let answer_tokens = self.answer_tokens.get();
            endpoints.measure_call(now, &self.endpoint, work, duration, answer_tokens);
        }
        drop(endpoints);
        self.gateway
            .judge_attempt(&self.endpoint, &self.attempt, self.outcome.get());
    }
}

/// An answer whose head has been read.
pub(crate) struct Exchange<D: Dialect> {
    pub(crate) head: ResponseHead,
    pub(crate) endpoint: InstanceId,
    open: EndpointConnection,
    decoder: BodyDecoder,
    /// Whether the whole request was written before the head of the answer arrived.
    is_written: bool,
    /// Whether the answer names its request.
    has_request_id: bool,
    guard: CallGuard<D>,
    /// Bytes of the body that were read.
    body_bytes: u64,
}

impl<D: Dialect> Exchange<D> {
    /// Bytes of the body that were read.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Returns an empty buffer's share of the gateway's memory.
    pub(crate) fn buffer(&self) -> BufferShare {
        self.guard.gateway.buffers.buffer()
    }

    /// Appends the next bytes of the body to `out` and returns whether the body is complete.
    pub(crate) async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, Failure> {
        let before = out.len();
        let read = self.open.connection.read_body(&mut self.decoder, out).await;
        self.body_bytes += (out.len() - before) as u64;
        read.map_err(|error| {
            let failure = match error {
                BodyError::Malformed => Failure::may_have_run("the endpoint's answer is malformed"),
                BodyError::Truncated => Failure::disconnected("the endpoint broke off its answer"),
                BodyError::ConnectionReset => {
                    Failure::disconnected("the connection broke during the answer")
                }
                BodyError::ConnectionFailed => {
                    Failure::may_have_run("the connection broke during the answer")
                }
            };
            self.guard.outcome.set(failure.outcome());
            failure
        })?;
        Ok(self.decoder.is_done())
    }

    /// Records how many tokens the answer has.
    pub(crate) fn record_answer_tokens(&self, tokens: u64) {
        self.guard.answer_tokens.set(tokens);
    }

    /// Records that the endpoint failed to send a complete answer.
    pub(crate) fn record_failure(&self) {
        self.guard.outcome.set(CallOutcome::Failed);
    }

    /// Records that the body ended in the wrong place. Without a length or chunks, its end is that of
    /// the connection.
    pub(crate) fn record_wrong_end(&self) {
        self.guard.outcome.set(match self.head.framing {
            Framing::UntilClose => CallOutcome::Disconnected,
            _ => CallOutcome::Failed,
        });
    }

    /// Reads the whole body.
    ///
    /// An answer is not passed on before its end is known: a broken one can then still be replaced by
    /// that of another endpoint, and the client never gets a part of it.
    pub(crate) async fn read_all(&mut self) -> Result<Vec<u8>, Failure> {
        let too_large = Failure::may_have_run("the endpoint's answer is too large");
        let is_announced = |length| length > MAX_ANSWER_BYTES as u64;
        if matches!(self.head.framing, Framing::Length(length) if is_announced(length)) {
            self.record_failure();
            return Err(too_large);
        }
        let buffer = self.buffer();
        let mut body = Vec::new();
        while !self.decoder.is_done() {
            self.read(&mut body).await?;
            if body.len() > MAX_ANSWER_BYTES {
                self.record_failure();
                return Err(too_large);
            }
            if !buffer.resize(body.capacity()) {
                self.record_failure();
                return Err(Failure::may_have_run("the gateway's buffers are full"));
            }
        }
        Ok(body)
    }

    /// Records the outcome and returns the connection to the pool if it can be reused. An endpoint
    /// that leaves out ids gets each request on a new connection, where its answer is certain.
    pub(crate) fn finish(self, outcome: CallOutcome) {
        self.guard.outcome.set(outcome);
        let is_clean =
            self.open.connection.unread().is_empty() && self.is_written && self.has_request_id;
        let takes_calls = {
            let endpoints = self.guard.gateway.endpoints.borrow();
            endpoints.takes_calls(&self.endpoint)
        };
        if is_clean && takes_calls && self.head.keep_alive && self.decoder.is_done() {
            let pool = &self.guard.gateway.pool;
            let idle_timeout = self.head.idle_timeout;
            pool.put(Instant::now(), &self.endpoint, self.open, idle_timeout);
        }
    }
}

impl<D: Dialect> Gateway<D> {
    /// Sends a request to endpoints of its service until one answers.
    ///
    /// After an attempt that may have run, only idempotent requests and streams that can be resumed
    /// are retried. Endpoints to which the request was sent earlier are not chosen again.
    pub(crate) async fn send(
        self: &Rc<Self>,
        outgoing: &OutgoingRequest<'_>,
    ) -> Result<EndpointAnswer<D>, Failure> {
        let call = outgoing.call;
        let is_retryable = call.route.is_retryable();
        let mut last = self.no_endpoint();
        let mut failed_answer = None;
        while call.send_count.get() < call.route.max_attempts.max(1)
            && call.tried.borrow().len() < MAX_ENDPOINTS_TRIED
        {
            if let Err(failure) = self.obtain_token(call).await {
                if last.execution == Execution::NotRun {
                    return Err(failure);
                }
                break;
            }
            let endpoint = match self.next_endpoint(outgoing).await {
                Ok(endpoint) => endpoint,
                Err(failure) => {
                    let is_limited = matches!(failure.cause, FailureCause::RateLimited(_));
                    if is_limited && last.execution == Execution::NotRun {
                        last = failure;
                    }
                    break;
                }
            };
            if let Some(quarantined) = self.check_quarantine(call) {
                // An earlier attempt of the call may have run.
                if last.execution == Execution::NotRun {
                    return Err(quarantined);
                }
                break;
            }
            if let Some(late) = self.check_lateness(call) {
                return Err(late);
            }
            if self.has_expired_token(call) {
                // The wait for a permit was longer than the life of the token.
                continue;
            }
            call.tried.borrow_mut().push(endpoint.id.clone());
            let token_expires_at = call.token_expires_at.get();
            match self.send_once(outgoing, &endpoint).await {
                Ok(answer) if self.may_replace(call, &endpoint, &answer) => {
                    crate::event!("failure_retried", "request" => call.id(),
                        "endpoint" => &*endpoint.id, "left_ms" => call.time_left().as_millis());
                    self.counters.record_retried_failure();
                    last = Failure::may_have_run("the endpoint failed the request");
                    failed_answer = Some(answer);
                }
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    if failure.execution == Execution::NotRun {
                        // An attempt that no endpoint runs does not count towards the quota.
                        call.token_expires_at.set(token_expires_at);
                    }
                    crate::event!("attempt_failed", "request" => call.id(),
                        "endpoint" => &*endpoint.id, "reason" => failure.reason,
                        "execution" => failure.execution.to_string(),
                        "left_ms" => call.time_left().as_millis());
                    // Once an attempt may have run, a later refusal does not change that.
                    if last.execution == Execution::NotRun {
                        last = failure;
                    }
                    call.execution.set(last.execution);
                    let may_run_elsewhere = last.execution == Execution::NotRun || is_retryable;
                    if !may_run_elsewhere || failure.is_account_refused() {
                        break;
                    }
                }
            }
        }
        if let Some(answer) = failed_answer {
            return Ok(answer);
        }
        let takes_calls = self.endpoints.borrow().has_endpoint(outgoing.service);
        if last.execution == Execution::NotRun && !takes_calls {
            return Err(self.no_endpoint());
        }
        Err(last)
    }

    /// Returns whether a failing endpoint failed an idempotent call that may be sent elsewhere. A
    /// failure of an endpoint that is not failing is the answer of what it runs.
    fn may_replace(
        &self,
        call: &Call,
        endpoint: &EndpointRecord,
        answer: &EndpointAnswer<D>,
    ) -> bool {
        let EndpointAnswer::Whole { head, .. } = answer else {
            return false;
        };
        call.route.kind == RouteKind::Idempotent
            && answer_outcome(head.status) == CallOutcome::AnsweredWithFailure
            && call.send_count.get() < call.route.max_attempts
            && self.endpoints.borrow().is_failing(&endpoint.id)
    }

    /// Sends a request to one endpoint.
    async fn send_once(
        self: &Rc<Self>,
        outgoing: &OutgoingRequest<'_>,
        endpoint: &EndpointRecord,
    ) -> Result<EndpointAnswer<D>, Failure> {
        let call = outgoing.call;
        let work = self.expected_work(outgoing, endpoint);
        self.endpoints.borrow_mut().begin_call(&endpoint.id);
        let guard = CallGuard {
            gateway: self.clone(),
            endpoint: endpoint.id.clone(),
            started_at: Instant::now(),
            outcome: Cell::new(CallOutcome::Abandoned),
            attempt: Attempt::new(call, endpoint),
            work,
            answer_tokens: Cell::new(0),
        };
        // The answers to a request without an id cannot be told from others.
        let pooled = match call.id() {
            "" => None,
            _ => self.pool.take(Instant::now(), &endpoint.id, call.id()),
        };
        let expected = ExpectedAnswer {
            request_id: call.id(),
            is_first: pooled.is_none(),
        };
        let mut open = match pooled {
            Some(open) => open,
            None => match io_with_timeout(CONNECT_TIMEOUT, connect(endpoint.address)).await {
                Ok(stream) => EndpointConnection::new(Connection::new(stream)),
                Err(_) => {
                    guard.outcome.set(CallOutcome::Failed);
                    return Err(Failure::not_run("the endpoint can't be reached"));
                }
            },
        };
        // The endpoint may have announced that it leaves while the connection was opened.
        if !self.endpoints.borrow().takes_calls(&endpoint.id) {
            return Err(Failure::not_run("the endpoint is leaving"));
        }
        if let Some(failure) = self.recheck_account(call) {
            return Err(failure);
        }
        let request = self.request_bytes(outgoing, &endpoint.id);
        self.use_token(call);
        call.execution.set(Execution::MayHaveRun);
        call.send_count.set(call.send_count.get() + 1);
        call.endpoint.replace(Some(endpoint.id.clone()));
        call.sent_at.set(Some(Instant::now()));
        call.sent_bytes.set(outgoing.body.len());
        self.record_prompt(&endpoint.id, &call.info.prompt_parts);
        let is_written = Cell::new(false);
        let observe = |answer: &ObservedAnswer<'_>| {
            self.observe_leaving(call, endpoint, answer);
            self.observe_rate_limit(call, endpoint, answer);
            self.observe_slowdown(endpoint, answer);
        };
        let exchange = exchange::<D>(
            &mut open.connection,
            &request,
            expected,
            &is_written,
            &observe,
        );
        let may_send_again = call.send_count.get() < call.route.max_attempts;
        let is_idempotent = call.route.kind == RouteKind::Idempotent;
        let answered = if is_idempotent && may_send_again && call.time_left() > RETRY_TIMEOUT * 2 {
            let answered = with_timeout(RETRY_TIMEOUT, exchange).await;
            let timeout = Failure::may_have_run("the endpoint did not answer in time");
            answered.unwrap_or(Err(timeout))
        } else {
            exchange.await
        };
        let (head, info) = answered.inspect_err(|failure| guard.outcome.set(failure.outcome()))?;
        guard.attempt.observe_head(&head, &info);
        call.answered_at.set(Some(Instant::now()));
        call.framing.set(Some(head.framing));
        let mut exchange = Exchange {
            decoder: BodyDecoder::new(head.framing),
            head,
            endpoint: endpoint.id.clone(),
            open,
            is_written: is_written.get(),
            has_request_id: info.request_id.is_some(),
            guard,
            body_bytes: 0,
        };
        match classify(exchange.head.status, &info) {
            AnswerClass::Answer if is_stream(call, &exchange.head) => {
                Ok(EndpointAnswer::Stream(Box::new(exchange)))
            }
            AnswerClass::Answer => {
                let body = exchange.read_all().await?;
                let head = exchange.head.clone();
                exchange.finish(answer_outcome(head.status));
                Ok(EndpointAnswer::Whole { head, body })
            }
            AnswerClass::NotRun => {
                // The body of a refusal is read only so that the connection can be reused.
                exchange.guard.outcome.set(CallOutcome::Refused);
                if exchange.read_all().await.is_ok() {
                    exchange.open.refused_ids.push(call.id().to_owned());
                    exchange.finish(CallOutcome::Refused);
                }
                Err(Failure::not_run("the endpoint refused the request"))
            }
            AnswerClass::UnconfirmedRefusal => {
                exchange.guard.outcome.set(CallOutcome::Failed);
                Err(Failure::may_have_run("the endpoint failed the request"))
            }
            AnswerClass::Invalid => {
                exchange.guard.outcome.set(CallOutcome::Failed);
                Err(Failure::may_have_run("the endpoint sent no valid answer"))
            }
        }
    }
}

/// An endpoint's answer to a request.
pub(crate) enum EndpointAnswer<D: Dialect> {
    /// A stream whose body has not been read yet.
    Stream(Box<Exchange<D>>),
    /// An answer with its complete body.
    Whole { head: ResponseHead, body: Vec<u8> },
}

/// Returns whether an answer is a stream. One without a body must not be forwarded in chunks.
fn is_stream(call: &Call, head: &ResponseHead) -> bool {
    call.route.kind == RouteKind::Streaming
        && (200..300).contains(&head.status)
        && head.framing != Framing::Empty
}

/// Writes a request while reading the head of its answer.
///
/// Both run concurrently because an endpoint may answer and close the connection before it has
/// read the whole request.
async fn exchange<D: Dialect>(
    connection: &mut Connection,
    request: &[u8],
    expected: ExpectedAnswer<'_>,
    is_written: &Cell<bool>,
    observe: &impl Fn(&ObservedAnswer<'_>),
) -> Result<(ResponseHead, AnswerInfo), Failure> {
    let mut writer = connection.writer();
    let write = async {
        // The read reports a failed write, unless the endpoint has already answered.
        is_written.set(writer.write_all(request).await.is_ok());
        future::pending().await
    };
    let read = read_matching_answer::<D>(connection, expected, observe);
    future::or(read, write).await
}
