//! Answers as server-sent events.

use super::body;
use crate::entry::route::{Route, Step};
use crate::protocol::caller::{AcceptedEvent, CallAnswer, TokensEvent};
use crate::protocol::link::{Event, Reply};
use crate::protocol::log::Log;
use crate::protocol::refusal::Refusal;
use async_channel::Sender;
use serde::Serialize;
use trillium::Body;

/// What is held while an answer is sent.
pub(super) trait Guard: Send + Sync + 'static {
    /// Hears that the first tokens of a stream are here.
    fn first_token(&self) {}
}

/// Starts to stream an answer. A refusal that comes before anything else is returned as such.
pub(super) async fn body<L: Log, G: Guard>(
    mut route: Route<L>,
    guard: G,
    from: u32,
) -> Result<Body, Refusal> {
    let first = route.next().await;
    let first = match first {
        Step::Reply(reply) => match *reply {
            Reply::Refused(refusal) => return Err(refusal),
            reply => Step::Reply(Box::new(reply)),
        },
        step => step,
    };
    let (tx, body) = body::channel();
    let spawner = route.spawner();
    spawner.spawn(async move {
        let mut writer = Writer {
            tx,
            run: None,
            next: from,
        };
        // A caller that has left reads the answer again by its id, or lets it go.
        let _ = writer.copy(first, &mut route, &guard).await;
        drop(guard);
    });
    Ok(body)
}

/// The caller does not read any more.
struct Left;

/// Writes events.
///
/// Invariant: all tokens before `next` that were written belong to `run`.
struct Writer {
    tx: Sender<Vec<u8>>,
    run: Option<u64>,
    next: u32,
}

impl Writer {
    async fn copy<L: Log>(
        &mut self,
        first: Step,
        route: &mut Route<L>,
        guard: &impl Guard,
    ) -> Result<(), Left> {
        let mut step = first;
        let mut has_tokens = false;
        loop {
            if !has_tokens && matches!(step, Step::Event(Event::Tokens(_))) {
                has_tokens = true;
                guard.first_token();
            }
            match step {
                Step::Event(event) => self.event(event).await?,
                Step::Reply(reply) => return self.end(*reply).await,
            }
            step = route.next().await;
        }
    }

    async fn event(&mut self, event: Event) -> Result<(), Left> {
        match event {
            Event::Accepted { call } => self.write("accepted", &AcceptedEvent { call }).await,
            Event::Started { run, .. } => self.start(run).await,
            Event::Tokens(tokens) if tokens.index.saturating_add(tokens.count) <= self.next => {
                Ok(())
            }
            Event::Tokens(tokens) => {
                self.next = tokens.index + tokens.count;
                self.write("tokens", &TokensEvent::from(tokens)).await
            }
        }
    }

    /// Tells the caller to drop the tokens of another run.
    async fn start(&mut self, run: u64) -> Result<(), Left> {
        let before = self.run.replace(run);
        if before.is_none_or(|before| before == run || self.next == 0) {
            return Ok(());
        }
        self.next = 0;
        self.write("restart", &Restart { index: 0 }).await
    }

    async fn end(&mut self, reply: Reply) -> Result<(), Left> {
        match reply {
            Reply::Answer(answer) => self.write("done", &CallAnswer::from(answer)).await,
            reply => self.write("refused", &super::refusal_of(reply)).await,
        }
    }

    async fn write(&self, event: &str, data: &impl Serialize) -> Result<(), Left> {
        let data = serde_json::to_string(data).map_err(|_| Left)?;
        let chunk = format!("event: {event}\ndata: {data}\n\n").into_bytes();
        self.tx.send(chunk).await.map_err(|_| Left)
    }
}

/// Data of the event that tells the caller to drop the tokens it has.
#[derive(Serialize)]
struct Restart {
    /// Position from which the answer comes anew.
    index: u32,
}
