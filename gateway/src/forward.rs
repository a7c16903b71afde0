//! One request at one endpoint, and what its outcome says of whether it has run.

#[cfg(test)]
mod tests;

use crate::call::Call;
use crate::dialect::{AnswerInfo, Dialect, Dispatch};
use crate::endpoints::{CallEnd, EndpointRecord, InstanceId, Want};
use crate::http::{BodyDecoder, Header, ResponseHead, Wire, connection_tokens, is_hop_header};
use crate::net::{connect, in_time, within};
use crate::node::Gateway;
use crate::reply::Refusal;
use crate::routes::RouteKind;
use futures_lite::future;
use smallvec::SmallVec;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time to connect to an endpoint: a lost packet is sent again once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Endpoints tried for one request at most, those included that could not be reached.
const MAX_TRIES: usize = 4;

/// Answers to earlier requests that are skipped on a connection before it counts as broken.
const MAX_STRAY_ANSWERS: u32 = 3;

/// When a client should come back if all endpoints are full: a part of a call's usual time.
const FULL_RETRY: Duration = Duration::from_millis(150);

/// Time after which a repeatable request without an answer is sent to another endpoint: several
/// times a usual call.
const REPEAT_AFTER: Duration = Duration::from_millis(450);

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Execution {
    /// No endpoint has run it or will.
    NotRun,
    /// One may have, or may yet.
    MayHaveRun,
}

/// Why a request got no answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) execution: Execution,
    pub(crate) reason: &'static str,
}

impl Failure {
    const fn not_run(reason: &'static str) -> Self {
        Self {
            execution: Execution::NotRun,
            reason,
        }
    }

    const fn may_have_run(reason: &'static str) -> Self {
        Self {
            execution: Execution::MayHaveRun,
            reason,
        }
    }

    /// What to tell the client.
    pub(crate) fn refusal(&self) -> Refusal {
        match self.execution {
            Execution::NotRun => {
                let spread = FULL_RETRY.mul_f64(0.5 + fastrand::f64());
                Refusal::come_back(spread, self.reason)
            }
            Execution::MayHaveRun => Refusal::new(502, self.reason),
        }
    }
}

/// What an answer's head means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Meaning {
    /// It is the endpoint's answer.
    Answer,
    /// The endpoint has not run the request.
    NotRun,
    /// The status promises what the endpoint doesn't.
    FalsePromise,
    /// It is not an answer to this request.
    Invalid,
}

/// Reads the meaning of an answer's head: the only place that decides whether a request ran.
pub(crate) fn classify(status: u16, info: &AnswerInfo) -> Meaning {
    match status {
        421 => Meaning::NotRun,
        _ if info.not_run => Meaning::NotRun,
        200..=299 if info.signed && info.request_id.is_some() => Meaning::Answer,
        200..=299 => Meaning::Invalid,
        408 | 429 | 503 => Meaning::FalsePromise,
        300..=599 => Meaning::Answer,
        _ => Meaning::Invalid,
    }
}

/// Counts a call at an endpoint from its begin to its end, however it ends.
struct CallCount<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    endpoint: InstanceId,
    begun_at: Instant,
    end: Cell<CallEnd>,
}

impl<D: Dialect> Drop for CallCount<D> {
    fn drop(&mut self) {
        let now = Instant::now();
        let took = now.duration_since(self.begun_at);
        let mut endpoints = self.gateway.endpoints.borrow_mut();
        endpoints.end(now, &self.endpoint, took, self.end.get());
    }
}

/// An answer that has begun.
pub(crate) struct Exchange<D: Dialect> {
    pub(crate) head: ResponseHead,
    pub(crate) endpoint: InstanceId,
    wire: Wire,
    decoder: BodyDecoder,
    /// Whether the whole request was written before the answer came.
    is_written: bool,
    count: CallCount<D>,
}

impl<D: Dialect> Exchange<D> {
    /// Reads more of the body into `out`; returns whether it is over.
    pub(crate) async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, Failure> {
        let read = self.wire.read_body(&mut self.decoder, out).await;
        if read.is_err() {
            self.count.end.set(CallEnd::Broken);
            return Err(Failure::may_have_run("the endpoint broke off its answer"));
        }
        Ok(self.decoder.is_done())
    }

    /// Reads the whole body.
    pub(crate) async fn read_all(&mut self) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        while !self.decoder.is_done() {
            self.read(&mut body).await?;
        }
        Ok(body)
    }

    /// Ends an answer that was read whole and keeps the connection where it can be used again.
    pub(crate) fn finish(self, end: CallEnd) {
        self.count.end.set(end);
        let is_clean = self.wire.unread().is_empty() && self.is_written;
        if is_clean && self.head.keep_alive && self.decoder.is_done() {
            let pool = &self.count.gateway.pool;
            let idle_limit = self.head.idle_limit;
            pool.put(Instant::now(), &self.endpoint, self.wire, idle_limit);
        }
    }
}

