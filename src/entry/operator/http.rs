//! The operators' HTTP interface: JSON in and out, a bearer token for each operator.

use crate::entry::Entry;
use crate::protocol::log::Log;
use crate::protocol::operator::{ChangeAnswer, OperatorReply};
use crate::settings::OperatorKey;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

/// Who may operate.
type Operators = Arc<[OperatorKey]>;

/// An answer ready to be sent.
type Answered = (Status, Vec<u8>);

/// The handler of the operators' interface. See `docs/OPERATOR-API.md`.
pub(crate) fn operator_handler<L: Log>(
    entry: &Entry<L>,
    operators: Vec<OperatorKey>,
) -> impl Handler + use<L> {
    let operators: Operators = operators.into();
    let on = |work| Work {
        entry: entry.clone(),
        operators: operators.clone(),
        work,
    };
    Router::new()
        .get("/operator/v1/environments", get(on(Ask::Environments)))
        .get("/operator/v1/environments/:name", get(on(Ask::Environment)))
        .post("/operator/v1/environments/:name/apply", get(on(Ask::Apply)))
        .post(
            "/operator/v1/environments/:name/promote",
            get(on(Ask::Promote)),
        )
        .post(
            "/operator/v1/environments/:name/retire",
            get(on(Ask::Retire)),
        )
        .get("/operator/v1/status", get(on(Ask::Status)))
        .get("/operator/v1/burn", get(on(Ask::Burn)))
        .get("/operator/v1/programs", get(on(Ask::Programs)))
        .get("/operator/v1/actions", get(on(Ask::Actions)))
        .post("/operator/v1/actions/:name/resolve", get(on(Ask::Resolve)))
        .post("/operator/v1/nodes/:name/drain", get(on(Ask::Drain)))
}

/// What a route does.
#[derive(Clone, Copy, Debug)]
enum Ask {
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

/// A route's work and what it needs.
struct Work<L> {
    entry: Entry<L>,
    operators: Operators,
    work: Ask,
}

fn get<L: Log>(work: Work<L>) -> impl Handler + use<L> {
    let work = Arc::new(work);
    move |mut conn: Conn| {
        let work = work.clone();
        async move {
            let (status, body) = work.answer(&mut conn).await;
            conn.with_status(status)
                .with_response_header("content-type", "application/json")
                .with_body(body)
                .halt()
        }
    }
}

impl<L: Log> Work<L> {
    async fn answer(&self, conn: &mut Conn) -> Answered {
        let Some(operator) = self.operator(conn) else {
            return error(Status::Unauthorized, "the token is missing or not known");
        };
        let name = conn.param("name").unwrap_or_default().to_string();
        let entry = &self.entry;
        match self.work {
            Ask::Environments => json(&entry.list_environments()),
            Ask::Environment => match entry.show_environment(&name) {
                Some(image) => json(&image),
                None => error(Status::NotFound, "there is no such environment"),
            },
            Ask::Apply => match body(conn).await {
                Ok(body) => changed(&entry.apply(&operator, &name, body).await),
                Err(answered) => answered,
            },
            Ask::Promote => match body(conn).await {
                Ok(body) => changed(&entry.promote(&operator, &name, body).await),
                Err(answered) => answered,
            },
            Ask::Retire => match body(conn).await {
                Ok(body) => changed(&entry.retire(&operator, &name, body).await),
                Err(answered) => answered,
            },
            Ask::Status => json(&entry.status()),
            Ask::Burn => json(&entry.operations().report()),
            Ask::Programs => json(&entry.list_programs().await),
            Ask::Actions => json(&entry.list_actions().await),
            Ask::Resolve => match body(conn).await {
                Ok(body) => operated(&entry.resolve(&operator, &name, body).await),
                Err(answered) => answered,
            },
            Ask::Drain => operated(&entry.drain(&name).await),
        }
    }

    /// Returns the operator whose token the request carries.
    fn operator(&self, conn: &Conn) -> Option<String> {
        let header = conn.request_headers().get_str("authorization")?;
        let token = header.strip_prefix("Bearer ")?;
        let hash = blake3::hash(token.as_bytes());
        let mut operators = self.operators.iter();
        let found = operators.find(|operator| hash == operator.token_hash)?;
        Some(found.name.clone())
    }
}

/// Reads a JSON body.
async fn body<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, Answered> {
    let text = conn.request_body_string().await;
    let text = text.map_err(|e| error(Status::BadRequest, &e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| error(Status::BadRequest, &e.to_string()))
}

fn json(value: &impl Serialize) -> Answered {
    with_status(Status::Ok, value)
}

fn with_status(status: Status, value: &impl Serialize) -> Answered {
    match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(e) => (Status::InternalServerError, e.to_string().into_bytes()),
    }
}

fn error(status: Status, message: &str) -> Answered {
    with_status(status, &serde_json::json!({ "error": message }))
}

fn changed(answer: &ChangeAnswer) -> Answered {
    let status = match answer {
        ChangeAnswer::Accepted { .. } => Status::Ok,
        ChangeAnswer::Lost { .. } => Status::Conflict,
        ChangeAnswer::Faulty { .. } => Status::UnprocessableEntity,
        ChangeAnswer::Refused { .. } => Status::PreconditionFailed,
        ChangeAnswer::Unknown { .. } => Status::ServiceUnavailable,
    };
    with_status(status, answer)
}

fn operated(reply: &OperatorReply) -> Answered {
    match reply {
        OperatorReply::Refused(reason) => error(Status::PreconditionFailed, reason),
        _ => json(&serde_json::json!({ "done": true })),
    }
}
