//! Heads of requests, parsed strictly: what is ambiguous is refused, never guessed.

use super::connection_tokens;

/// Headers that a head may have.
const MAX_HEADERS: usize = 96;

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name as received.
    pub name: String,
    /// Its value without surrounding white space.
    pub value: String,
}

impl Header {
    /// Tells whether the header has this name, without regard to case.
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// So many bytes.
    Length(u64),
    /// Chunks, the last of which is empty.
    Chunked,
    /// The connection's end; answers only.
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
    /// Whether the client waits for a go-ahead before it sends the body.
    pub(crate) expects_continue: bool,
    /// Host without port, in lowercase.
    pub(crate) host: String,
}

/// Why a head was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HeadError {
    /// It is no head of a request, or its framing is ambiguous.
    Malformed,
    /// It has too many or too long headers.
    TooLarge,
}

/// Parses the head at the start of `bytes`; `None` if it is not complete yet.
///
/// Returns the head and its length in bytes.
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

/// Copies parsed headers; `None` if a value is not text.
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

/// Parses a length that has digits only.
pub(super) fn parse_length(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// Returns the only header of a name; two of them are ambiguous.
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

/// Lines must end with CR LF: a bare LF could be read in two ways.
fn has_bare_newline(head: &[u8]) -> bool {
    let newlines = head.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    newlines
        .into_iter()
        .any(|(position, _)| position == 0 || head[position - 1] != b'\r')
}

/// Drops the port of a host and its case.
fn host_name(host: &str) -> String {
    let name = host.split(':').next().unwrap_or_default();
    name.to_ascii_lowercase()
}
