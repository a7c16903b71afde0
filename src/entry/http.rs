//! HTTP interface for callers: JSON requests, and JSON or server-sent events as answers.

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
use request::{parse_body, path_id, stream_query};
use serde::Serialize;
use std::sync::atomic::Ordering;
use std::time::Instant;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

/// Returns the handler of the callers' interface.
pub(crate) fn caller_handler<L: Log>(entry: &Entry<L>) -> impl Handler + use<L> {
    Router::new()
        .post("/v1/programs", with_admission(entry, create))
        .post("/v1/programs/:program/calls", with_admission(entry, call))
        .get(
            "/v1/programs/:program/calls/:call",
            with_admission(entry, attach),
        )
        .get(
            "/v1/programs/:program/history",
            with_admission(entry, history),
        )
        .post(
            "/v1/programs/:program/receipts",
            with_admission(entry, submit_receipt),
        )
        .post("/v1/programs/:program/end", with_admission(entry, end))
        .post(
            "/v1/programs/:program/cancel",
            with_admission(entry, cancel),
        )
}

/// Refuses a request that matches no route.
pub(crate) async fn refuse_path(conn: Conn) -> Conn {
    let message = "There is no such path, or not with this method.";
    refuse(conn, &Refusal::not_run(RefusalCode::NotFound, message))
}

/// Successful response to a request.
enum HttpResponse {
    Json(Status, Vec<u8>),
    Empty,
    Stream(trillium::Body),
}

/// Wraps the work of a route with authentication, the limit of open requests, and the sending and
/// counting of refusals.
fn with_admission<L, F, R>(entry: &Entry<L>, work: F) -> impl Handler + use<L, F, R>
where
    L: Log,
    F: Fn(AdmittedRequest<L>) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = (Conn, Result<HttpResponse, Refusal>)> + Send + 'static,
{
    let entry = entry.clone();
    move |conn: Conn| {
        let entry = entry.clone();
        let leaving_entry = entry.clone();
        let operations = entry.operations().clone();
        async move {
            let admitted = match admit(&entry, &conn) {
                Ok((caller, open)) => AdmittedRequest {
                    entry,
                    conn,
                    caller,
                    open,
                },
                Err(refusal) => {
                    return close_if_leaving(apply_response(conn, Err(refusal)), &leaving_entry);
                }
            };
            let environment = admitted.caller.environment.clone();
            let (conn, response) = work(admitted).await;
            if let Err(refusal) = &response {
                operations.record_refusal(&environment, refusal.code);
            }
            let is_stream = matches!(response, Ok(HttpResponse::Stream(_)));
            let conn = apply_response(conn, response);
            match is_stream {
                // Without the header the body is sent in chunks, which show where it ends.
                true => conn,
                false => close_if_leaving(conn, &leaving_entry),
            }
        }
    }
}

/// An authenticated request that counts as open. Its call may still be refused by the admission
/// queue of a sidecar.
struct AdmittedRequest<L: Log> {
    entry: Entry<L>,
    conn: Conn,
    caller: Caller,
    open: OpenRequestGuard<L>,
}

/// Counts a request as open until dropped.
struct OpenRequestGuard<L: Log>(Entry<L>);

