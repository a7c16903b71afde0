//! The callers' HTTP interface: JSON in, JSON or server-sent events out.

mod body;
mod request;
mod stream;

use crate::entry::Entry;
use crate::entry::route::Route;
use crate::protocol::caller::{
    CallAnswer, HistoryAnswer, ProgramAnswer, ReceiptRequest, TurnAnswer,
};
use crate::protocol::link::{Caller, Reply, Request};
use crate::protocol::log::Log;
use crate::protocol::record::EndReason;
use crate::protocol::refusal::{Refusal, RefusalCode};
use request::{parse_body, path_id, query};
use serde::Serialize;
use std::sync::atomic::Ordering;
use std::time::Instant;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

/// The handler of the callers' interface.
pub(crate) fn handler<L: Log>(entry: &Entry<L>) -> impl Handler + use<L> {
    Router::new()
        .post("/v1/programs", on(entry, create))
        .post("/v1/programs/:program/calls", on(entry, call))
        .get("/v1/programs/:program/calls/:call", on(entry, attach))
        .get("/v1/programs/:program/history", on(entry, history))
        .post("/v1/programs/:program/receipts", on(entry, bring_back))
        .post("/v1/programs/:program/end", on(entry, end))
        .post("/v1/programs/:program/cancel", on(entry, cancel))
}

/// Refuses a request that no handler has taken.
pub(crate) async fn refuse_path(conn: Conn) -> Conn {
    let message = "There is no such path, or not with this method.";
    refuse(conn, &Refusal::not_run(RefusalCode::NotFound, message))
}

/// What a request came to, ready to be sent.
enum Sent {
    Json(Status, Vec<u8>),
    Empty,
    Stream(trillium::Body),
}

/// Wraps a request's work: who calls, how much is open, and how refusals are sent.
fn on<L, F, R>(entry: &Entry<L>, work: F) -> impl Handler + use<L, F, R>
where
    L: Log,
    F: Fn(Exchange<L>) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = (Conn, Result<Sent, Refusal>)> + Send + 'static,
{
    let entry = entry.clone();
    move |conn: Conn| {
        let entry = entry.clone();
        let operations = entry.operations().clone();
        async move {
            let exchange = match admit(&entry, &conn) {
                Ok((caller, open)) => Exchange {
                    entry,
                    conn,
                    caller,
                    open,
                },
                Err(refusal) => return send(conn, Err(refusal)),
            };
            let whose = exchange.caller.environment.clone();
            let (conn, sent) = work(exchange).await;
            if let Err(refusal) = &sent {
                operations.refused(&whose, refusal.code);
            }
            send(conn, sent)
        }
    }
}

/// A request with its caller.
struct Exchange<L: Log> {
    entry: Entry<L>,
    conn: Conn,
    caller: Caller,
    open: OpenCall<L>,
}

/// Counts a request as open until it is dropped.
struct OpenCall<L: Log>(Entry<L>);