/// A request to be sent to an endpoint of a service.
#[derive(Clone, Copy)]
pub(crate) struct Outgoing<'a> {
    pub(crate) call: &'a Call,
    pub(crate) service: &'a str,
    pub(crate) body: &'a [u8],
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
}

impl<D: Dialect> Gateway<D> {
    /// Sends a request to endpoints of its service until one answers, as far as it may be
    /// repeated.
    pub(crate) async fn send(self: &Rc<Self>, outgoing: &Outgoing<'_>) -> Result<Sent<D>, Failure> {
        let call = outgoing.call;
        let may_repeat = call.route.kind == RouteKind::Idempotent;
        let mut tried: SmallVec<[InstanceId; MAX_TRIES]> = SmallVec::new();
        let mut sends = 0;
        let mut last = Failure::not_run("no endpoint of the service is known");
        while sends < call.route.max_attempts.max(1) && tried.len() < MAX_TRIES {
            let Some(endpoint) = self.choose(outgoing, &tried) else {
                break;
            };
            tried.push(endpoint.id.clone());
            let attempts_left = call.route.max_attempts.saturating_sub(sends + 1);
            let sent = self.send_once(outgoing, &endpoint, may_repeat, attempts_left);
            match sent.await {
                Ok(sent) => return Ok(sent),
                Err((failure, was_sent)) => {
                    crate::event!("attempt_failed", "request" => call.id(),
                        "endpoint" => &*endpoint.id, "reason" => failure.reason,
                        "execution" => failure.execution.to_string(),
                        "left_ms" => call.time_left().as_millis());
                    sends += u32::from(was_sent);
                    // One send that may have run is enough: no later refusal takes it back.
                    if last.execution == Execution::NotRun {
                        last = failure;
                    }
                    call.execution.set(last.execution);
                    if last.execution == Execution::MayHaveRun && !may_repeat {
                        break;
                    }
                }
            }
        }
        Err(last)
    }

    fn choose(&self, outgoing: &Outgoing<'_>, tried: &[InstanceId]) -> Option<EndpointRecord> {
        let want = Want {
            service: outgoing.service,
            prompt_tokens: outgoing.prompt_tokens,
            answer_tokens: outgoing.answer_tokens,
            prompt_parts: &outgoing.call.info.prompt_parts,
            exclude: tried,
        };
        let near = &self.settings.failure_domain;
        let mut rng = self.rng.borrow_mut();
        let endpoints = self.endpoints.borrow();
        endpoints.choose(Instant::now(), &want, near, &mut rng)
    }

    /// Sends a request to one endpoint; an error also tells whether bytes of it were sent.
    async fn send_once(
        self: &Rc<Self>,
        outgoing: &Outgoing<'_>,
        endpoint: &EndpointRecord,
        may_repeat: bool,
        attempts_left: u32,
    ) -> Result<Sent<D>, (Failure, bool)> {
        let call = outgoing.call;
        self.endpoints.borrow_mut().begin(&endpoint.id);
        let count = CallCount {
            gateway: self.clone(),
            endpoint: endpoint.id.clone(),
            begun_at: Instant::now(),
            end: Cell::new(CallEnd::Abandoned),
        };
        let mut wire = match self.pool.take(Instant::now(), &endpoint.id) {
            Some(wire) => wire,
            None => match within(CONNECT_TIMEOUT, connect(endpoint.address)).await {
                Ok(stream) => Wire::new(stream),
                Err(_) => {
                    count.end.set(CallEnd::Broken);
                    return Err((Failure::not_run("the endpoint can't be reached"), false));
                }
            },
        };
        let request = self.request_bytes(outgoing, &endpoint.id);
        call.execution.set(Execution::MayHaveRun);
        call.endpoint.replace(Some(endpoint.id.clone()));
        call.sent_at.set(Some(Instant::now()));
        self.record_prompt(&endpoint.id, &call.info.prompt_parts);
        let is_written = Cell::new(false);
        let exchange = exchange::<D>(&mut wire, &request, call.id(), &is_written);
        let answered = if may_repeat && attempts_left > 0 && call.time_left() > REPEAT_AFTER * 2 {
            let answered = in_time(REPEAT_AFTER, exchange).await;
            let late = Failure::may_have_run("the endpoint did not answer in time");
            answered.unwrap_or(Err(late))
        } else {
            exchange.await
        };
        let (head, info) = answered.map_err(|failure| {
            count.end.set(CallEnd::Broken);
            (failure, true)
        })?;
        call.answered_at.set(Some(Instant::now()));
        let mut exchange = Exchange {
            decoder: BodyDecoder::new(head.framing),
            head,
            endpoint: endpoint.id.clone(),
            wire,
            is_written: is_written.get(),
            count,
        };
        match classify(exchange.head.status, &info) {
            Meaning::Answer if is_stream(call, exchange.head.status) => {
                Ok(Sent::Stream(Box::new(exchange)))
            }
            Meaning::Answer => {
                let body = exchange
                    .read_all()
                    .await
                    .map_err(|failure| (failure, true))?;
                let head = exchange.head.clone();
                exchange.finish(CallEnd::Answered);
                Ok(Sent::Whole { head, body })
            }
            Meaning::NotRun => {
                // What follows on the connection is of no use to anybody.
                exchange.count.end.set(CallEnd::Refused);
                if exchange.read_all().await.is_ok() {
                    exchange.finish(CallEnd::Refused);
                }
                Err((Failure::not_run("the endpoint refused the request"), true))
            }
            Meaning::FalsePromise => {
                exchange.count.end.set(CallEnd::Broken);
                Err((
                    Failure::may_have_run("the endpoint failed the request"),
                    true,
                ))
            }
            Meaning::Invalid => {
                exchange.count.end.set(CallEnd::Broken);
                Err((
                    Failure::may_have_run("the endpoint sent no valid answer"),
                    true,
                ))
            }
        }
    }

