//! The streamed answer of a call.

use super::sse::{SseEvent, SseReader};
use super::{CallError, Timeouts};
use crate::http::HttpBody;
use crate::ids::CallId;
use crate::limits::{MAX_EXTRA_EVENTS, MAX_STREAMED_RUNS};
use crate::protocol::caller::{AcceptedEvent, CallAnswer, CallRequest, TokensEvent};
use crate::protocol::link::{Answer, Tokens};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use smol::Timer;

/// An event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The call has been accepted and has this id.
    Accepted(CallId),
    /// The answer is generated again: drop all tokens received so far.
    Restart,
    /// A part of the text.
    Tokens(Tokens),
    /// The whole answer. This is the last event.
    Done(Answer),
}

/// The streamed answer of a call. Dropping it closes its connection.
#[derive(Debug)]
pub struct AnswerStream {
    reader: SseReader,
    timeouts: Timeouts,
    /// Number of events that may still be received; `None` if the call does not limit its tokens.
    remaining_events: Option<u64>,
    is_finished: bool,
}

impl AnswerStream {
    pub(super) fn new(body: HttpBody, timeouts: Timeouts) -> Self {
        Self {
            reader: SseReader::new(body),
            timeouts,
            remaining_events: None,
            is_finished: false,
        }
    }

    /// Limits the events by the most tokens of the call.
    pub(super) fn limited_by(mut self, request: &CallRequest) -> Self {
        self.remaining_events = request.max_tokens.map(|max_tokens| {
            (u64::from(max_tokens) + MAX_EXTRA_EVENTS).saturating_mul(MAX_STREAMED_RUNS)
        });
        self
    }

    /// Waits for the next event; `None` after [`StreamEvent::Done`] or an error.
    ///
    /// Returns [`CallError::Broken`] if the stream ends early or no event arrives within
    /// [`Timeouts::silence`].
    pub async fn next(&mut self) -> Option<Result<StreamEvent, CallError>> {
        if self.is_finished {
            return None;
        }
        let result = self.read().await;
        self.is_finished = !matches!(
            result,
            Ok(StreamEvent::Accepted(_) | StreamEvent::Restart | StreamEvent::Tokens(_))
        );
        Some(result)
    }

    async fn read(&mut self) -> Result<StreamEvent, CallError> {
        let silence = self.timeouts.silence;
        let event = async { self.reader.next().await.map_err(CallError::broken) };
        let expired = async {
            Timer::after(silence).await;
            Err(CallError::Broken(format!("no event within {silence:?}")))
        };
        match event.or(expired).await? {
            Some(event) => {
                self.count_event()?;
                parse(&event)
            }
            None => Err(CallError::Broken(
                "the stream ended before its last event".to_owned(),
            )),
        }
    }

    fn count_event(&mut self) -> Result<(), CallError> {
        if let Some(remaining) = &mut self.remaining_events {
            *remaining = remaining.checked_sub(1).ok_or_else(|| {
                CallError::Broken("more events than the call has tokens".to_owned())
            })?;
        }
        Ok(())
    }
}

fn parse(event: &SseEvent) -> Result<StreamEvent, CallError> {
    match event.name.as_str() {
        "accepted" => {
            let accepted: AcceptedEvent = from_json(&event.data)?;
            Ok(StreamEvent::Accepted(accepted.call))
        }
        "restart" => Ok(StreamEvent::Restart),
        "tokens" => {
            let tokens: TokensEvent = from_json(&event.data)?;
            Ok(StreamEvent::Tokens(tokens.into()))
        }
        "done" => {
            let answer: CallAnswer = from_json(&event.data)?;
            Ok(StreamEvent::Done(answer.into()))
        }
        "refused" => Err(CallError::Refused(from_json(&event.data)?)),
        other => Err(CallError::Unreadable(format!("unknown event {other:?}"))),
    }
}

fn from_json<T: DeserializeOwned>(data: &str) -> Result<T, CallError> {
    serde_json::from_str(data).map_err(|error| CallError::Unreadable(error.to_string()))
}
