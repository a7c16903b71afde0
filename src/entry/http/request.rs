//! Authentication, parsing and validation of callers' requests.

use crate::entry::environments::Environments;
use crate::entry::{Entry, unix_ms};
use crate::ids::{ProgramId, parse_id, program_id};
use crate::protocol::caller::{CallRequest, ProgramRequest, ReceiptRequest};
use crate::protocol::link::{Call, Caller, Create, Work};
use crate::protocol::log::Log;
use crate::protocol::record::Turn;
use crate::protocol::refusal::{Refusal, RefusalCode};
use crate::state::receipt::ReceiptKey;
use serde::de::DeserializeOwned;
use trillium::Conn;
use trillium_router::RouterConnExt;

/// Maximum number of tokens in an answer if neither the caller nor the environment sets one.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Maximum length of the key of a program or call, in bytes.
const KEY_MAX_BYTES: usize = 256;

/// Retry delay sent to the caller before the node has read its configuration, in milliseconds.
const CONFIGURATION_RETRY_MS: u64 = 200;

/// Returns the caller that the request's bearer token belongs to.
pub(super) fn authenticate<L: Log>(entry: &Entry<L>, conn: &Conn) -> Result<Caller, Refusal> {
    let header = conn.request_headers().get_str("authorization");
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    let token = token.ok_or_else(|| match entry.environments().is_empty() {
        true => refuse_without_configuration(),
        false => refuse_unknown_caller(),
    })?;
    check_configuration(entry, |environments| {
        let caller = environments.find_caller(token);
        caller.ok_or_else(|| match environments.is_empty() {
            true => refuse_without_configuration(),
            false => refuse_unknown_caller(),
        })
    })
}

/// Runs a check that the configuration decides, and refuses temporarily in place of its refusal
/// while a peer reports a higher version than the one that the check used.
pub(super) fn check_configuration<T, L: Log>(
    entry: &Entry<L>,
    check: impl FnOnce(&Environments) -> Result<T, Refusal>,
) -> Result<T, Refusal> {
    let environments = entry.environments();
    // Read before the check, during which the higher version may come into force.
    let version = environments.version();
    check(environments).map_err(|refusal| {
        let newest = entry.newest_configuration();
        if newest <= version {
            return refusal;
        }
        log::info!(
            target: "entry",
            "entry: refused until configuration {newest} is in force; version {version} says {}: {}",
            refusal.code, refusal.message
        );
        refuse_behind()
    })
}

/// Refusal while a peer has a higher version of the configuration than this node.
///
/// It leaves open whether the call ran, because it may be a retry of one that ran.
fn refuse_behind() -> Refusal {
    let message = "This node is reading a newer configuration.";
    Refusal::unknown(RefusalCode::NoOwner, message).retry_after_ms(CONFIGURATION_RETRY_MS)
}

/// Refusal before this node has read its configuration and knows any token.
///
/// It leaves open whether the call ran, because it may be a retry of one that ran.
fn refuse_without_configuration() -> Refusal {
    let message = "This node has not read its configuration yet.";
    Refusal::unknown(RefusalCode::NoOwner, message).retry_after_ms(CONFIGURATION_RETRY_MS)
}

/// Refusal for a request without a valid token.
pub(super) fn refuse_unknown_caller() -> Refusal {
    let message = "The bearer token is missing or not known.";
    Refusal::not_run(RefusalCode::Unauthorized, message)
}

/// Reads and parses a JSON body.
pub(super) async fn parse_body<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, Refusal> {
    let body = conn.request_body().read_bytes().await;
    let body =
        body.map_err(|error| refuse_invalid(&format!("The body cannot be read: {error}.")))?;
    serde_json::from_slice(&body)
        .map_err(|error| refuse_invalid(&format!("The body is wrong: {error}.")))
}

/// Reads an id from the path. A malformed id is refused as not found.
pub(super) fn path_id(conn: &Conn, name: &str) -> Result<u128, Refusal> {
    let id = conn.param(name).and_then(parse_id);
    id.ok_or_else(|| Refusal::not_run(RefusalCode::NotFound, "There is no such program."))
}

