//! The stream of a call's answer.

use super::sse::{SseEvent, SseReader};
use super::{CallError, Timeouts};
use crate::ids::CallId;
use crate::protocol::caller::{AcceptedEvent, CallAnswer, TokensEvent};
use crate::protocol::link::{Answer, Tokens};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use smol::Timer;
use trillium_client::{Conn, ResponseBody};

/// Part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The call has been accepted under this id.
    Accepted(CallId),
    /// The answer is made anew: drop every token so far.
    Restart,
    /// Some text.
    Tokens(Tokens),
    /// The whole answer; the last event.
    Done(Answer),
}

/// The stream of a call's answer. Dropping it closes its connection.
#[derive(Debug)]
pub struct AnswerStream {
    reader: SseReader<ResponseBody<'static>>,
    timeouts: Timeouts,
    over: bool,
}

impl AnswerStream {
    pub(super) fn new(mut conn: Conn, timeouts: Timeouts) -> Result<Self, CallError> {
        let body = conn
            .take_response_body()
            .ok_or_else(|| CallError::Unreadable("no body".to_owned()))?
            .with_max_len(super::MAX_ANSWER_BYTES);
        Ok(Self {
            reader: SseReader::new(body),
            timeouts,
            over: false,
        })
    }

    /// Waits for the next event; `None` after [`StreamEvent::Done`] or an error.
    ///
    /// A stream that ends or falls silent before its last event is [`CallError::Broken`].
    pub async fn next(&mut self) -> Option<Result<StreamEvent, CallError>> {
        if self.over {
            return None;
        }
        let result = self.read().await;
        self.over = !matches!(
            result,
            Ok(StreamEvent::Accepted(_) | StreamEvent::Restart | StreamEvent::Tokens(_))
        );
        Some(result)
    }

    async fn read(&mut self) -> Result<StreamEvent, CallError> {
        let silence = self.timeouts.silence;
        let event = async { self.reader.next().await.map_err(CallError::broken) };
        let deadline = async {
            Timer::after(silence).await;
            Err(CallError::Broken(format!("silent for {silence:?}")))
        };
        match event.or(deadline).await? {
            Some(event) => parse(&event),
            None => Err(CallError::Broken("the stream was cut".to_owned())),
        }
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
        other => Err(CallError::Unreadable(format!("event {other:?}"))),
    }
}

fn from_json<T: DeserializeOwned>(data: &str) -> Result<T, CallError> {
    serde_json::from_str(data).map_err(|why| CallError::Unreadable(why.to_string()))
}