    /// The request as the endpoint is to receive it.
    fn request_bytes(&self, outgoing: &Outgoing<'_>, instance: &str) -> Vec<u8> {
        let call = outgoing.call;
        let head = &call.head;
        let mut bytes = Vec::with_capacity(512 + outgoing.body.len());
        let mut line = |text: &str| bytes.extend_from_slice(text.as_bytes());
        line(&head.method);
        line(" ");
        line(&head.target);
        line(" HTTP/1.1\r\n");
        let named = connection_tokens(&head.headers);
        for header in &head.headers {
            if is_forwarded::<D>(header, &named) {
                line(&header.name);
                line(": ");
                line(&header.value);
                line("\r\n");
            }
        }
        if head.framing != crate::http::Framing::Empty || !outgoing.body.is_empty() {
            line(&format!("Content-Length: {}\r\n", outgoing.body.len()));
        }
        let dispatch = Dispatch {
            time_left: call.time_left(),
            instance,
        };
        D::write_dispatch(&dispatch, &mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(outgoing.body);
        bytes
    }
}

/// What an endpoint answered.
pub(crate) enum Sent<D: Dialect> {
    /// A stream that has begun.
    Stream(Box<Exchange<D>>),
    /// A whole answer.
    Whole { head: ResponseHead, body: Vec<u8> },
}

fn is_stream(call: &Call, status: u16) -> bool {
    call.route.kind == RouteKind::Streaming && (200..300).contains(&status)
}

/// Tells whether a client's header goes on to the endpoint.
fn is_forwarded<D: Dialect>(header: &Header, named: &[String]) -> bool {
    !is_hop_header(&header.name, named)
        && !header.is("content-length")
        && !header.is("expect")
        && !D::is_reserved(&header.name)
}

/// Writes a request and reads the head of its answer.
///
/// An endpoint may answer before it has read the whole request, and then close.
async fn exchange<D: Dialect>(
    wire: &mut Wire,
    request: &[u8],
    request_id: &str,
    is_written: &Cell<bool>,
) -> Result<(ResponseHead, AnswerInfo), Failure> {
    let writer = Wire::new(wire.stream());
    let write = async {
        // A failed write shows as a failed read, or as an early answer.
        is_written.set(writer.write_all(request).await.is_ok());
        future::pending().await
    };
    future::or(read_own_answer::<D>(wire, request_id), write).await
}

/// Reads answers until one is not to another request.
async fn read_own_answer<D: Dialect>(
    wire: &mut Wire,
    request_id: &str,
) -> Result<(ResponseHead, AnswerInfo), Failure> {
    for _ in 0..MAX_STRAY_ANSWERS {
        let head = wire.read_response().await.map_err(|error| {
            Failure::may_have_run(match error.kind() {
                std::io::ErrorKind::InvalidData => "the endpoint sent no answer in the protocol",
                std::io::ErrorKind::UnexpectedEof => "the endpoint closed the connection",
                _ => "the connection to the endpoint broke",
            })
        })?;
        let info = D::read_answer(&head.headers);
        let is_stray = info.request_id.as_ref().is_some_and(|id| id != request_id);
        if !is_stray {
            return Ok((head, info));
        }
        crate::event!("stray_answer", "request" => request_id, "status" => head.status);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut dropped = Vec::new();
        while !decoder.is_done() {
            let read = wire.read_body(&mut decoder, &mut dropped).await;
            read.map_err(|_| Failure::may_have_run("a stray answer was broken off"))?;
            dropped.clear();
        }
    }
    Err(Failure::may_have_run(
        "the endpoint answers other requests only",
    ))
}
