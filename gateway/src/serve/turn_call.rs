//! Streaming requests and the turns of programs. The history is read before the run, the budget is
//! checked before the first token, and a turn that can be continued is stored before the stream
//! ends.

use crate::dialect::Dialect;
use crate::limits::MAX_TURN_INPUT_BYTES;
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::routes::Retention;
use crate::serve::call::Call;
use crate::serve::event_stream::{ForwardedStream, StreamForwarder};
use crate::serve::forward::{EndpointAnswer, Exchange, OutgoingRequest};
use crate::serve::reply::{Refusal, Reply};
use crate::serve::stream::LAST_EVENT_ID;
use crate::turns::ledger::Denial;
use crate::turns::record::CompletedTurn;
use crate::turns::reserved_turn::ReservedTurn;
use crate::turns::scope::MAX_PREFIX_BYTES;
use std::rc::Rc;
use std::time::Duration;

/// Maximum wait for the confirmation of a reservation before the turn runs.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum length of a turn id.
const MAX_TURN_ID_BYTES: usize = 200;

/// Maximum length of a key in the store, which holds a turn id with prefixes.
const MAX_KEY_BYTES: usize = 255;

/// Maximum length of the prefix of a key, besides that of the account.
const MAX_KEY_PREFIX_BYTES: usize = 3;

const _: () = assert!(MAX_TURN_ID_BYTES + MAX_PREFIX_BYTES + MAX_KEY_PREFIX_BYTES <= MAX_KEY_BYTES);

/// Estimated length of an answer if the client gives none.
const DEFAULT_ANSWER_TOKENS: u32 = 70;

/// A turn that is ready to be sent to an endpoint.
struct PreparedTurn<D: Dialect> {
    /// History and input, in the form that endpoints receive.
    body: Vec<u8>,
    reserved: Option<ReservedTurn<D>>,
}

impl<D: Dialect> Gateway<D> {
    /// Serves a request that is answered with a stream.
    pub(crate) async fn serve_stream(self: &Rc<Self>, call: &Call, reply: &Reply) {
        let service = call.route.pick_service(&mut self.rng.borrow_mut());
        let prepared = if self.endpoints.borrow().has_endpoint(&service) {
            match self.admit_program(call, &service) {
                Ok(()) => self.prepare(call, &service).await,
                Err(refusal) => Err(refusal),
            }
        } else {
            Err(self.no_endpoint().refusal(call))
        };
        let prepared = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => {
                crate::event!("turn_refused", "request" => call.id(), "status" => refusal.status,
                    "reason" => refusal.reason);
                return reply.refuse(&refusal).await;
            }
        };
        let outgoing = OutgoingRequest {
            call,
            service: &service,
            body: &prepared.body,
            prompt_tokens: call.info.tokens.map_or(0, |(prompt, _)| prompt),
            answer_tokens: call.info.answer_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
            resume_after: None,
        };
        match self.send(&outgoing).await {
            Ok(EndpointAnswer::Stream(exchange)) => {
                let reserved = prepared.reserved.as_ref();
                self.forward_turn(&outgoing, reply, exchange, reserved)
                    .await;
            }
            Ok(EndpointAnswer::Whole { head, body }) => {
                let written = reply.write_answer(head.status, &head.reason, &head.headers, &body);
                written.await;
            }
            Err(failure) => reply.refuse(&failure.refusal(call)).await,
        }
    }

    /// Looks up a turn's history and reserves its tokens.
    async fn prepare(
        self: &Rc<Self>,
        call: &Call,
        service: &str,
    ) -> Result<PreparedTurn<D>, Refusal> {
        if call.route.retention.is_some() && call.body.len() > MAX_TURN_INPUT_BYTES {
            return Err(Refusal::new(413, "the turn is too large to be kept"));
        }
        if let Some(reason) = turn_error(call) {
            return Err(Refusal::new(400, reason));
        }
        if !is_accounted(call) {
            return Ok(PreparedTurn {
                body: call.body.clone(),
                reserved: None,
            });
        }
        let reserved = ReservedTurn::new(self, call, service);
        if call.route.retention.is_none() && call.info.budget_tokens.is_none() {
            // There is nothing to look up, and its tokens are recorded once it has ended.
            return Ok(PreparedTurn {
                body: call.body.clone(),
                reserved: Some(reserved),
            });
        }
        let started = match self.start_turn(&reserved).await {
            Ok(started) => started,
            Err(denial) => {
                reserved.end_denied(denial);
                return Err(refusal(call, denial));
            }
        };
        reserved.set_reservation(started.reservation);
        if let Some(endpoint) = &started.history.endpoint {
            self.record_prompt(endpoint, &started.history.prompt_parts);
        }
        if !started.may_run_early {
            match with_timeout(RESERVATION_TIMEOUT, reserved.wait_for_confirmation()).await {
                Some(true) => {}
                Some(false) => return Err(refusal(call, Denial::BudgetExhausted)),
                None => return Err(refusal(call, Denial::ReadTimedOut)),
            }
        }
        let mut body = started.history.text;
        body.extend_from_slice(&call.body);
        Ok(PreparedTurn {
            body,
            reserved: Some(reserved),
        })
    }

    /// Forwards the stream of a turn. The end of the stream waits until the turn is stored.
    async fn forward_turn(
        self: &Rc<Self>,
        outgoing: &OutgoingRequest<'_>,
        reply: &Reply,
        exchange: Box<Exchange<D>>,
        reserved: Option<&ReservedTurn<D>>,
    ) {
        let call = outgoing.call;
        if let Some(reserved) = reserved
            && !reserved.wait_for_confirmation().await
        {
            // The turn has started to run, so the reply must not claim otherwise.
            drop(exchange);
            return reply
                .refuse(&Refusal::new(502, "the budget is spent"))
                .await;
        }
        let forwarder = StreamForwarder::new(self, outgoing, reply, reserved);
        let Some(forwarded) = forwarder.forward(exchange).await else {
            return reply.abort();
        };
        if let Some(reserved) = reserved {
            match call.route.retention {
                Some(retention) => {
                    self.complete(call, reserved, retention, forwarded).await;
                }
                // Only later turns need the settlement, and until then the reservation counts.
                None => reserved.settle(),
            }
        }
        // A closed client connection is visible in the reply's state.
        let _ = reply.finish().await;
    }

    /// Stores a completed turn. Returns once the store has acknowledged it.
    async fn complete(
        self: &Rc<Self>,
        call: &Call,
        reserved: &ReservedTurn<D>,
        retention: Retention,
        forwarded: ForwardedStream,
    ) {
        let ForwardedStream { endpoint, text } = forwarded;
        let spent_tokens = reserved.spent_tokens();
        let mut prompt_parts = call.info.prompt_parts.clone();
        if let Some((_, tokens)) = prompt_parts.last_mut() {
            *tokens += u32::try_from(spent_tokens).unwrap_or(u32::MAX);
        }
        self.record_prompt(&endpoint, &prompt_parts);
        let completed = CompletedTurn {
            program: reserved.new_turn.program.clone(),
            spent_tokens,
            previous: reserved.new_turn.previous.clone(),
            account: call
                .account
                .as_ref()
                .map(|account| account.name.to_string()),
            endpoint: endpoint.to_string(),
            prompt_parts,
            retention_ms: retention.duration.as_millis() as u64,
            text,
        };
        reserved.mark_settled();
        self.complete_turn(&reserved.new_turn.turn, completed).await;
    }
}

