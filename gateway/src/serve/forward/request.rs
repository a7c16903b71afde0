//! The request that an endpoint gets.

use crate::dialect::{Dialect, Dispatch};
use crate::node::Gateway;
use crate::serve::call::Call;
use crate::serve::http::{Framing, Header, connection_tokens, is_hop_header};
use crate::serve::stream::{EventId, LAST_EVENT_ID};

/// A request to send to an endpoint of a service.
#[derive(Clone, Copy)]
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) call: &'a Call,
    pub(crate) service: &'a str,
    pub(crate) body: &'a [u8],
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    /// Last event of the stream that was forwarded, if the request asks for the rest of a stream.
    pub(crate) resume_after: Option<EventId>,
}

impl<D: Dialect> Gateway<D> {
    /// Serializes the request for an endpoint, with hop-by-hop and reserved headers removed.
    pub(super) fn request_bytes(&self, outgoing: &OutgoingRequest<'_>, instance: &str) -> Vec<u8> {
        let call = outgoing.call;
        let head = &call.head;
        let mut bytes = Vec::with_capacity(512 + outgoing.body.len());
        let mut line = |text: &str| bytes.extend_from_slice(text.as_bytes());
        line(&head.method);
        line(" ");
        line(&head.target);
        line(" HTTP/1.1\r\n");
        let connection_headers = connection_tokens(&head.headers);
        for header in &head.headers {
            let is_replaced = outgoing.resume_after.is_some() && header.is(LAST_EVENT_ID);
            if !is_replaced && is_forwarded::<D>(header, &connection_headers) {
                line(&header.name);
                line(": ");
                line(&header.value);
                line("\r\n");
            }
        }
        if let Some(last_event_id) = outgoing.resume_after {
            line(&format!("{LAST_EVENT_ID}: {last_event_id}\r\n"));
        }
        if head.framing != Framing::Empty || !outgoing.body.is_empty() {
            line(&format!("Content-Length: {}\r\n", outgoing.body.len()));
        }
        let dispatch = Dispatch {
            time_left: call.time_left(),
            instance,
            account: call.account.as_ref().map(|account| &*account.name),
        };
        D::write_dispatch(&dispatch, &mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(outgoing.body);
        bytes
    }
}

/// Returns whether a client's header is forwarded to the endpoint.
fn is_forwarded<D: Dialect>(header: &Header, connection_headers: &[String]) -> bool {
    !is_hop_header(&header.name, connection_headers)
        && !header.is("content-length")
        && !header.is("expect")
        && !D::is_reserved(&header.name)
}
