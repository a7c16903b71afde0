//! Reading callers' requests.

use crate::entry::environments::Environments;
use crate::entry::unix_ms;
use crate::ids::{ProgramId, parse_id, program_id};
use crate::protocol::caller::{CallRequest, ProgramRequest, ReceiptRequest};
use crate::protocol::link::{Call, Caller, Create, Work};
use crate::protocol::record::Turn;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::receipt::ReceiptKey;
use serde::de::DeserializeOwned;
use trillium::Conn;
use trillium_router::RouterConnExt;

/// Longest answer if neither the caller nor the environment says.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Longest key of a program or call, in bytes.
const KEY_MAX_BYTES: usize = 256;

/// When to come back to a node that has not read its configuration, in milliseconds.
const CONFIGURATION_RETRY_MS: u64 = 200;

/// Finds out who calls.
pub(super) fn caller(environments: &Environments, conn: &Conn) -> Result<Caller, Refusal> {
    let header = conn.request_headers().get_str("authorization");
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    let caller = token.and_then(|token| environments.caller(token));
    caller.ok_or_else(|| match environments.is_empty() {
        true => unread_configuration(),
        false => unknown_caller(),
    })
}

/// Refuses since this node has not read its configuration yet, and so knows nobody. The call may
/// be a retry of one that ran.
fn unread_configuration() -> Refusal {
    let message = "This node has not read its configuration yet.";
    Refusal::unknown(RefusalCode::NoOwner, message).retry_after_ms(CONFIGURATION_RETRY_MS)
}

/// Refuses a caller without a valid token.
pub(super) fn unknown_caller() -> Refusal {
    let message = "The bearer token is missing or not known.";
    Refusal::not_run(RefusalCode::Unauthorized, message)
}

/// Reads a JSON body.
pub(super) async fn parse_body<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, Refusal> {
    let body = conn.request_body().read_bytes().await;
    let body = body.map_err(|error| invalid(&format!("The body cannot be read: {error}.")))?;
    serde_json::from_slice(&body).map_err(|error| invalid(&format!("The body is wrong: {error}.")))
}

/// Reads an id in the path; anything else is an id that does not exist.
pub(super) fn path_id(conn: &Conn, name: &str) -> Result<u128, Refusal> {
    let id = conn.param(name).and_then(parse_id);
    id.ok_or_else(|| Refusal::not_run(RefusalCode::NotFound, "There is no such program."))
}

/// Reads the query of an answer that is read again: from which token on, and whether it streams.
pub(super) fn query(conn: &Conn) -> (u32, bool) {
    let mut from = 0;
    let mut stream = false;
    for pair in conn.querystring().split('&') {
        match pair.split_once('=') {
            Some(("from", value)) => from = value.parse().unwrap_or(0),
            Some(("stream", value)) => stream = value == "true",
            _ => {}
        }
    }
    (from, stream)
}

/// Makes the request to begin a program.
pub(super) fn create(
    environments: &Environments,
    caller: &Caller,
    body: ProgramRequest,
) -> Result<Create, Refusal> {
    check_key(body.key.as_deref())?;
    let served = environments.get(&caller.environment);
    let served = served.ok_or_else(unknown_caller)?;
    let rules = &served.document;
    let budget = body.budget.with_defaults(rules.budget.default);
    if !budget.fits(rules.budget.max) {
        return Err(invalid("The budget is above the environment's highest."));
    }
    let deadline_ms = body.deadline_ms.unwrap_or(rules.deadline.default_ms);
    if deadline_ms > rules.deadline.max_ms {
        return Err(invalid("The deadline is above the environment's latest."));
    }
    let now_ms = unix_ms();
    Ok(Create {
        caller: caller.clone(),
        program: draw_program(caller, body.key.as_deref(), now_ms),
        key: body.key,
        budget,
        deadline_ms: now_ms + deadline_ms,
    })
}

/// Draws a program's id. With a key the id's lower part, and so the partition, is the key's.
fn draw_program(caller: &Caller, key: Option<&str>, now_ms: u64) -> ProgramId {
    let Some(key) = key else {
        return program_id(now_ms, fastrand::u128(..));
    };
    let mut hasher = blake3::Hasher::new();
    for part in [&caller.environment, &caller.client_account, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut head = [0; 16];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    program_id(now_ms, u128::from_le_bytes(head))
}

/// Makes the request to run a call.
pub(super) fn call(
    environments: &Environments,
    caller: &Caller,
    program: ProgramId,
    body: CallRequest,
) -> Result<Call, Refusal> {
    check_key(body.key.as_deref())?;
    let served = environments.get(&caller.environment);
    let served = served.ok_or_else(unknown_caller)?;
    let branch = body.branch;
    let key = body.key.clone();
    let mut work = body.into_work(DEFAULT_MAX_TOKENS)?;
    match &mut work {
        Work::Model { model, .. } => {
            if served.document.model_version(model).is_none() {
                return Err(invalid("The environment has no such model."));
            }
        }
        Work::Tool {
            service,
            operation,
            repeatable,
            ..
        } => {
            let rule = served.document.repeatable(service, operation, *repeatable);
            *repeatable = rule.ok_or_else(|| invalid("There is no such operation."))?;
        }
    }
    Ok(Call {
        caller: caller.clone(),
        program,
        branch,
        call: program_id(unix_ms(), fastrand::u128(..)),
        key,
        seen_at: None,
        work,
    })
}

/// Reads a receipt; one of another client account or program is as good as none.
pub(super) fn receipt(
    secret: &[u8],
    caller: &Caller,
    program: ProgramId,
    body: &ReceiptRequest,
) -> Result<Turn, Refusal> {
    let turn = ReceiptKey::new(secret).verify(&body.receipt);
    turn.ok()
        .filter(|turn| turn.client_account == caller.client_account && turn.program == program)
        .ok_or_else(|| invalid("The receipt is not valid for this program."))
}

fn check_key(key: Option<&str>) -> Result<(), Refusal> {
    match key {
        Some(key) if key.is_empty() || key.len() > KEY_MAX_BYTES => {
            Err(invalid("A key has 1 to 256 bytes."))
        }
        _ => Ok(()),
    }
}

fn invalid(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Invalid, message)
}
