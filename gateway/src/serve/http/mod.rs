//! HTTP/1.1 heads, framing and bodies, with control over each byte and each close.

mod body;
mod connection;
mod head;
mod response;
#[cfg(test)]
mod tests;

pub(crate) use body::{BodyDecoder, BodyError};
pub(crate) use connection::{Connection, is_reset};
pub use head::Header;
pub(crate) use head::{Framing, HeadError, RequestHead, parse_request};
pub(crate) use response::{ResponseHead, parse_response};

/// Hop-by-hop headers, which apply to one connection only and are never forwarded.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is hop-by-hop, either by definition or because `Connection` names it.
pub(crate) fn is_hop_header(name: &str, connection_headers: &[String]) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        || connection_headers
            .iter()
            .any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Returns the tokens of all `Connection` headers, in lowercase.
pub(crate) fn connection_tokens(headers: &[Header]) -> Vec<String> {
    let lines = headers.iter().filter(|header| header.is("connection"));
    lines
        .flat_map(|header| header.value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .filter(|token| !token.is_empty())
        .collect()
}
