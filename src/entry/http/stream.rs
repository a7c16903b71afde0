//! Call answers as server-sent events.

use super::body;
use crate::entry::route::{Route, Step};
use crate::protocol::caller::{AcceptedEvent, CallAnswer, TokensEvent};
use crate::protocol::link::{Event, Reply};
use crate::protocol::log::Log;
use crate::protocol::refusal::Refusal;
use async_channel::Sender;
use futures_lite::FutureExt;
use serde::Serialize;
use trillium::Body;

/// Resource held while an answer is sent, and released when dropped.
pub(super) trait StreamGuard: Send + Sync + 'static {
    /// Called once, when the first tokens of the stream arrive.
    fn on_first_token(&self) {}
}

/// Starts to stream an answer from token `from` on.
///
/// A refusal before any event is returned as an error, so that it sets the HTTP status.
pub(super) async fn stream_answer<L: Log, G: StreamGuard>(
    mut route: Route<L>,
    guard: G,
    from: u32,
) -> Result<Body, Refusal> {
    let aborted = route.aborted();
    let aborted = async { Step::Reply(Box::new(aborted.await)) };
    let first = match route.next().or(aborted).await {
        Step::Reply(reply) => match *reply {
            Reply::Refused(refusal) => return Err(refusal),
            reply => Step::Reply(Box::new(reply)),
        },
        step => step,
    };
    let (tx, body) = body::channel();
    let spawner = route.spawner();
    spawner.spawn(async move {
        let mut writer = EventWriter {
            tx,
            run: None,
            next_index: from,
        };
        let aborted = route.aborted();
        let aborted = async { Some(aborted.await) };
        let written = async {
            // A caller that has disconnected can read the answer again by the call's id.
            let _ = writer.write_answer(first, &mut route, &guard).await;
            None
        };
        if let Some(refusal) = written.or(aborted).await {
            let _ = writer.write_end(refusal).await;
        }
        drop(guard);
    });
    Ok(body)
}

/// Error: the caller has disconnected or an event cannot be encoded.
struct CallerGone;

/// Writer of server-sent events.
///
/// Invariant: all written tokens before `next_index` belong to `run`.
struct EventWriter {
    tx: Sender<Vec<u8>>,
    run: Option<u64>,
    next_index: u32,
}

impl EventWriter {
    async fn write_answer<L: Log>(
        &mut self,
        first: Step,
        route: &mut Route<L>,
        guard: &impl StreamGuard,
    ) -> Result<(), CallerGone> {
        let mut step = first;
        let mut has_tokens = false;
        loop {
            if !has_tokens && matches!(step, Step::Event(Event::Tokens(_))) {
                has_tokens = true;
                guard.on_first_token();
            }
            match step {
                Step::Event(event) => self.write_event(event).await?,
                Step::Reply(reply) => return self.write_end(*reply).await,
            }
            step = route.next().await;
        }
    }

    async fn write_event(&mut self, event: Event) -> Result<(), CallerGone> {
        match event {
            Event::Accepted { call } => self.write("accepted", &AcceptedEvent { call }).await,
            Event::Started { run, .. } => self.write_start(run).await,
            Event::Tokens(tokens)
                if tokens.index.saturating_add(tokens.count) <= self.next_index =>
            {
                Ok(())
            }
            Event::Tokens(tokens) => {
                self.next_index = tokens.index + tokens.count;
                self.write("tokens", &TokensEvent::from(tokens)).await
            }
        }
    }

    /// Records the run of the following tokens. If another run has sent tokens, tells the caller to
    /// discard them.
    async fn write_start(&mut self, run: u64) -> Result<(), CallerGone> {
        let previous = self.run.replace(run);
        if previous.is_none_or(|previous| previous == run || self.next_index == 0) {
            return Ok(());
        }
        self.next_index = 0;
        self.write("restart", &Restart { index: 0 }).await
    }

    async fn write_end(&mut self, reply: Reply) -> Result<(), CallerGone> {
        match reply {
            Reply::Answer(answer) => self.write("done", &CallAnswer::from(answer)).await,
            reply => self.write("refused", &super::into_refusal(reply)).await,
        }
    }

    async fn write(&self, event: &str, data: &impl Serialize) -> Result<(), CallerGone> {
        let data = serde_json::to_string(data).map_err(|_| CallerGone)?;
        let chunk = format!("event: {event}\ndata: {data}\n\n").into_bytes();
        self.tx.send(chunk).await.map_err(|_| CallerGone)
    }
}

/// Data of the `restart` event, which tells the caller to discard the tokens received so far.
#[derive(Serialize)]
struct Restart {
    /// Index of the token from which the answer is sent again.
    index: u32,
}
