//! Strict parsing of request heads; ambiguous heads are refused.

use super::connection_tokens;
use std::fmt::{self, Debug, Formatter};

/// Maximum number of headers.
const MAX_HEADERS: usize = 96;

/// A header line.
#[derive(Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in the case in which it was received.
    pub name: String,
    /// Value without surrounding white space.
    pub value: String,
}

/// Shows no value, since values hold credentials.
impl Debug for Header {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ({} bytes)", self.name, self.value.len())
    }
}

impl Header {
    /// Returns whether the header has this name, ignoring case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// Method by which the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this length in bytes.
    Length(u64),
    /// The body is sent in chunks and ends with an empty one.
    Chunked,
    /// The body ends with the connection; only for answers.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) framing: Framing,
    /// Whether the client keeps the connection open after the answer.
    pub(crate) keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    /// Host in lowercase, without port.
    pub(crate) host: String,
}

/// Reason why a head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HeadError {
    /// The head is invalid, or its framing is ambiguous.
    Malformed,
    /// The head has too many headers.
    TooLarge,
}

/// Parses the head at the start of `bytes` and returns it with its length in bytes.
///
/// Returns `None` if the head is incomplete.
pub(crate) fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut storage);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    if has_bare_newline(&bytes[..length]) {
        return Err(HeadError::Malformed);
    }
    let headers = copy_headers(request.headers).ok_or(HeadError::Malformed)?;
    let is_http_1_0 = request.version == Some(0);
    let framing = request_framing(&headers, is_http_1_0)?;
    let tokens = connection_tokens(&headers);
    let has_token = |name: &str| tokens.iter().any(|token| token == name);
    let host = unique_header(&headers, "host")?.ok_or(HeadError::Malformed)?;
    let expects_continue = headers
        .iter()
        .any(|header| header.is("expect") && header.value.eq_ignore_ascii_case("100-continue"));
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        framing,
        keep_alive: !has_token("close") && (!is_http_1_0 || has_token("keep-alive")),
        expects_continue,
        host: host_name(host),
        headers,
    };
    Ok(Some((head, length)))
}

/// Copies parsed headers; `None` if a value is not UTF-8.
pub(super) fn copy_headers(parsed: &[httparse::Header<'_>]) -> Option<Vec<Header>> {
    let copy = |header: &httparse::Header<'_>| {
        let value = str::from_utf8(header.value).ok()?;
        Some(Header {
            name: header.name.to_owned(),
            value: value.trim().to_owned(),
        })
    };
    parsed.iter().map(copy).collect()
}

/// Parses a length that consists of digits only; `parse` alone would accept a sign.
pub(super) fn parse_length(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// Returns the value of a header; an error if the header occurs twice, since that is ambiguous.
fn unique_header<'a>(headers: &'a [Header], name: &str) -> Result<Option<&'a str>, HeadError> {
    let mut found = headers.iter().filter(|header| header.is(name));
    let first = found.next();
    if found.next().is_some() {
        return Err(HeadError::Malformed);
    }
    Ok(first.map(|header| header.value.as_str()))
}

fn request_framing(headers: &[Header], is_http_1_0: bool) -> Result<Framing, HeadError> {
    let coding = unique_header(headers, "transfer-encoding")?;
    let length = unique_header(headers, "content-length")?;
    match (coding, length) {
        (None, None) => Ok(Framing::Empty),
        (None, Some(text)) => parse_length(text)
            .map(Framing::Length)
            .ok_or(HeadError::Malformed),
        (Some(coding), None) if !is_http_1_0 && coding.eq_ignore_ascii_case("chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(HeadError::Malformed),
    }
}

/// Returns whether a line ends with LF without CR. Such lines are refused because other
/// implementations may interpret them differently.
fn has_bare_newline(head: &[u8]) -> bool {
    let newlines = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    newlines
        .into_iter()
        .any(|(position, _)| position == 0 || head[position - 1] != b'\r')
}

/// Removes the port of a host and converts it to lowercase.
fn host_name(host: &str) -> String {
    let name = host.split(':').next().unwrap_or_default();
    name.to_ascii_lowercase()
}
