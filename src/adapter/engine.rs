//! HTTP client for model engines.

use crate::adapter::lost_answer;
use crate::adapter::rate_limit::StatedRate;
use crate::adapter::sse::DataLines;
use crate::http::{HttpClient, HttpError, HttpRequest, HttpResponse};
use crate::ids::{CallId, Epoch, ProgramId, format_id, parse_id};
use crate::limits::{MAX_ANSWER_BYTES, MAX_CACHE_BYTES};
use crate::protocol::engine::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineLoad, EngineOrder, EngineStream,
    EngineUsage, GenerateRequest,
};
use crate::protocol::failure::LostAnswer;
use crate::protocol::message::Message;
use crate::protocol::rate::RequestRate;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use trillium_client::Method;

/// Data of the last event of a stream.
const STREAM_END: &str = "[DONE]";

/// HTTP client of a model engine. `docs/ENGINE.md` describes the protocol.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    http: HttpClient,
    /// For exported caches, which are larger than other answers.
    cache_http: HttpClient,
    rate_limit: StatedRate,
}

impl HttpEngine {
    /// Creates a client for a base URL such as `http://127.0.0.1:80`.
    ///
    /// `timeout` limits a whole response, and the response headers of a stream. The body of a stream
    /// has no time limit here.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(base, timeout),
            cache_http: HttpClient::with_max_answer_bytes(base, timeout, MAX_CACHE_BYTES),
            rate_limit: StatedRate::default(),
        }
    }

    /// Sends a request whose response is an event stream.
    async fn open(&self, request: HttpRequest) -> Result<HttpEngineStream, EngineError> {
        let body = self.http.open(request).await.map_err(connection_lost)?;
        self.rate_limit.observe(body.rate_limit.as_deref());
        if body.status == 200 {
            return Ok(HttpEngineStream::new(DataLines::new(body)));
        }
        let response = body
            .read_whole(MAX_ANSWER_BYTES)
            .await
            .map_err(connection_lost)?;
        Err(response_error(&response))
    }

    /// Sends a request and returns the body of a successful response.
    async fn send(&self, request: HttpRequest) -> Result<Vec<u8>, EngineError> {
        let response = self.http.send(request).await.map_err(connection_lost)?;
        self.rate_limit.observe(response.rate_limit.as_deref());
        successful_body(response)
    }

    /// Sends a request and decodes the JSON response.
    async fn fetch<T: DeserializeOwned>(&self, request: HttpRequest) -> Result<T, EngineError> {
        let body = self.send(request).await?;
        serde_json::from_slice(&body).map_err(unreachable)
    }
}

impl Engine for HttpEngine {
    type Stream = HttpEngineStream;

    fn rate_limit(&self) -> Option<RequestRate> {
        self.rate_limit.get()
    }

    async fn generate(&self, request: GenerateRequest) -> Result<HttpEngineStream, EngineError> {
        let body = encode(&CompletionRequest::from(&request))?;
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
        let request = HttpRequest::new(Method::Delete, cache_path(program));
        match self.fetch::<ReleaseResult>(request).await {
            Ok(result) => Ok(result.held_tokens),
            Err(EngineError::Unknown) => Ok(0),
            Err(error) => Err(error),
        }
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.fetch(HttpRequest::new(Method::Get, "/v1/load")).await
    }

    async fn cache_events(&self, sequence: u64) -> Result<Vec<CacheEvent>, EngineError> {
        let target = format!("/v1/cache/events?after={sequence}");
        let events: Vec<CacheEventBody> = self.fetch(HttpRequest::new(Method::Get, target)).await?;
        events.into_iter().map(CacheEventBody::decode).collect()
    }

    async fn export(&self, program: ProgramId) -> Result<Vec<u8>, EngineError> {
        let target = format!("{}/export", cache_path(program));
        let request = HttpRequest::new(Method::Get, target).with_max_answer_bytes(MAX_CACHE_BYTES);
        let response = self
            .cache_http
            .send(request)
            .await
            .map_err(connection_lost)?;
        successful_body(response)
    }

    async fn import(&self, program: ProgramId, cache: Vec<u8>) -> Result<(), EngineError> {
        let target = format!("{}/import", cache_path(program));
        let request = HttpRequest::new(Method::Put, target).bytes(cache);
        self.send(request).await.map(drop)
    }

