//! Model engines over HTTP.

use crate::adapter::http::{HttpAnswer, HttpClient, HttpRequest};
use crate::adapter::sse::DataLines;
use crate::ids::{CallId, Epoch, ProgramId, format_id, parse_id};
use crate::protocol::engine::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineLoad, EngineOrder, EngineStream,
    EngineUsage, GenerateRequest,
};
use crate::protocol::message::Message;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use trillium_client::Method;

/// Ends an event stream.
const DONE: &str = "[DONE]";

/// A client of a model engine. See `docs/ENGINE.md` for the protocol.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    http: HttpClient,
}

impl HttpEngine {
    /// Makes a client for a base URL such as `http://127.0.0.1:80`.
    ///
    /// `timeout` is for a whole answer, and for the head of a stream; the rest of a stream has no
    /// time limit here.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(base, timeout),
        }
    }

    /// Sends a request whose answer is an event stream.
    async fn open(&self, request: HttpRequest) -> Result<HttpEngineStream, EngineError> {
        let body = self.http.open(request).await.map_err(unreachable)?;
        if body.status == 200 {
            return Ok(HttpEngineStream::new(DataLines::new(body)));
        }
        let answer = body.read_whole().await.map_err(unreachable)?;
        Err(refusal(&answer))
    }

    /// Sends a request and returns the body of a successful answer.
    async fn send(&self, request: HttpRequest) -> Result<Vec<u8>, EngineError> {
        let answer = self.http.send(request).await.map_err(unreachable)?;
        match answer.status {
            200..=299 => Ok(answer.body),
            _ => Err(refusal(&answer)),
        }
    }

    /// Sends a request and decodes the answer.
    async fn ask<T: DeserializeOwned>(&self, request: HttpRequest) -> Result<T, EngineError> {
        let body = self.send(request).await?;
        serde_json::from_slice(&body).map_err(unreachable)
    }
}

impl Engine for HttpEngine {
    type Stream = HttpEngineStream;

    async fn generate(&self, request: GenerateRequest) -> Result<HttpEngineStream, EngineError> {
        let body = encode(&Completion::from(&request))?;
        self.open(HttpRequest::new(Method::Post, "/v1/chat/completions").json(body))
            .await
    }

    async fn resume(&self, call: CallId, index: u32) -> Result<HttpEngineStream, EngineError> {
        let target = format!("/v1/streams/{}?from={index}", format_id(call));
        self.open(HttpRequest::new(Method::Get, target)).await
    }

    async fn cancel(&self, call: CallId) -> Result<(), EngineError> {
        let target = format!("/v1/streams/{}", format_id(call));
        let request = HttpRequest::new(Method::Delete, target);
        match self.send(request).await {
            Ok(_) | Err(EngineError::Unknown) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn release(&self, program: ProgramId) -> Result<u64, EngineError> {
        let request = HttpRequest::new(Method::Delete, cache_target(program));
        match self.ask::<Held>(request).await {
            Ok(held) => Ok(held.held_tokens),
            Err(EngineError::Unknown) => Ok(0),
            Err(error) => Err(error),
        }
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.ask(HttpRequest::new(Method::Get, "/v1/load")).await
    }

    async fn cache_events(&self, sequence: u64) -> Result<Vec<CacheEvent>, EngineError> {
        let target = format!("/v1/cache/events?after={sequence}");
        let events: Vec<WireEvent> = self.ask(HttpRequest::new(Method::Get, target)).await?;
        events.into_iter().map(WireEvent::decode).collect()
    }

    async fn export(&self, program: ProgramId) -> Result<Vec<u8>, EngineError> {
        let target = format!("{}/export", cache_target(program));
        self.send(HttpRequest::new(Method::Get, target)).await
    }

    async fn import(&self, program: ProgramId, cache: Vec<u8>) -> Result<(), EngineError> {
        let target = format!("{}/import", cache_target(program));
        let request = HttpRequest::new(Method::Put, target).bytes(cache);
        self.send(request).await.map(drop)
    }

    async fn order(&self, order: EngineOrder, fence: Epoch) -> Result<(), EngineError> {
        let body = encode(&Order { fence, order })?;
        let request = HttpRequest::new(Method::Post, "/v1/orders").json(body);
        self.send(request).await.map(drop)
    }
}

/// A generation that is read over one connection.
#[derive(Debug)]
pub struct HttpEngineStream {
    lines: DataLines,
    /// Position of the next token, for engines that send none.
    next_index: u32,
    /// The counts, once they came.
    usage: Option<EngineUsage>,
    /// Whether the last event was returned.
    ended: bool,
}

impl HttpEngineStream {
    fn new(lines: DataLines) -> Self {
        Self {
            lines,
            next_index: 0,
            usage: None,
            ended: false,
        }
    }

    /// Turns a data line into an event, if it makes one.
    fn decode(&mut self, data: &str) -> Result<Option<EngineEvent>, EngineError> {
        if data == DONE {
            let usage = self.usage.ok_or_else(|| unreachable("no token counts"))?;
            return Ok(Some(EngineEvent::Done(usage)));
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(unreachable)?;
        if let Some(error) = chunk.error {
            return Err(EngineError::Refused(error.message));
        }
        if let Some(usage) = &chunk.usage {
            self.usage = Some(usage.decode());
        }
        let text = chunk.choices.into_iter().next();
        let Some(text) = text.and_then(|choice| choice.delta.content) else {
            return Ok(None);
        };
        let index = chunk.token_index.unwrap_or(self.next_index);
        let tokens = chunk.token_count.unwrap_or(1);
        self.next_index = index.saturating_add(tokens);
        Ok(Some(EngineEvent::Delta {
            index,
            tokens,
            text,
        }))
    }

    /// Waits for the next event.
    async fn read(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            let line = self.lines.next().await.map_err(unreachable)?;
            let data = line.ok_or_else(|| unreachable("the stream was cut"))?;
            if let Some(event) = self.decode(&data)? {
                return Ok(event);
            }
        }
    }
}

impl EngineStream for HttpEngineStream {
    async fn next(&mut self) -> Option<Result<EngineEvent, EngineError>> {
        if self.ended {
            return None;
        }
        let event = self.read().await;
        self.ended = !matches!(event, Ok(EngineEvent::Delta { .. }));
        Some(event)
    }
}

/// The body of a generation request.
#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u32,
    stream: bool,
    stream_options: StreamOptions,
    request_id: String,
    program: String,
}

/// Asks for the token counts at the end.
#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

impl<'a> From<&'a GenerateRequest> for Completion<'a> {
    fn from(request: &'a GenerateRequest) -> Self {
        Self {
            model: &request.model,
            messages: &request.messages,
            max_tokens: request.max_tokens,
            stream: true,
            stream_options: StreamOptions {
                include_usage: true,
            },
            request_id: format_id(request.call),
            program: format_id(request.program),
        }
    }
}

