//! The two ends of one stream of a link.

use super::{Frame, LinkError, Shared, WINDOW_EVENTS, Wire};
use async_channel::Receiver;
use std::sync::Arc;

/// Part of an answer, or its end.
pub(crate) enum Inbound<W: Wire> {
    /// Part.
    Event(W::Event),
    /// The end.
    Reply(W::Reply),
}

/// An answer on its way. Dropping it tells the other end that nobody waits any more.
pub(crate) struct Exchange<W: Wire> {
    shared: Arc<Shared<W>>,
    stream: u64,
    rx: Receiver<Inbound<W>>,
    consumed: u32,
    over: bool,
}

impl<W: Wire> Exchange<W> {
    pub(super) fn new(shared: Arc<Shared<W>>, stream: u64, rx: Receiver<Inbound<W>>) -> Self {
        Self {
            shared,
            stream,
            rx,
            consumed: 0,
            over: false,
        }
    }

    /// Waits for the next part.
    pub(crate) async fn next(&mut self) -> Result<Inbound<W>, LinkError> {
        let inbound = self.rx.recv().await.map_err(|_| LinkError::Broken)?;
        match inbound {
            Inbound::Reply(_) => self.over = true,
            Inbound::Event(_) => self.grant(),
        }
        Ok(inbound)
    }

    fn grant(&mut self) {
        self.consumed += 1;
        if self.consumed < WINDOW_EVENTS / 2 {
            return;
        }
        let credit = Frame::Credit {
            stream: self.stream,
            events: std::mem::take(&mut self.consumed),
        };
        // A broken link shows at the next receive.
        let _ = self.shared.send(&credit);
    }
}

impl<W: Wire> Drop for Exchange<W> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        self.shared.opened().remove(&self.stream);
        let _ = self.shared.send(&Frame::Reset {
            stream: self.stream,
        });
    }
}

/// The asker does not wait any more, or the link broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gone;

/// Sends the answer to one request.
pub(crate) struct Responder<W: Wire> {
    shared: Arc<Shared<W>>,
    stream: u64,
    sequence: u32,
    credit: u32,
    grants: Receiver<u32>,
}

impl<W: Wire> Responder<W> {
    pub(super) fn new(shared: Arc<Shared<W>>, stream: u64, grants: Receiver<u32>) -> Self {
        Self {
            shared,
            stream,
            sequence: 0,
            credit: WINDOW_EVENTS,
            grants,
        }
    }

    /// Sends part of the answer; waits while the asker is slow.
    pub(crate) async fn event(&mut self, event: W::Event) -> Result<(), Gone> {
        while let Ok(grant) = self.grants.try_recv() {
            self.credit += grant;
        }
        while self.credit == 0 {
            self.credit += self.grants.recv().await.map_err(|_| Gone)?;
        }
        if self.grants.is_closed() {
            return Err(Gone);
        }
        let frame = Frame::Event {
            stream: self.stream,
            sequence: self.sequence,
            event,
        };
        self.credit -= 1;
        self.sequence += 1;
        self.shared.send(&frame).map_err(|_| Gone)
    }

    /// Sends the end of the answer.
    pub(crate) fn reply(self, reply: W::Reply) {
        let frame = Frame::Reply {
            stream: self.stream,
            sequence: self.sequence,
            reply,
        };
        // Nobody to tell if the link broke: the asker sees it at its own end.
        let _ = self.shared.send(&frame);
    }

    /// Waits until the asker does not wait any more.
    pub(crate) async fn gone(&mut self) {
        while let Ok(grant) = self.grants.recv().await {
            self.credit += grant;
        }
    }
}

impl<W: Wire> Drop for Responder<W> {
    fn drop(&mut self) {
        self.shared.served().remove(&self.stream);
    }
}