impl<L: Log> Drop for OpenCall<L> {
    fn drop(&mut self) {
        self.0.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

fn admit<L: Log>(entry: &Entry<L>, conn: &Conn) -> Result<(Caller, OpenCall<L>), Refusal> {
    let caller = request::caller(entry.environments(), conn)?;
    let open = entry.0.open_calls.fetch_add(1, Ordering::Relaxed);
    let guard = OpenCall(entry.clone());
    if open >= entry.0.config.open_calls {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "Too many open requests.");
        return Err(refusal.retry_after_ms(OVERLOADED_RETRY_MS));
    }
    Ok((caller, guard))
}

/// When to come back to an entry with too many open requests, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 500;

async fn create<L: Log>(mut exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let parsed = parse_body(&mut exchange.conn).await;
    let result = match parsed {
        Ok(body) => create_program(&exchange, body).await,
        Err(refusal) => Err(refusal),
    };
    (exchange.conn, result)
}

async fn create_program<L: Log>(
    exchange: &Exchange<L>,
    body: crate::protocol::caller::ProgramRequest,
) -> Result<Sent, Refusal> {
    let environments = exchange.entry.environments();
    let create = request::create(environments, &exchange.caller, body)?;
    let program = create.program;
    let mut route = exchange.entry.route(program, Request::Create(create));
    match route.reply().await {
        Reply::Created {
            program,
            durability,
        } => json(
            Status::Created,
            &ProgramAnswer {
                program,
                durability,
            },
        ),
        reply => Err(refusal_of(reply)),
    }
}

async fn call<L: Log>(mut exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let parsed = parse_body(&mut exchange.conn).await;
    let result = match parsed {
        Ok(body) => start_call(&exchange, body),
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok((route, limited, stream)) => {
            let Exchange { conn, open, .. } = exchange;
            let guard = (open, limited);
            (conn, answer(route, guard, stream, 0).await)
        }
        Err(refusal) => (exchange.conn, Err(refusal)),
    }
}

fn start_call<L: Log>(
    exchange: &Exchange<L>,
    body: crate::protocol::caller::CallRequest,
) -> Result<(Route<L>, Limited<L>, bool), Refusal> {
    let program = path_id(&exchange.conn, "program")?;
    let stream = body.stream;
    let environments = exchange.entry.environments();
    let call = request::call(environments, &exchange.caller, program, body)?;
    let limited = Limited::begin(&exchange.entry, &exchange.caller)?;
    let route = exchange.entry.route(program, Request::Call(call));
    Ok((route, limited, stream))
}

/// A call that counts against its client account's limits until it is dropped.
struct Limited<L: Log> {
    entry: Entry<L>,
    caller: Caller,
    began: Instant,
}

impl<L: Log> Limited<L> {
    fn begin(entry: &Entry<L>, caller: &Caller) -> Result<Self, Refusal> {
        let served = entry.environments().get(&caller.environment);
        let served = served.ok_or_else(request::unknown_caller)?;
        let (environment, client_account) = served.limits(&caller.client_account);
        crate::entry::lock(&entry.0.limits).begin_call(
            Instant::now(),
            &caller.environment,
            environment,
            &caller.client_account,
            client_account,
        )?;
        Ok(Self {
            entry: entry.clone(),
            caller: caller.clone(),
            began: Instant::now(),
        })
    }
}

impl<L: Log> Drop for Limited<L> {
    fn drop(&mut self) {
        let caller = &self.caller;
        crate::entry::lock(&self.entry.0.limits)
            .finish_call(&caller.environment, &caller.client_account);
    }
}

impl<L: Log> stream::Guard for (OpenCall<L>, Limited<L>) {
    fn first_token(&self) {
        let Limited {
            entry,
            caller,
            began,
        } = &self.1;
        let operations = entry.operations();
        operations.first_token(&caller.environment, &caller.client_account, began.elapsed());
    }
}

impl<L: Log> stream::Guard for OpenCall<L> {}

async fn attach<L: Log>(exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let Exchange {
        entry,
        conn,
        caller,
        open,
    } = exchange;
    let ids = path_id(&conn, "program").and_then(|p| Ok((p, path_id(&conn, "call")?)));
    let (program, call) = match ids {
        Ok(ids) => ids,
        Err(refusal) => return (conn, Err(refusal)),
    };
    let (from, stream) = query(&conn);
    let request = Request::Attach {
        caller,
        program,
        call,
        from,
    };
    let route = entry.route(program, request);
    let sent = answer(route, open, stream, from).await;
    (conn, sent)
}

/// Sends an answer as one object, or as events when it streams.
async fn answer<L: Log, G: stream::Guard>(
    mut route: Route<L>,
    guard: G,
    stream: bool,
    from: u32,
) -> Result<Sent, Refusal> {
    if stream {
        return Ok(Sent::Stream(stream::body(route, guard, from).await?));
    }
    match route.reply().await {
        Reply::Answer(answer) => json(Status::Ok, &CallAnswer::from(answer)),
        reply => Err(refusal_of(reply)),
    }
}

async fn history<L: Log>(exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let result = read_history(&exchange).await;
    (exchange.conn, result)
}

async fn read_history<L: Log>(exchange: &Exchange<L>) -> Result<Sent, Refusal> {
    let program = path_id(&exchange.conn, "program")?;
    let request = Request::History {
        caller: exchange.caller.clone(),
        program,
    };
    match exchange.entry.route(program, request).reply().await {
        Reply::History(turns) => {
            let turns = turns.into_iter().map(TurnAnswer::from).collect();
            json(Status::Ok, &HistoryAnswer { turns })
        }
        reply => Err(refusal_of(reply)),
    }
}

async fn bring_back<L: Log>(mut exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let parsed = parse_body(&mut exchange.conn).await;
    let result = match parsed {
        Ok(body) => adopt_receipt(&exchange, body).await,
        Err(refusal) => Err(refusal),
    };
    (exchange.conn, result)
}

/// Brings a pending turn back to the owner, which may have lost it.
async fn adopt_receipt<L: Log>(
    exchange: &Exchange<L>,
    body: ReceiptRequest,
) -> Result<Sent, Refusal> {
    let program = path_id(&exchange.conn, "program")?;
    let secret = &exchange.entry.0.config.secret;
    let turn = request::receipt(secret, &exchange.caller, program, &body)?;
    let request = Request::CommitPending {
        program,
        entry: Box::new(turn.into()),
    };
    match exchange.entry.route(program, request).reply().await {
        Reply::Done => Ok(Sent::Empty),
        reply => Err(refusal_of(reply)),
    }
}

async fn end<L: Log>(exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let result = end_program(&exchange, EndReason::Finished).await;
    (exchange.conn, result)
}

async fn cancel<L: Log>(exchange: Exchange<L>) -> (Conn, Result<Sent, Refusal>) {
    let result = end_program(&exchange, EndReason::Cancelled).await;
    (exchange.conn, result)
}

async fn end_program<L: Log>(exchange: &Exchange<L>, reason: EndReason) -> Result<Sent, Refusal> {
    let program = path_id(&exchange.conn, "program")?;
    let request = Request::End {
        caller: exchange.caller.clone(),
        program,
        reason,
    };
    match exchange.entry.route(program, request).reply().await {
        Reply::Done => Ok(Sent::Empty),
        reply => Err(refusal_of(reply)),
    }
}

fn refusal_of(reply: Reply) -> Refusal {
    match reply {
        Reply::Refused(refusal) => refusal,
        _ => Refusal::unknown(RefusalCode::NoOwner, "The owner gave another reply."),
    }
}

fn json(status: Status, body: &impl Serialize) -> Result<Sent, Refusal> {
    match serde_json::to_vec(body) {
        Ok(body) => Ok(Sent::Json(status, body)),
        Err(error) => Err(Refusal::unknown(RefusalCode::AnswerLost, error.to_string())),
    }
}

fn send(conn: Conn, sent: Result<Sent, Refusal>) -> Conn {
    match sent {
        Ok(Sent::Json(status, body)) => conn
            .with_status(status)
            .with_response_header("content-type", "application/json")
            .with_body(body)
            .halt(),
        Ok(Sent::Empty) => conn.with_status(Status::NoContent).halt(),
        Ok(Sent::Stream(body)) => conn
            .with_status(Status::Ok)
            .with_response_header("content-type", "text/event-stream")
            .with_response_header("cache-control", "no-store")
            .with_body(body)
            .halt(),
        Err(refusal) => refuse(conn, &refusal),
    }
}

/// Sends a refusal.
fn refuse(conn: Conn, refusal: &Refusal) -> Conn {
    let body = serde_json::to_vec(refusal).unwrap_or_default();
    let conn = conn
        .with_status(status_of(refusal.code))
        .with_response_header("content-type", "application/json")
        .with_body(body)
        .halt();
    match refusal.retry_after_ms {
        Some(wait_ms) => {
            conn.with_response_header("retry-after", wait_ms.div_ceil(1_000).to_string())
        }
        None => conn,
    }
}

fn status_of(code: RefusalCode) -> Status {
    match code {
        RefusalCode::Invalid => Status::BadRequest,
        RefusalCode::Unauthorized => Status::Unauthorized,
        RefusalCode::NotFound => Status::NotFound,
        RefusalCode::Conflict => Status::Conflict,
        RefusalCode::Ended => Status::Gone,
        RefusalCode::Budget | RefusalCode::Deadline => Status::UnprocessableEntity,
        RefusalCode::Limit => Status::TooManyRequests,
        _ => Status::ServiceUnavailable,
    }
}