    async fn order(&self, order: EngineOrder, fence: Epoch) -> Result<(), EngineError> {
        let body = encode(&OrderRequest { fence, order })?;
        let request = HttpRequest::new(Method::Post, "/v1/orders").json(body);
        self.send(request).await.map(drop)
    }
}

/// The event stream of a generation, read over one connection.
#[derive(Debug)]
pub struct HttpEngineStream {
    lines: DataLines,
    /// Index of the next token, for engines that do not send `token_index`.
    next_index: u32,
    /// The token counts, once received.
    usage: Option<EngineUsage>,
    /// Whether the final event or an error has been returned.
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

    /// Decodes a data line; `None` if it carries no event.
    fn decode(&mut self, data: &str) -> Result<Option<EngineEvent>, EngineError> {
        if data == STREAM_END {
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

    /// Reads data lines up to the next event.
    async fn read(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            let line = self.lines.next().await.map_err(connection_lost)?;
            let data = line.ok_or_else(stream_cut)?;
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
struct CompletionRequest<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u32,
    stream: bool,
    stream_options: StreamOptions,
    request_id: String,
    program: String,
}

/// Requests the token counts at the end of the stream.
#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

impl<'a> From<&'a GenerateRequest> for CompletionRequest<'a> {
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
    usage: Option<UsageBody>,
    token_index: Option<u32>,
    token_count: Option<u32>,
    error: Option<ErrorBody>,
}

/// A choice in a chunk; only the first is used.
#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

/// The new text of a choice; `None` if the chunk adds none.
#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Token counts of a generation.
#[derive(Deserialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of the prompt tokens.
#[derive(Default, Deserialize)]
struct PromptTokensDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl UsageBody {
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
struct OrderRequest {
    fence: Epoch,
    order: EngineOrder,
}

/// The response to a cache release: tokens that the program still holds.
#[derive(Deserialize)]
struct ReleaseResult {
    held_tokens: u64,
}

/// A cache event in its wire format.
#[derive(Deserialize)]
struct CacheEventBody {
    sequence: u64,
    program: String,
    held_tokens: u64,
}

impl CacheEventBody {
    fn decode(self) -> Result<CacheEvent, EngineError> {
        Ok(CacheEvent {
            sequence: self.sequence,
            program: parse_id(&self.program).ok_or_else(|| unreachable("not an id"))?,
            held_tokens: self.held_tokens,
        })
    }
}

/// The body of an error response.
#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorResponse {
    error: ErrorBody,
}

/// The error code and message of an engine.
#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    message: String,
    code: String,
}

/// Returns the path of a program's cache.
fn cache_path(program: ProgramId) -> String {
    format!("/v1/cache/{}", format_id(program))
}

/// Encodes a request body as JSON.
fn encode(body: &impl Serialize) -> Result<Vec<u8>, EngineError> {
    serde_json::to_vec(body).map_err(|error| EngineError::Refused(error.to_string()))
}

/// Returns the body of a successful response.
fn successful_body(response: HttpResponse) -> Result<Vec<u8>, EngineError> {
    match response.status {
        200..=299 => Ok(response.body),
        _ => Err(response_error(&response)),
    }
}

/// Converts an unsuccessful response into an error.
fn response_error(response: &HttpResponse) -> EngineError {
    let parsed: ErrorResponse = serde_json::from_slice(&response.body).unwrap_or_default();
    match (response.status, parsed.error.code.as_str()) {
        (_, "fenced") => EngineError::Fenced,
        (404, "unknown") => EngineError::Unknown,
        (500 | 502 | 504, _) => unreachable(format!("status {}", response.status)),
        (status, _) => EngineError::Refused(format!("status {status} {}", parsed.error.message)),
    }
}

/// Returns the error for an engine that gave no response or an invalid one.
fn unreachable(reason: impl ToString) -> EngineError {
    EngineError::Unreachable(LostAnswer::other(reason))
}

/// Returns the error for a request that the HTTP client could not complete.
fn connection_lost(error: HttpError) -> EngineError {
    EngineError::Unreachable(lost_answer(&error))
}

/// Returns the error for a stream that ended without its last event. Without chunks, that is all that
/// is seen of a connection that ended.
fn stream_cut() -> EngineError {
    EngineError::Unreachable(LostAnswer::ended("the stream was cut"))
}