impl<L: Log> Drop for OpenRequestGuard<L> {
    fn drop(&mut self) {
        self.0.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

fn admit<L: Log>(entry: &Entry<L>, conn: &Conn) -> Result<(Caller, OpenRequestGuard<L>), Refusal> {
    let caller = request::authenticate(entry, conn)?;
    let open = entry.0.open_requests.fetch_add(1, Ordering::Relaxed);
    let guard = OpenRequestGuard(entry.clone());
    if open >= entry.0.config.open_calls_max {
        let refusal = Refusal::not_run(RefusalCode::Overloaded, "Too many open requests.");
        return Err(refusal.retry_after_ms(OVERLOADED_RETRY_MS));
    }
    Ok((caller, guard))
}

/// Retry delay sent to the caller if too many requests are open, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 500;

async fn create<L: Log>(mut admitted: AdmittedRequest<L>) -> (Conn, Result<HttpResponse, Refusal>) {
    let parsed = parse_body(&mut admitted.conn).await;
    let result = match parsed {
        Ok(body) => create_program(&admitted, body).await,
        Err(refusal) => Err(refusal),
    };
    (admitted.conn, result)
}

async fn create_program<L: Log>(
    admitted: &AdmittedRequest<L>,
    body: crate::protocol::caller::ProgramRequest,
) -> Result<HttpResponse, Refusal> {
    let create = request::build_create(&admitted.entry, &admitted.caller, body)?;
    let program = create.program;
    let mut route = admitted.entry.route(program, Request::Create(create));
    match route.reply().await {
        Reply::Created {
            program,
            durability,
        } => json_response(
            Status::Created,
            &ProgramAnswer {
                program,
                durability,
            },
        ),
        reply => Err(into_refusal(reply)),
    }
}

async fn call<L: Log>(mut admitted: AdmittedRequest<L>) -> (Conn, Result<HttpResponse, Refusal>) {
    let parsed = parse_body(&mut admitted.conn).await;
    let result = match parsed {
        Ok(body) => start_call(&admitted, body),
        Err(refusal) => Err(refusal),
    };
    match result {
        Ok((route, limit_guard, stream)) => {
            let AdmittedRequest { conn, open, .. } = admitted;
            let guard = (open, limit_guard);
            (conn, answer_response(route, guard, stream, 0).await)
        }
        Err(refusal) => (admitted.conn, Err(refusal)),
    }
}

fn start_call<L: Log>(
    admitted: &AdmittedRequest<L>,
    body: crate::protocol::caller::CallRequest,
) -> Result<(Route<L>, RateLimitGuard<L>, bool), Refusal> {
    let program = path_id(&admitted.conn, "program")?;
    let stream = body.stream;
    let call = request::build_call(&admitted.entry, &admitted.caller, program, body)?;
    let limit_guard = RateLimitGuard::acquire(&admitted.entry, &admitted.caller)?;
    let route = admitted.entry.route(program, Request::Call(call));
    Ok((route, limit_guard, stream))
}

/// Counts a call against the limits of its environment and client account until dropped.
struct RateLimitGuard<L: Log> {
    entry: Entry<L>,
    caller: Caller,
    started: Instant,
}

impl<L: Log> RateLimitGuard<L> {
    fn acquire(entry: &Entry<L>, caller: &Caller) -> Result<Self, Refusal> {
        let served = request::check_configuration(entry, |environments| {
            let served = environments.get(&caller.environment);
            served.ok_or_else(request::refuse_unknown_caller)
        })?;
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
            started: Instant::now(),
        })
    }
}

impl<L: Log> Drop for RateLimitGuard<L> {
    fn drop(&mut self) {
        let caller = &self.caller;
        crate::entry::lock(&self.entry.0.limits)
            .finish_call(&caller.environment, &caller.client_account);
    }
}

impl<L: Log> stream::StreamGuard for (OpenRequestGuard<L>, RateLimitGuard<L>) {
    fn on_first_token(&self) {
        let RateLimitGuard {
            entry,
            caller,
            started,
        } = &self.1;
        let operations = entry.operations();
        operations.record_first_token(
            &caller.environment,
            &caller.client_account,
            started.elapsed(),
        );
    }
}

impl<L: Log> stream::StreamGuard for OpenRequestGuard<L> {}

async fn attach<L: Log>(admitted: AdmittedRequest<L>) -> (Conn, Result<HttpResponse, Refusal>) {
    let AdmittedRequest {
        entry,
        conn,
        caller,
        open,
    } = admitted;
    let ids = path_id(&conn, "program").and_then(|p| Ok((p, path_id(&conn, "call")?)));
    let (program, call) = match ids {
        Ok(ids) => ids,
        Err(refusal) => return (conn, Err(refusal)),
    };
    let (from, stream) = stream_query(&conn);
    let request = Request::Attach {
        caller,
        program,
        call,
        from,
    };
    let route = entry.route(program, request);
    let response = answer_response(route, open, stream, from).await;
    (conn, response)
}

/// Returns an answer as a stream of events if `stream` is set, and else as one object.
async fn answer_response<L: Log, G: stream::StreamGuard>(
    mut route: Route<L>,
    guard: G,
    stream: bool,
    from: u32,
) -> Result<HttpResponse, Refusal> {
    if stream {
        return Ok(HttpResponse::Stream(
            stream::stream_answer(route, guard, from).await?,
        ));
    }
    match route.reply().await {
        Reply::Answer(answer) => json_response(Status::Ok, &CallAnswer::from(answer)),
        reply => Err(into_refusal(reply)),
    }
}