/// Returns whether the turn's tokens or its history are recorded in the store.
fn is_accounted(call: &Call) -> bool {
    call.route.retention.is_some() || call.info.program.is_some()
}

/// Returns the reason why a turn cannot be served as the client means it.
fn turn_error(call: &Call) -> Option<&'static str> {
    let info = &call.info;
    let has_budget = info.budget_tokens.is_some();
    if info.has_malformed_budget {
        Some("the token budget is malformed")
    } else if is_accounted(call) && call.id().is_empty() {
        Some("a turn needs a request id")
    } else if is_accounted(call) && call.id().len() > MAX_TURN_ID_BYTES {
        Some("the request id is too long")
    } else if let Err(reason) = check_resume(call) {
        Some(reason)
    } else if has_budget && info.program.is_none() {
        Some("a token budget needs a program")
    } else if has_budget && info.tokens.is_none() {
        Some("a token budget needs the turn's token counts")
    } else {
        None
    }
}

/// Checks whether a client that asks for the rest of a stream can get it.
fn check_resume(call: &Call) -> Result<(), &'static str> {
    let mut headers = call.head.headers.iter();
    if !headers.any(|header| header.is(LAST_EVENT_ID)) {
        return Ok(());
    }
    if !call.route.is_resumable {
        return Err("the route's streams cannot be resumed");
    }
    if call.route.retention.is_some() {
        // The gateway would not know the whole text of the turn.
        return Err("a turn that can be continued cannot be resumed");
    }
    let id = call.last_event_id();
    id.map(|_| ()).ok_or("the last event id is not a number")
}

fn refusal(call: &Call, denial: Denial) -> Refusal {
    match denial {
        Denial::NoSuchTurn => Refusal::new(404, "no such turn"),
        Denial::BudgetExhausted => Refusal::new(402, "the program's budget is spent"),
        Denial::DuplicateTurn => Refusal::new(400, "the request id was used before"),
        Denial::StoreUnavailable => call.refuse_during_outage("the store does not answer"),
        Denial::StoreBacklogged => call.refuse_during_outage("too much waits for the store"),
        Denial::ReadTimedOut => call.refuse_during_outage("the turns have not been read in time"),
    }
}
