//! Parsing of answer heads.

use super::head::{copy_headers, parse_length};
use super::{Framing, Header, connection_tokens};
use crate::limits::MAX_ANSWER_HEAD_BYTES;
use std::time::Duration;

/// Maximum number of headers.
const MAX_HEADERS: usize = 96;

/// The head of an answer.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) reason: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) framing: Framing,
    /// Whether the connection can be reused.
    pub(crate) keep_alive: bool,
    /// Time for which the endpoint keeps an idle connection, if stated.
    pub(crate) idle_timeout: Option<Duration>,
}

/// Parses the head at the start of `bytes` and returns it with its length in bytes.
///
/// Returns `None` if the head is incomplete, and an error if the bytes are not a valid answer.
pub(crate) fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ()> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut storage);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_ANSWER_HEAD_BYTES => return Ok(None),
        _ => return Err(()),
    };
    let status = response.code.filter(|status| is_valid(*status)).ok_or(())?;
    let headers = copy_headers(response.headers).ok_or(())?;
    let framing = response_framing(status, &headers)?;
    let tokens = connection_tokens(&headers);
    let closes = tokens.iter().any(|token| token == "close") || response.version == Some(0);
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        framing,
        keep_alive: !closes && framing != Framing::UntilClose,
        idle_timeout: idle_timeout(&headers),
        headers,
    };
    Ok(Some((head, length)))
}

/// Returns whether a status is one of an answer, or of an interim one. Status 101 is neither: after it
/// the connection carries another protocol, which no request asks for.
fn is_valid(status: u16) -> bool {
    (100..600).contains(&status) && status != 101
}

fn response_framing(status: u16, headers: &[Header]) -> Result<Framing, ()> {
    if status < 200 || status == 204 || status == 304 {
        return Ok(Framing::Empty);
    }
    let values = |name: &'static str| headers.iter().filter(move |header| header.is(name));
    let mut lengths = values("content-length");
    let length = lengths.next();
    if lengths.any(|other| Some(&other.value) != length.map(|first| &first.value)) {
        return Err(());
    }
    let mut codings = values("transfer-encoding");
    match (codings.next(), length) {
        (None, None) => Ok(Framing::UntilClose),
        (None, Some(length)) => parse_length(&length.value).map(Framing::Length).ok_or(()),
        (Some(coding), None) if coding.value.eq_ignore_ascii_case("chunked") => {
            codings.next().map_or(Ok(Framing::Chunked), |_| Err(()))
        }
        _ => Err(()),
    }
}

/// Returns the value of `timeout=N` in a `Keep-Alive` header, which is in seconds.
fn idle_timeout(headers: &[Header]) -> Option<Duration> {
    let header = headers.iter().find(|header| header.is("keep-alive"))?;
    let mut parts = header.value.split(',').map(str::trim);
    let timeout = parts.find_map(|part| part.strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