async fn history<L: Log>(admitted: AdmittedRequest<L>) -> (Conn, Result<HttpResponse, Refusal>) {
    let result = read_history(&admitted).await;
    (admitted.conn, result)
}

async fn read_history<L: Log>(admitted: &AdmittedRequest<L>) -> Result<HttpResponse, Refusal> {
    let program = path_id(&admitted.conn, "program")?;
    let request = Request::History {
        caller: admitted.caller.clone(),
        program,
    };
    match admitted.entry.route(program, request).reply().await {
        Reply::History(turns) => {
            let turns = turns.into_iter().map(TurnAnswer::from).collect();
            json_response(Status::Ok, &HistoryAnswer { turns })
        }
        reply => Err(into_refusal(reply)),
    }
}

async fn submit_receipt<L: Log>(
    mut admitted: AdmittedRequest<L>,
) -> (Conn, Result<HttpResponse, Refusal>) {
    let parsed = parse_body(&mut admitted.conn).await;
    let result = match parsed {
        Ok(body) => commit_receipt(&admitted, body).await,
        Err(refusal) => Err(refusal),
    };
    (admitted.conn, result)
}

/// Sends the pending turn of a receipt to the owner, which may have lost it.
async fn commit_receipt<L: Log>(
    admitted: &AdmittedRequest<L>,
    body: ReceiptRequest,
) -> Result<HttpResponse, Refusal> {
    let program = path_id(&admitted.conn, "program")?;
    let secret = &admitted.entry.0.config.secret;
    let turn = request::verify_receipt(secret, &admitted.caller, program, &body)?;
    let request = Request::CommitPending {
        program,
        entry: Box::new(turn.into()),
    };
    match admitted.entry.route(program, request).reply().await {
        Reply::Done => Ok(HttpResponse::Empty),
        reply => Err(into_refusal(reply)),
    }
}

async fn end<L: Log>(admitted: AdmittedRequest<L>) -> (Conn, Result<HttpResponse, Refusal>) {
    let result = end_program(&admitted, EndReason::Finished).await;
    (admitted.conn, result)
}

async fn cancel<L: Log>(admitted: AdmittedRequest<L>) -> (Conn, Result<HttpResponse, Refusal>) {
    let result = end_program(&admitted, EndReason::Cancelled).await;
    (admitted.conn, result)
}

async fn end_program<L: Log>(
    admitted: &AdmittedRequest<L>,
    reason: EndReason,
) -> Result<HttpResponse, Refusal> {
    let program = path_id(&admitted.conn, "program")?;
    let request = Request::End {
        caller: admitted.caller.clone(),
        program,
        reason,
    };
    match admitted.entry.route(program, request).reply().await {
        Reply::Done => Ok(HttpResponse::Empty),
        reply => Err(into_refusal(reply)),
    }
}

fn into_refusal(reply: Reply) -> Refusal {
    match reply {
        Reply::Refused(refusal) => refusal,
        _ => Refusal::unknown(RefusalCode::NoOwner, "The owner gave another reply."),
    }
}

fn json_response(status: Status, body: &impl Serialize) -> Result<HttpResponse, Refusal> {
    match serde_json::to_vec(body) {
        Ok(body) => Ok(HttpResponse::Json(status, body)),
        Err(error) => Err(Refusal::unknown(RefusalCode::AnswerLost, error.to_string())),
    }
}

fn apply_response(conn: Conn, response: Result<HttpResponse, Refusal>) -> Conn {
    match response {
        Ok(HttpResponse::Json(status, body)) => conn
            .with_status(status)
            .with_response_header("content-type", "application/json")
            .with_body(body)
            .halt(),
        Ok(HttpResponse::Empty) => conn.with_status(Status::NoContent).halt(),
        Ok(HttpResponse::Stream(body)) => conn
            .with_status(Status::Ok)
            .with_response_header("content-type", "text/event-stream")
            .with_response_header("cache-control", "no-store")
            .with_body(body)
            .halt(),
        Err(refusal) => refuse(conn, &refusal),
    }
}

/// Asks the caller not to reuse its connection if the entry is leaving.
fn close_if_leaving<L: Log>(conn: Conn, entry: &Entry<L>) -> Conn {
    match entry.is_leaving() {
        true => conn.with_response_header("connection", "close"),
        false => conn,
    }
}

/// Sends a refusal with its HTTP status and, if set, a `retry-after` header.
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
