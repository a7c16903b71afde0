//! Turns of programs: history before the run, budget before the tokens, record before the end.

use crate::call::Call;
use crate::commit::Ticket;
use crate::dialect::Dialect;
use crate::endpoints::CallEnd;
use crate::forward::{Exchange, Outgoing, Sent};
use crate::node::Gateway;
use crate::record::{KeptTurn, Reservation, TurnRecord};
use crate::reply::{Refusal, Reply};
use crate::stream::{EventSplitter, append_data};
use crate::turns::Chain;
use futures_lite::future;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Part of a client's patience after which it should come back while the store is lost: outages
/// last seconds, and clients wait no longer than a third.
const STORE_RETRY_SHARE: f64 = 0.33;

/// Part of that time over which callers return one after the other.
const STORE_RETRY_SPREAD: f64 = 0.25;

/// Part of a client's patience for which a turn waits for the store to come back before it is
/// refused: a turn that may yet be served is worth a wait, most of its time is left for the run.
const STORE_WAIT_SHARE: f64 = 0.25;

/// Longest wait for the word that a reservation holds, before the turn has run.
const RESERVATION_LIMIT: Duration = Duration::from_millis(1_200);

/// How long a turn waits to learn whether the turn before it exists.
const LOOKUP_LIMIT: Duration = Duration::from_millis(900);

/// Turns that a budget must hold beyond this one for it to run before its reservation is read
/// back: so many may be under way elsewhere without being known here.
const AMPLE_TURNS: u64 = 2;

/// Tokens expected of an answer whose client gave no estimate.
const USUAL_ANSWER_TOKENS: u32 = 70;

/// What is known of a turn before it runs.
struct Prepared<D: Dialect> {
    /// Its history and its input, as the endpoint is to receive them.
    body: Vec<u8>,
    reserved: Option<ReservedTurn<D>>,
}

/// A turn's tokens, put aside in the topic; settled when this is dropped unless the turn was kept.
struct ReservedTurn<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    turn: String,
    program: String,
    budget_tokens: Option<u64>,
    ticket: Option<Ticket>,
    spent_tokens: Cell<u64>,
    is_kept: Cell<bool>,
}

impl<D: Dialect> Drop for ReservedTurn<D> {
    fn drop(&mut self) {
        if self.is_kept.get() || self.ticket.is_none() && self.spent_tokens.get() == 0 {
            return;
        }
        let record = TurnRecord::Settled {
            program: self.program.clone(),
            spent_tokens: self.spent_tokens.get(),
            budget_tokens: self.budget_tokens,
        };
        let partition = self.gateway.partition_of(&self.program);
        let committer = &partition.committer;
        committer.add(self.turn.clone(), Some(record.encode()));
    }
}

