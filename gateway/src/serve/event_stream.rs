//! Forwards the events of a stream, and continues a broken one at another endpoint.

use crate::choice::endpoints::{CallOutcome, InstanceId};
use crate::dialect::Dialect;
use crate::limits::{MAX_EVENT_BYTES, MAX_EXTRA_EVENTS, MAX_STREAM_BYTES, MAX_TURN_BYTES};
use crate::net::with_timeout;
use crate::node::Gateway;
use crate::serve::forward::{EndpointAnswer, Exchange, OutgoingRequest};
use crate::serve::reply::Reply;
use crate::serve::stream::{EventId, EventSplitter, append_data, event_id, has_data};
use crate::turns::reserved_turn::ReservedTurn;
use std::rc::Rc;
use std::time::Duration;

/// Pause of a stream after which it is continued elsewhere, as a multiple of the route's longest
/// acceptable pause. Endpoints that are only busy pause for less.
const STALL_FACTOR: u32 = 4;

/// Minimum pause after which a stream is continued elsewhere.
const MIN_STALL: Duration = Duration::from_millis(600);

/// A stream that was forwarded to its end.
pub(crate) struct ForwardedStream {
    /// Endpoint that sent the last event.
    pub(crate) endpoint: InstanceId,
    /// Input of the turn and the data of all events, each followed by a line feed.
    pub(crate) text: Vec<u8>,
}

/// Reason why a stream broke.
#[derive(Clone, Copy, Debug)]
enum StreamBreak {
    /// The client can no longer be reached.
    Client(&'static str),
    /// The endpoint broke the stream; another one may continue it.
    Endpoint(&'static str),
    /// The stream exceeds a limit that would hold elsewhere too.
    Excess(&'static str),
}

impl StreamBreak {
    fn reason(self) -> &'static str {
        match self {
            Self::Client(reason) | Self::Endpoint(reason) | Self::Excess(reason) => reason,
        }
    }
}

/// Forwards one stream to a client.
pub(crate) struct StreamForwarder<'a, D: Dialect> {
    gateway: &'a Rc<Gateway<D>>,
    outgoing: &'a OutgoingRequest<'a>,
    reply: &'a Reply,
    reserved: Option<&'a ReservedTurn<D>>,
    tokens_per_event: u64,
    /// Most events with data that the request allows.
    max_events: u64,
    /// Input of the turn and the data of the events so far; empty if the turn is not kept.
    text: Vec<u8>,
    /// Number of events with data that were forwarded.
    event_count: u64,
    /// Id of the last event that the client has, if it had one.
    last_event_id: Option<EventId>,
    /// Whether an event with data had no id, so that no other endpoint can go on after it.
    has_unnumbered_event: bool,
}

impl<'a, D: Dialect> StreamForwarder<'a, D> {
    pub(crate) fn new(
        gateway: &'a Rc<Gateway<D>>,
        outgoing: &'a OutgoingRequest<'a>,
        reply: &'a Reply,
        reserved: Option<&'a ReservedTurn<D>>,
    ) -> Self {
        let is_kept = outgoing.call.route.retention.is_some();
        let tokens_per_event = outgoing.call.tokens_per_event(outgoing.service);
        // No more is reserved of a budget than the stated tokens.
        let extra_events = match outgoing.call.info.budget_tokens {
            Some(_) => 0,
            None => MAX_EXTRA_EVENTS,
        };
        let stated_events = outgoing.call.max_events(outgoing.service);
        let max_events = stated_events.map_or(u64::MAX, |events| events + extra_events);
        let text = is_kept.then(|| outgoing.call.body.clone());
        Self {
            gateway,
            outgoing,
            reply,
            reserved,
            tokens_per_event,
            max_events,
            text: text.unwrap_or_default(),
            event_count: 0,
            last_event_id: outgoing.call.last_event_id(),
            has_unnumbered_event: false,
        }
    }

    /// Forwards a stream event by event, without its end. Returns `None` if it broke.
    ///
    /// The answer has the head of the first endpoint, whichever endpoints continue it.
    pub(crate) async fn forward(mut self, exchange: Box<Exchange<D>>) -> Option<ForwardedStream> {
        let head = &exchange.head;
        let head_written = self
            .reply
            .start_chunked(head.status, &head.reason, &head.headers)
            .await;
        head_written.ok()?;
        let mut exchange = exchange;
        loop {
            let can_resume = self.can_resume();
            let forwarded = self.forward_events(&mut exchange, can_resume).await;
            match forwarded {
                Ok(()) => {
                    self.log("stream_ended", &exchange, "");
                    let endpoint = exchange.endpoint.clone();
                    exchange.record_answer_tokens(self.event_count * self.tokens_per_event);
                    exchange.finish(CallOutcome::Answered);
                    let text = self.text;
                    return Some(ForwardedStream { endpoint, text });
                }
                Err(broken) => self.log("stream_broken", &exchange, broken.reason()),
            }
            let is_endpoints_fault = matches!(forwarded, Err(StreamBreak::Endpoint(_)));
            if !can_resume || !is_endpoints_fault || self.has_unnumbered_event {
                return None;
            }
            // The endpoint stops its run when the connection closes.
            drop(exchange);
            exchange = self.resume().await?;
        }
    }

    fn log(&self, event: &str, exchange: &Exchange<D>, reason: &str) {
        crate::event!(event, "request" => self.outgoing.call.id(),
            "endpoint" => &*exchange.endpoint, "reason" => reason, "events" => self.event_count,
            "tokens" => self.event_count * self.tokens_per_event, "bytes" => exchange.body_bytes());
    }