/// One chunk of an event stream.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<WireUsage>,
    token_index: Option<u32>,
    token_count: Option<u32>,
    error: Option<WireError>,
}

/// One answer in a chunk.
#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

/// New text.
#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Token counts.
#[derive(Deserialize)]
struct WireUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Details,
}

/// Parts of the prompt's tokens.
#[derive(Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u32,
}

impl WireUsage {
    fn decode(&self) -> EngineUsage {
        EngineUsage {
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.prompt_tokens_details.cached_tokens,
            completion_tokens: self.completion_tokens,
        }
    }
}

/// The body of an order.
#[derive(Serialize)]
struct Order {
    fence: Epoch,
    order: EngineOrder,
}

/// What a program still holds.
#[derive(Deserialize)]
struct Held {
    held_tokens: u64,
}

/// A cache event as it is sent.
#[derive(Deserialize)]
struct WireEvent {
    sequence: u64,
    program: String,
    held_tokens: u64,
}

impl WireEvent {
    fn decode(self) -> Result<CacheEvent, EngineError> {
        Ok(CacheEvent {
            sequence: self.sequence,
            program: parse_id(&self.program).ok_or_else(|| unreachable("not an id"))?,
            held_tokens: self.held_tokens,
        })
    }
}

/// The body of a refusal.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Refused {
    error: WireError,
}

/// Why an engine refused.
#[derive(Default, Deserialize)]
#[serde(default)]
struct WireError {
    message: String,
    code: String,
}

/// Returns the path of a program's cache.
fn cache_target(program: ProgramId) -> String {
    format!("/v1/cache/{}", format_id(program))
}

/// Writes a body.
fn encode(body: &impl Serialize) -> Result<Vec<u8>, EngineError> {
    serde_json::to_vec(body).map_err(|error| EngineError::Refused(error.to_string()))
}

/// Turns an answer that is no success into an error.
fn refusal(answer: &HttpAnswer) -> EngineError {
    let refused: Refused = serde_json::from_slice(&answer.body).unwrap_or_default();
    match (answer.status, refused.error.code.as_str()) {
        (_, "fenced") => EngineError::Fenced,
        (404, "unknown") => EngineError::Unknown,
        (500 | 502 | 504, _) => unreachable(format!("status {}", answer.status)),
        (status, _) => EngineError::Refused(format!("status {status} {}", refused.error.message)),
    }
}

/// Makes the error of an engine that did not answer as it should.
fn unreachable(why: impl ToString) -> EngineError {
    EngineError::Unreachable(why.to_string())
}