impl<D: Dialect> ReservedTurn<D> {
    /// Waits until the topic's order says whether the reservation holds.
    async fn holds(&self) -> bool {
        let (Some(ticket), Some(budget_tokens)) = (&self.ticket, self.budget_tokens) else {
            return true;
        };
        let offset = ticket.offset().await;
        let partition = self.gateway.partition_of(&self.program);
        partition.read_through(offset).await;
        let turns = self.gateway.turns.borrow();
        let holds = turns.holds(&self.turn, budget_tokens);
        if !holds {
            crate::event!("reservation_denied", "request" => self.turn.as_str(),
                "program" => self.program.as_str(), "offset" => offset,
                "committed_tokens" => turns.committed_tokens(&self.program),
                "budget_tokens" => budget_tokens);
        }
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
        let outgoing = Outgoing {
            call,
            service: &service,
            body: &prepared.body,
            prompt_tokens: call.info.tokens.map_or(0, |(prompt, _)| prompt),
            answer_tokens: call.info.answer_tokens.unwrap_or(USUAL_ANSWER_TOKENS),
        };
        match self.send(&outgoing).await {
            Ok(Sent::Stream(exchange)) => {
                self.pass_stream(call, reply, exchange, &prepared, &service)
                    .await;
            }
            Ok(Sent::Whole { head, body }) => {
                let passed = reply.pass_whole(head.status, &head.reason, &head.headers, &body);
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
        if self.turns.borrow().knows(call.id()) {
            return Err(Refusal::new(400, "the request id was used before"));
        }
        self.check_store(call).await?;
        let chain = match &call.info.previous_turn {
            Some(previous) => self.find_chain(call, previous).await?,
            None => Chain::new(),
        };
        let reserved = self.reserve(call).await?;
        let mut body = Vec::new();
        for turn in &chain {
            body.extend_from_slice(&turn.text);
        }
        body.extend_from_slice(&call.body);
        Ok(Prepared {
            body,
            reserved: Some(reserved),
        })
    }

    /// Refuses turns while their end could not be kept; waits a little for the store to return.
    async fn check_store(&self, call: &Call) -> Result<(), Refusal> {
        let program = call.info.program.as_deref().unwrap_or_default();
        if self.partition_of(program).committer.is_full() {
            return Err(store_refusal(call, "too much waits for the store"));
        }
        let health = self.store_ways.health();
        if !health.is_lost(Instant::now()) {
            return Ok(());
        }
        let wait = call.time_left().mul_f64(STORE_WAIT_SHARE);
        let give_up = async {
            Timer::after(wait).await;
        };
        future::or(self.store_ways.regained(), give_up).await;
        if health.is_lost(Instant::now()) {
            return Err(store_refusal(call, "the store does not answer"));
        }
        Ok(())
    }

    async fn find_chain(&self, call: &Call, previous: &str) -> Result<Chain, Refusal> {
        if let Some(chain) = self.turns.borrow().chain(previous) {
            return Ok(chain);
        }
        let read = async {
            self.read_all_turns().await;
            true
        };
        let give_up = async {
            Timer::after(LOOKUP_LIMIT).await;
            false
        };
        if !future::or(read, give_up).await {
            return Err(store_refusal(call, "the turn before can't be looked up"));
        }
        let chain = self.turns.borrow().chain(previous);
        chain.ok_or(Refusal::new(404, "no such turn"))
    }

    /// Puts a turn's tokens aside; refuses the turn where its program's budget is spent.
    async fn reserve(self: &Rc<Self>, call: &Call) -> Result<ReservedTurn<D>, Refusal> {
        let program = call.info.program.clone().unwrap_or_default();
        let max_tokens = call.info.tokens.map_or(0, |(_, most)| u64::from(most));
        let mut reserved = ReservedTurn {
            gateway: self.clone(),
            turn: call.id().to_owned(),
            program: program.clone(),
            budget_tokens: call.info.budget_tokens,
            ticket: None,
            spent_tokens: Cell::new(0),
            is_kept: Cell::new(false),
        };
        let Some(budget_tokens) = call.info.budget_tokens else {
            return Ok(reserved);
        };
        let mut committed = self.turns.borrow().committed_tokens(&program);
        if committed + max_tokens > budget_tokens {
            // What is known here may be old: turns may have ended for less since.
            self.read_all_turns().await;
            committed = self.turns.borrow().committed_tokens(&program);
            if committed + max_tokens > budget_tokens {
                return Err(Refusal::new(402, "the program's budget is spent"));
            }
        }
        let record = TurnRecord::Reserved(Reservation {
            program,
            max_tokens,
            budget_tokens: Some(budget_tokens),
        });
        let key = reserved.turn.clone();
        let committer = &self.partition_of(&reserved.program).committer;
        reserved.ticket = Some(committer.submit(key, record.encode()));
        let is_ample = committed + max_tokens * (1 + AMPLE_TURNS) <= budget_tokens;
        if is_ample {
            return Ok(reserved);
        }
        let give_up = async {
            Timer::after(RESERVATION_LIMIT).await;
            None
        };
        let holds = future::or(async { Some(reserved.holds().await) }, give_up).await;
        match holds {
            Some(true) => Ok(reserved),
            Some(false) => Err(Refusal::new(402, "the program's budget is spent")),
            None => Err(store_refusal(call, "the budget can't be looked up")),
        }
    }

    /// Passes a stream on, event by event; its end waits until the turn is kept.
    async fn pass_stream(
        &self,
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
        let begun = reply.begin(head.status, &head.reason, &head.headers).await;
        if begun.is_err() {
            return;
        }
        let mut text = call.body.clone();
        let passed = self.pass_events(reply, &mut exchange, prepared, service, &mut text);
        if let Err(reason) = passed.await {
            crate::event!("stream_broken", "request" => call.id(),
                "endpoint" => &*exchange.endpoint, "reason" => reason);
            return reply.break_off();
        }
        let endpoint = exchange.endpoint.clone();
        exchange.finish(CallEnd::Answered);
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
            let written = reply.part(&events).await;
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

    /// Keeps a turn that ended whole; returns once it stands in the topic.
    async fn keep(&self, call: &Call, reserved: &ReservedTurn<D>, endpoint: &str, text: Vec<u8>) {
        let spent_tokens = reserved.spent_tokens.get();
        let mut prompt_parts = call.info.prompt_parts.clone();
        if let Some((_, tokens)) = prompt_parts.last_mut() {
            *tokens += u32::try_from(spent_tokens).unwrap_or(u32::MAX);
        }
        let record = TurnRecord::Kept(KeptTurn {
            program: reserved.program.clone(),
            spent_tokens,
            budget_tokens: reserved.budget_tokens,
            previous: call.info.previous_turn.clone(),
            endpoint: endpoint.to_owned(),
            prompt_parts,
            keep_ms: call
                .route
                .retention
                .map_or(0, |retention| retention.keep.as_millis() as u64),
            text,
        });
        reserved.is_kept.set(true);
        let committer = &self.partition_of(&reserved.program).committer;
        let record = record.encode();
        let ticket = committer.submit(reserved.turn.clone(), record.clone());
        let offset = ticket.offset().await;
        self.fold_own(&reserved.turn, record, offset);
    }
}

fn store_refusal(call: &Call, reason: &'static str) -> Refusal {
    let earlier = 1.0 - STORE_RETRY_SPREAD * fastrand::f64();
    let after = call.time_left().mul_f64(STORE_RETRY_SHARE * earlier);
    Refusal::come_back(after, reason)
}