    /// Returns whether the stream may go on at another endpoint if its current one fails.
    fn can_resume(&self) -> bool {
        let call = self.outgoing.call;
        call.route.is_resumable && call.send_count.get() < call.route.max_attempts
    }

    /// Sends the request to another endpoint for the events after the last forwarded one.
    async fn resume(&self) -> Option<Box<Exchange<D>>> {
        let resumed = OutgoingRequest {
            resume_after: self.last_event_id,
            ..*self.outgoing
        };
        let (reason, exchange) = match self.gateway.send(&resumed).await {
            Ok(EndpointAnswer::Stream(exchange)) => ("", Some(exchange)),
            Ok(EndpointAnswer::Whole { .. }) => ("the endpoint answered without a stream", None),
            Err(failure) => (failure.reason, None),
        };
        let call = self.outgoing.call;
        crate::event!("stream_resumed", "request" => call.id(), "reason" => reason,
            "endpoint" => exchange.as_ref().map_or("", |exchange| &*exchange.endpoint),
            "last_event" => self.last_event_id.unwrap_or_default(),
            "left_ms" => call.time_left().as_millis());
        exchange
    }

    /// Forwards the events of one endpoint until its stream ends or breaks.
    async fn forward_events(
        &mut self,
        exchange: &mut Exchange<D>,
        can_resume: bool,
    ) -> Result<(), StreamBreak> {
        let resumed_after = self.last_event_id;
        let earlier_events = self.event_count;
        let mut splitter = EventSplitter::default();
        let mut bytes_since_data = 0;
        loop {
            let bytes = self.read(exchange, can_resume).await?;
            splitter.push(&bytes.data);
            bytes_since_data += bytes.data.len();
            let mut events = Vec::new();
            let mut has_repeated_event = false;
            let mut has_excess_event = false;
            while let Some(event) = splitter.next_event() {
                let id = event_id(&event);
                if id.is_some() && id <= resumed_after {
                    has_repeated_event = true;
                    break;
                }
                if self.event_count >= self.max_events && has_data(&event) {
                    has_excess_event = true;
                    break;
                }
                self.last_event_id = id.or(self.last_event_id);
                if self.count(&event) {
                    bytes_since_data = splitter.rest().len();
                    self.has_unnumbered_event |= id.is_none();
                }
                events.extend_from_slice(&event);
            }
            let framing = exchange.head.framing;
            let has_data = self.event_count > earlier_events;
            let checked_end = bytes.is_last.then(|| splitter.check_end(framing, has_data));
            if checked_end == Some(Ok(())) && !has_repeated_event && !has_excess_event {
                events.extend_from_slice(splitter.rest());
            }
            let written = self.reply.write_chunk(&events).await;
            written.map_err(|_| StreamBreak::Client("the client closed the connection"))?;
            if has_repeated_event {
                exchange.record_failure();
                return Err(StreamBreak::Endpoint("the endpoint repeats events"));
            }
            let excess = match has_excess_event {
                true => Some("the stream has more events than the turn's tokens"),
                false => self.excess(exchange, bytes_since_data),
            };
            if let Some(reason) = excess {
                exchange.record_failure();
                return Err(StreamBreak::Excess(reason));
            }
            if let Some(checked_end) = checked_end {
                return checked_end.map_err(|reason| {
                    exchange.record_wrong_end();
                    StreamBreak::Endpoint(reason)
                });
            }
        }
    }

    /// Reads the next bytes. A pause is a failure if another endpoint may continue the stream.
    async fn read(
        &self,
        exchange: &mut Exchange<D>,
        can_resume: bool,
    ) -> Result<StreamBytes, StreamBreak> {
        let mut data = Vec::new();
        let read = exchange.read(&mut data);
        let read = if can_resume && self.event_count > 0 {
            let longest_pause = self.outgoing.call.route.longest_pause;
            let limit = (longest_pause * STALL_FACTOR).max(MIN_STALL);
            with_timeout(limit, read).await
        } else {
            Some(read.await)
        };
        match read {
            Some(Ok(is_last)) => Ok(StreamBytes { data, is_last }),
            Some(Err(failure)) => Err(StreamBreak::Endpoint(failure.reason)),
            None => {
                exchange.record_failure();
                Err(StreamBreak::Endpoint("the stream stalled"))
            }
        }
    }

    /// Returns the reason why the stream must be cut off, if it exceeds a limit.
    fn excess(&self, exchange: &Exchange<D>, bytes_since_data: usize) -> Option<&'static str> {
        if bytes_since_data > MAX_EVENT_BYTES {
            Some("the stream has too many bytes without an event")
        } else if exchange.body_bytes() > MAX_STREAM_BYTES {
            Some("the stream is too large")
        } else if self.text.len() > MAX_TURN_BYTES {
            Some("the turn is too large to be kept")
        } else {
            None
        }
    }

    /// Counts an event that is about to be forwarded. Returns whether it has data.
    fn count(&mut self, event: &[u8]) -> bool {
        if !append_data(event, &mut self.text) {
            return false;
        }
        self.event_count += 1;
        if let Some(reserved) = self.reserved {
            reserved.add_spent(self.tokens_per_event);
        }
        if self.outgoing.call.route.retention.is_none() {
            self.text.clear();
        }
        true
    }
}

/// Bytes read from a stream.
struct StreamBytes {
    data: Vec<u8>,
    /// Whether the body ends with them.
    is_last: bool,
}
