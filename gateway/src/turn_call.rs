//! Turns of programs: history before the run, budget before the tokens, record before the end.

use crate::call::Call;
use crate::dialect::Dialect;
use crate::endpoints::CallOutcome;
use crate::forward::{EndpointAnswer, Exchange, OutgoingRequest};
use crate::ledger::{Denial, NewTurn, Reservation};
use crate::net::with_timeout;
use crate::node::{Busy, Gateway};
use crate::record::KeptTurn;
use crate::reply::{Refusal, Reply};
use crate::stream::{EventSplitter, append_data};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

/// Part of a client's patience after which it should come back while the store is lost: outages
/// last seconds, and clients wait no longer than a third.
const STORE_RETRY_SHARE: f64 = 0.33;

/// Part of that time over which callers return one after the other.
const STORE_RETRY_SPREAD: f64 = 0.25;

/// Longest wait for the word that a reservation holds, before the turn has run.
const RESERVATION_LIMIT: Duration = Duration::from_millis(1_200);

/// Longest id of a turn: keys of the store's topics have 255 bytes at most, and some are taken.
const MAX_ID_BYTES: usize = 200;

/// Tokens expected of an answer whose client gave no estimate.
const USUAL_ANSWER_TOKENS: u32 = 70;

/// What is known of a turn before it runs.
struct Prepared<D: Dialect> {
    /// Its history and its input, as the endpoint is to receive them.
    body: Vec<u8>,
    reserved: Option<ReservedTurn<D>>,
}

/// A turn whose tokens are put aside; settled when this is dropped unless the turn was kept.
struct ReservedTurn<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    new: NewTurn,
    reservation: OnceCell<Reservation>,
    /// Whether the reservation holds, once that is known.
    verdict: Cell<Option<bool>>,
    spent_tokens: Cell<u64>,
    /// Whether nothing is left to settle: the turn was kept or never reserved.
    is_settled: Cell<bool>,
}

impl<D: Dialect> Drop for ReservedTurn<D> {
    fn drop(&mut self) {
        if self.is_settled.get() || self.new.budget_tokens.is_none() {
            return;
        }
        let gateway = self.gateway.clone();
        let NewTurn { turn, program, .. } = self.new.clone();
        let spent_tokens = self.spent_tokens.get();
        let executor = gateway.executor.clone();
        let busy = Busy::new(&gateway.settling);
        let settle = async move {
            gateway.settle_turn(&turn, program, spent_tokens).await;
            drop(busy);
        };
        executor.spawn(settle).detach();
    }
}

impl<D: Dialect> ReservedTurn<D> {
    fn new(gateway: &Rc<Gateway<D>>, call: &Call) -> Self {
        let new = NewTurn {
            turn: call.id().to_owned(),
            program: call.info.program.clone().unwrap_or_default(),
            previous: call.info.previous_turn.clone(),
            max_tokens: call.info.tokens.map_or(0, |(_, most)| u64::from(most)),
            budget_tokens: call.info.budget_tokens,
            patience_ms: call.time_left().as_millis() as u64,
            is_asked_again: false,
        };
        Self {
            gateway: gateway.clone(),
            new,
            reservation: OnceCell::new(),
            verdict: Cell::new(None),
            spent_tokens: Cell::new(0),
            is_settled: Cell::new(false),
        }
    }

    /// Waits until it is known whether the reservation holds.
    async fn holds(&self) -> bool {
        if let Some(holds) = self.verdict.get() {
            return holds;
        }
        let Some(reservation) = self.reservation.get() else {
            return false;
        };
        let holds = self.gateway.holds(&self.new, reservation).await;
        self.verdict.set(Some(holds));
        holds
    }
}

impl<D: Dialect> Gateway<D> {
    /// Serves a request whose answer is a stream.
    pub(crate) async fn serve_stream(self: &Rc<Self>, call: &Call, reply: &Reply) {
        let prepared = match self.prepare(call).await {
            Ok(prepared) => prepared,
            Err(refusal) => {
                crate::event!("turn_refused", "request" => call.id(), "status" => refusal.status,
                    "reason" => refusal.reason);
                return reply.refuse(&refusal).await;
            }
        };
        let service = call.route.pick_service(&mut self.rng.borrow_mut());
        let outgoing = OutgoingRequest {
            call,
            service: &service,
            body: &prepared.body,
            prompt_tokens: call.info.tokens.map_or(0, |(prompt, _)| prompt),
            answer_tokens: call.info.answer_tokens.unwrap_or(USUAL_ANSWER_TOKENS),
        };
        match self.send(&outgoing).await {
            Ok(EndpointAnswer::Stream(exchange)) => {
                self.pass_stream(call, reply, exchange, &prepared, &service)
                    .await;
            }
            Ok(EndpointAnswer::Whole { head, body }) => {
                let passed = reply.write_answer(head.status, &head.reason, &head.headers, &body);
                passed.await;
            }
            Err(failure) => reply.refuse(&failure.refusal()).await,
        }
    }

