//! The two ends of a stream: [`Exchange`] for the requester, [`Responder`] for the handler.

use super::{Frame, LinkError, Protocol, Shared, WINDOW_EVENTS};
use async_channel::Receiver;
use std::sync::Arc;

/// A message of a response.
pub(crate) enum Inbound<P: Protocol> {
    /// An intermediate event.
    Event(P::Event),
    /// The reply, which ends the stream.
    Reply(P::Reply),
}

/// The response to a request, read message by message. Dropping it before the reply resets the
/// stream at the other end.
pub(crate) struct Exchange<P: Protocol> {
    shared: Arc<Shared<P>>,
    stream: u64,
    rx: Receiver<Inbound<P>>,
    /// Events received since the last credit was granted.
    consumed: u32,
    is_finished: bool,
}

impl<P: Protocol> Exchange<P> {
    pub(super) fn new(shared: Arc<Shared<P>>, stream: u64, rx: Receiver<Inbound<P>>) -> Self {
        Self {
            shared,
            stream,
            rx,
            consumed: 0,
            is_finished: false,
        }
    }

    /// Waits for the next message.
    pub(crate) async fn next(&mut self) -> Result<Inbound<P>, LinkError> {
        let inbound = self.rx.recv().await.map_err(|_| LinkError::Broken)?;
        match inbound {
            Inbound::Reply(_) => self.is_finished = true,
            Inbound::Event(_) => self.grant_credit(),
        }
        Ok(inbound)
    }

    fn grant_credit(&mut self) {
        self.consumed += 1;
        if self.consumed < WINDOW_EVENTS / 2 {
            return;
        }
        let credit = Frame::Credit {
            stream: self.stream,
            events: std::mem::take(&mut self.consumed),
        };
        // If the link is broken, the next receive returns the error.
        let _ = self.shared.send(&credit);
    }
}

impl<P: Protocol> Drop for Exchange<P> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.shared.local_streams().remove(&self.stream);
        let _ = self.shared.send(&Frame::Reset {
            stream: self.stream,
        });
    }
}

/// The requester has dropped its [`Exchange`], or the link broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequesterGone;

/// Sends the response to one request.
pub(crate) struct Responder<P: Protocol> {
    pub(super) shared: Arc<Shared<P>>,
    pub(super) stream: u64,
    sequence: u32,
    credit: u32,
    credit_rx: Receiver<u32>,
}

impl<P: Protocol> Responder<P> {
    pub(super) fn new(shared: Arc<Shared<P>>, stream: u64, credit_rx: Receiver<u32>) -> Self {
        Self {
            shared,
            stream,
            sequence: 0,
            credit: WINDOW_EVENTS,
            credit_rx,
        }
    }

    /// Sends an event. Waits while the flow-control window is exhausted.
    pub(crate) async fn send_event(&mut self, event: P::Event) -> Result<(), RequesterGone> {
        while let Ok(grant) = self.credit_rx.try_recv() {
            self.credit += grant;
        }
        while self.credit == 0 {
            self.credit += self.credit_rx.recv().await.map_err(|_| RequesterGone)?;
        }
        if self.credit_rx.is_closed() {
            return Err(RequesterGone);
        }
        let frame = Frame::Event {
            stream: self.stream,
            sequence: self.sequence,
            event,
        };
        self.credit -= 1;
        self.sequence += 1;
        self.shared.send(&frame).map_err(|_| RequesterGone)
    }

    /// Sends the reply and ends the stream.
    pub(crate) fn reply(self, reply: P::Reply) {
        let frame = Frame::Reply {
            stream: self.stream,
            sequence: self.sequence,
            reply,
        };
        // If the link broke, the requester notices it at its own end.
        let _ = self.shared.send(&frame);
    }

    /// Waits until the requester drops its exchange or the link breaks.
    pub(crate) async fn requester_gone(&mut self) {
        while let Ok(grant) = self.credit_rx.recv().await {
            self.credit += grant;
        }
    }
}

impl<P: Protocol> Drop for Responder<P> {
    fn drop(&mut self) {
        self.shared.remote_streams().remove(&self.stream);
    }
}