/// Parses the query of a repeated read: the first token's index and whether to stream.
///
/// The defaults are 0 and false. Unknown parameters are ignored.
pub(super) fn stream_query(conn: &Conn) -> (u32, bool) {
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

/// Builds the request to create a program, with the environment's defaults and limits.
pub(super) fn build_create<L: Log>(
    entry: &Entry<L>,
    caller: &Caller,
    body: ProgramRequest,
) -> Result<Create, Refusal> {
    check_key(body.key.as_deref())?;
    let (budget, deadline_ms) = check_configuration(entry, |environments| {
        let served = environments.get(&caller.environment);
        let served = served.ok_or_else(refuse_unknown_caller)?;
        let rules = &served.document;
        let budget = body.budget.with_defaults(rules.budget.default);
        if !budget.fits(rules.budget.max) {
            return Err(refuse_invalid(
                "The budget is above the environment's highest.",
            ));
        }
        let deadline_ms = body.deadline_ms.unwrap_or(rules.deadline.default_ms);
        if deadline_ms > rules.deadline.max_ms {
            return Err(refuse_invalid(
                "The deadline is above the environment's latest.",
            ));
        }
        Ok((budget, deadline_ms))
    })?;
    let now_ms = unix_ms();
    Ok(Create {
        caller: caller.clone(),
        program: new_program_id(caller, body.key.as_deref(), now_ms),
        key: body.key,
        budget,
        deadline_ms: now_ms + deadline_ms,
    })
}

/// Returns a new program id.
///
/// With a key, the lower part of the id, and so the partition, is derived from the key and the
/// caller. Without one it is random.
fn new_program_id(caller: &Caller, key: Option<&str>, now_ms: u64) -> ProgramId {
    let Some(key) = key else {
        return program_id(now_ms, fastrand::u128(..));
    };
    let mut hasher = blake3::Hasher::new();
    for part in [&caller.environment, &caller.client_account, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    program_id(now_ms, u128::from_le_bytes(prefix))
}

/// Builds the request to run a call, after checking its model or operation.
pub(super) fn build_call<L: Log>(
    entry: &Entry<L>,
    caller: &Caller,
    program: ProgramId,
    body: CallRequest,
) -> Result<Call, Refusal> {
    check_key(body.key.as_deref())?;
    let branch = body.branch;
    let key = body.key.clone();
    let mut work = body.into_work(DEFAULT_MAX_TOKENS)?;
    check_configuration(entry, |environments| {
        check_work(environments, caller, &mut work)
    })?;
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

/// Checks a call's model or operation, and sets whether the operation may be repeated.
fn check_work(
    environments: &Environments,
    caller: &Caller,
    work: &mut Work,
) -> Result<(), Refusal> {
    let served = environments.get(&caller.environment);
    let served = served.ok_or_else(refuse_unknown_caller)?;
    match work {
        Work::Model { model, .. } => {
            if served.document.model_version(model).is_none() {
                return Err(refuse_invalid("The environment has no such model."));
            }
        }
        Work::Tool {
            service,
            operation,
            repeatable,
            ..
        } => {
            let rule = served.document.repeatable(service, operation, *repeatable);
            *repeatable = rule.ok_or_else(|| refuse_invalid("There is no such operation."))?;
        }
    }
    Ok(())
}

/// Verifies a receipt and returns its turn.
///
/// A receipt of another client account or program is invalid.
pub(super) fn verify_receipt(
    secret: &[u8],
    caller: &Caller,
    program: ProgramId,
    body: &ReceiptRequest,
) -> Result<Turn, Refusal> {
    let turn = ReceiptKey::new(secret).verify(&body.receipt);
    turn.ok()
        .filter(|turn| turn.client_account == caller.client_account && turn.program == program)
        .ok_or_else(|| refuse_invalid("The receipt is not valid for this program."))
}

fn check_key(key: Option<&str>) -> Result<(), Refusal> {
    match key {
        Some(key) if key.is_empty() || key.len() > KEY_MAX_BYTES => {
            Err(refuse_invalid("A key has 1 to 256 bytes."))
        }
        _ => Ok(()),
    }
}

fn refuse_invalid(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Invalid, message)
}
