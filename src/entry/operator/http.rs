//! HTTP interface for operators: JSON requests and answers, with one bearer token per operator.

use crate::entry::Entry;
use crate::protocol::log::Log;
use crate::protocol::operator::{ChangeAnswer, OperatorReply};
use crate::settings::OperatorKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

/// Operators with access, each with a token hash.
type Operators = Arc<[OperatorKey]>;

/// HTTP status and JSON body of an answer.
type HttpResponse = (Status, Vec<u8>);

/// Returns the handler of the operators' interface. See `docs/OPERATOR-API.md`.
pub(crate) fn operator_handler<L: Log>(
    entry: &Entry<L>,
    operators: Vec<OperatorKey>,
) -> impl Handler + use<L> {
    let operators: Operators = operators.into();
    let route = |operation| OperatorRoute {
        entry: entry.clone(),
        operators: operators.clone(),
        operation,
    };
    Router::new()
        .get(
            "/operator/v1/environments",
            into_handler(route(Operation::Environments)),
        )
        .get(
            "/operator/v1/environments/:name",
            into_handler(route(Operation::Environment)),
        )
        .post(
            "/operator/v1/environments/:name/apply",
            into_handler(route(Operation::Apply)),
        )
        .post(
            "/operator/v1/environments/:name/promote",
            into_handler(route(Operation::Promote)),
        )
        .post(
            "/operator/v1/environments/:name/retire",
            into_handler(route(Operation::Retire)),
        )
        .get(
            "/operator/v1/status",
            into_handler(route(Operation::Status)),
        )
        .get("/operator/v1/burn", into_handler(route(Operation::Burn)))
        .get(
            "/operator/v1/programs",
            into_handler(route(Operation::Programs)),
        )
        .get(
            "/operator/v1/actions",
            into_handler(route(Operation::Actions)),
        )
        .post(
            "/operator/v1/actions/:name/resolve",
            into_handler(route(Operation::Resolve)),
        )
        .post(
            "/operator/v1/nodes/:name/drain",
            into_handler(route(Operation::Drain)),
        )
}

/// Operation of a route.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Environments,
    Environment,
    Apply,
    Promote,
    Retire,
    Status,
    Burn,
    Programs,
    Actions,
    Resolve,
    Drain,
}

/// Handler state of one route.
struct OperatorRoute<L> {
    entry: Entry<L>,
    operators: Operators,
    operation: Operation,
}

fn into_handler<L: Log>(route: OperatorRoute<L>) -> impl Handler + use<L> {
    let route = Arc::new(route);
    move |mut conn: Conn| {
        let route = route.clone();
        async move {
            let (status, body) = route.handle(&mut conn).await;
            conn.with_status(status)
                .with_response_header("content-type", "application/json")
                .with_body(body)
                .halt()
        }
    }
}

impl<L: Log> OperatorRoute<L> {
    async fn handle(&self, conn: &mut Conn) -> HttpResponse {
        let Some(operator) = self.authenticate(conn) else {
            return error_response(Status::Unauthorized, "the token is missing or not known");
        };
        let name = conn.param("name").unwrap_or_default().to_string();
        let entry = &self.entry;
        match self.operation {
            Operation::Environments => ok_response(&entry.list_environments()),
            Operation::Environment => match entry.show_environment(&name) {
                Some(image) => ok_response(&image),
                None => error_response(Status::NotFound, "there is no such environment"),
            },
            Operation::Apply => match read_body(conn).await {
                Ok(body) => change_response(&entry.apply(&operator, &name, body).await),
                Err(response) => response,
            },
            Operation::Promote => match read_body(conn).await {
                Ok(body) => change_response(&entry.promote(&operator, &name, body).await),
                Err(response) => response,
            },
            Operation::Retire => match read_body(conn).await {
                Ok(body) => change_response(&entry.retire(&operator, &name, body).await),
                Err(response) => response,
            },
            Operation::Status => ok_response(&entry.status()),
            Operation::Burn => ok_response(&entry.operations().report()),
            Operation::Programs => ok_response(&entry.list_programs().await),
            Operation::Actions => ok_response(&entry.list_actions().await),
            Operation::Resolve => match read_body(conn).await {
                Ok(body) => operator_response(&entry.resolve(&operator, &name, body).await),
                Err(response) => response,
            },
            Operation::Drain => operator_response(&entry.drain(&name).await),
        }
    }

    /// Returns the name of the operator that the request's bearer token belongs to.
    fn authenticate(&self, conn: &Conn) -> Option<String> {
        let header = conn.request_headers().get_str("authorization")?;
        let token = header.strip_prefix("Bearer ")?;
        let hash = blake3::hash(token.as_bytes());
        let mut operators = self.operators.iter();
        let found = operators.find(|operator| hash == operator.token_hash)?;
        Some(found.name.clone())
    }
}

/// Reads and parses a JSON body.
async fn read_body<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, HttpResponse> {
    let text = conn.request_body_string().await;
    let text = text.map_err(|e| error_response(Status::BadRequest, &e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| error_response(Status::BadRequest, &e.to_string()))
}

fn ok_response(value: &impl Serialize) -> HttpResponse {
    with_status(Status::Ok, value)
}

fn with_status(status: Status, value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(e) => (Status::InternalServerError, e.to_string().into_bytes()),
    }
}

fn error_response(status: Status, message: &str) -> HttpResponse {
    with_status(status, &serde_json::json!({ "error": message }))
}

fn change_response(answer: &ChangeAnswer) -> HttpResponse {
    let status = match answer {
        ChangeAnswer::Accepted { .. } => Status::Ok,
        ChangeAnswer::Lost { .. } => Status::Conflict,
        ChangeAnswer::Faulty { .. } => Status::UnprocessableEntity,
        ChangeAnswer::Refused { .. } => Status::PreconditionFailed,
        ChangeAnswer::Unknown { .. } => Status::ServiceUnavailable,
    };
    with_status(status, answer)
}

fn operator_response(reply: &OperatorReply) -> HttpResponse {
    match reply {
        OperatorReply::Refused(reason) => error_response(Status::PreconditionFailed, reason),
        _ => ok_response(&serde_json::json!({ "done": true })),
    }
}