    /// Finds a turn's history and puts its tokens aside.
    async fn prepare(self: &Rc<Self>, call: &Call) -> Result<Prepared<D>, Refusal> {
        if call.route.retention.is_none() {
            return Ok(Prepared {
                body: call.body.clone(),
                reserved: None,
            });
        }
        if call.id().is_empty() {
            return Err(Refusal::new(400, "a turn needs a request id"));
        }
        if call.id().len() > MAX_ID_BYTES {
            return Err(Refusal::new(400, "the request id is too long"));
        }
        let reserved = ReservedTurn::new(self, call);
        let begun = match self.begin_turn(&reserved.new).await {
            Ok(begun) => begun,
            Err(denial) => {
                reserved.is_settled.set(true);
                return Err(refusal(call, denial));
            }
        };
        // Set once, here.
        let _ = reserved.reservation.set(begun.reservation);
        if let Some(endpoint) = &begun.history.endpoint {
            self.remember_prompt(endpoint, &begun.history.prompt_parts);
        }
        if !begun.is_ample {
            match with_timeout(RESERVATION_LIMIT, reserved.holds()).await {
                Some(true) => {}
                Some(false) => return Err(refusal(call, Denial::Spent)),
                None => return Err(refusal(call, Denial::NotRead)),
            }
        }
        let mut body = begun.history.text;
        body.extend_from_slice(&call.body);
        Ok(Prepared {
            body,
            reserved: Some(reserved),
        })
    }

    /// Passes a stream on, event by event; its end waits until the turn is kept.
    async fn pass_stream(
        self: &Rc<Self>,
        call: &Call,
        reply: &Reply,
        mut exchange: Box<Exchange<D>>,
        prepared: &Prepared<D>,
        service: &str,
    ) {
        if let Some(reserved) = &prepared.reserved
            && !reserved.holds().await
        {
            // It has begun to run, so it must not be said that it has not.
            drop(exchange);
            return reply
                .refuse(&Refusal::new(502, "the budget is spent"))
                .await;
        }
        let head = &exchange.head;
        let begun = reply
            .start_chunked(head.status, &head.reason, &head.headers)
            .await;
        if begun.is_err() {
            return;
        }
        let mut text = call.body.clone();
        let passed = self.pass_events(reply, &mut exchange, prepared, service, &mut text);
        if let Err(reason) = passed.await {
            crate::event!("stream_broken", "request" => call.id(),
                "endpoint" => &*exchange.endpoint, "reason" => reason);
            return reply.abort();
        }
        let endpoint = exchange.endpoint.clone();
        exchange.finish(CallOutcome::Answered);
        if let Some(reserved) = &prepared.reserved {
            self.keep(call, reserved, &endpoint, text).await;
        }
        // The client's close shows in the reply's state.
        let _ = reply.finish().await;
    }

    async fn pass_events(
        &self,
        reply: &Reply,
        exchange: &mut Exchange<D>,
        prepared: &Prepared<D>,
        service: &str,
        text: &mut Vec<u8>,
    ) -> Result<(), &'static str> {
        let tokens_per_event = self.tokens_per_event(service);
        let mut splitter = EventSplitter::default();
        let mut bytes = Vec::new();
        loop {
            let is_over = exchange.read(&mut bytes).await;
            let is_over = is_over.map_err(|failure| failure.reason)?;
            splitter.push(&bytes);
            bytes.clear();
            let mut events = Vec::new();
            let mut count = 0;
            while let Some(event) = splitter.next_event() {
                count += u64::from(append_data(&event, text));
                events.extend_from_slice(&event);
            }
            if is_over {
                let rest = splitter.rest();
                count += u64::from(append_data(&rest, text));
                events.extend_from_slice(&rest);
            }
            if let Some(reserved) = &prepared.reserved {
                let spent = reserved.spent_tokens.get() + count * tokens_per_event;
                reserved.spent_tokens.set(spent);
            }
            let written = reply.write_chunk(&events).await;
            written.map_err(|_| "the client closed the connection")?;
            if is_over {
                return Ok(());
            }
        }
    }

    fn tokens_per_event(&self, service: &str) -> u64 {
        let routes = self.routes.borrow();
        let engine = routes.service(service).and_then(|service| service.engine);
        engine.map_or(1, |engine| u64::from(engine.tokens_per_event.max(1)))
    }

    /// Keeps a turn that ended whole; returns once it stands in the store.
    async fn keep(
        self: &Rc<Self>,
        call: &Call,
        reserved: &ReservedTurn<D>,
        endpoint: &str,
        text: Vec<u8>,
    ) {
        let spent_tokens = reserved.spent_tokens.get();
        let mut prompt_parts = call.info.prompt_parts.clone();
        if let Some((_, tokens)) = prompt_parts.last_mut() {
            *tokens += u32::try_from(spent_tokens).unwrap_or(u32::MAX);
        }
        self.remember_prompt(endpoint, &prompt_parts);
        let retention = call.route.retention;
        let kept = KeptTurn {
            program: reserved.new.program.clone(),
            spent_tokens,
            previous: call.info.previous_turn.clone(),
            endpoint: endpoint.to_owned(),
            prompt_parts,
            keep_ms: retention.map_or(0, |retention| retention.keep.as_millis() as u64),
            text,
        };
        reserved.is_settled.set(true);
        self.keep_turn(call.id(), kept).await;
    }
}

fn refusal(call: &Call, denial: Denial) -> Refusal {
    match denial {
        Denial::NoSuchTurn => Refusal::new(404, "no such turn"),
        Denial::Spent => Refusal::new(402, "the program's budget is spent"),
        Denial::UsedBefore => Refusal::new(400, "the request id was used before"),
        Denial::StoreLost => store_refusal(call, "the store does not answer"),
        Denial::StoreBehind => store_refusal(call, "too much waits for the store"),
        Denial::NotRead => store_refusal(call, "the turns have not been read in time"),
    }
}

fn store_refusal(call: &Call, reason: &'static str) -> Refusal {
    let earlier = 1.0 - STORE_RETRY_SPREAD * fastrand::f64();
    let after = call.time_left().mul_f64(STORE_RETRY_SHARE * earlier);
    Refusal::retry_later(after, reason)
}
