//! One generation of the engine stand-in and its readers.

use crate::ids::{ProgramId, format_id};
use crate::protocol::engine::{EngineUsage, GenerateRequest};
use crate::protocol::message::{Message, Role};
use crate::standin::body::{ChannelBody, channel_body};
use crate::standin::engine::answer::{answer_text, answer_tokens, message_tokens, prefix_hash};
use crate::standin::engine::cache::{Prefix, prefixes_of};
use async_channel::Sender;
use std::time::Instant;

/// The phase of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The generation is queued.
    Waiting,
    /// The prompt is being computed. The value is the number of tokens left to compute.
    Prefill(u32),
    /// The answer is being generated.
    Decode,
    /// The answer has been complete since this time.
    Finished(Instant),
}

/// A connection that reads a generation.
struct Reader {
    tx: Sender<Vec<u8>>,
    /// Index of the first token to send.
    from: u32,
}

/// One generation.
pub(crate) struct Stream {
    /// The program that the generation belongs to.
    pub(crate) program: ProgramId,
    /// The prompt's prefixes.
    pub(crate) prefixes: Vec<Prefix>,
    /// The current phase.
    pub(crate) phase: Phase,
    /// Number of tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Number of prompt tokens that were found in the cache.
    pub(crate) cached_tokens: u32,
    /// Number of cache tokens reserved while the generation runs.
    pub(crate) reserved_tokens: u64,
    /// Number of tokens generated so far.
    pub(crate) generated_tokens: u32,
    /// Number of tokens sent to the readers, at most `generated_tokens`.
    sent_tokens: u32,
    /// Number of tokens of the complete answer.
    pub(crate) answer_tokens: u32,
    /// Hash of the prompt, from which the answer is derived.
    prompt_hash: u64,
    /// The common start of all chunks.
    chunk_head: String,
    readers: Vec<Reader>,
    /// Readers whose connections stay open but receive nothing more.
    silenced: Vec<Reader>,
}

impl Stream {
    /// Creates a queued generation.
    pub(crate) fn new(request: &GenerateRequest) -> Self {
        let prefixes = prefixes_of(&request.messages);
        let prompt_hash = prefixes.last().map_or(0, |prefix| prefix.hash);
        let model = serde_json::Value::from(request.model.as_str());
        Self {
            program: request.program,
            phase: Phase::Waiting,
            prompt_tokens: prefixes.iter().map(|prefix| prefix.tokens).sum(),
            cached_tokens: 0,
            reserved_tokens: 0,
            generated_tokens: 0,
            sent_tokens: 0,
            answer_tokens: answer_tokens(prompt_hash, request.max_tokens),
            prompt_hash,
            chunk_head: format!(
                "data: {{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":{model},",
                format_id(request.call)
            ),
            prefixes,
            readers: Vec::new(),
            silenced: Vec::new(),
        }
    }

    /// Returns a body that yields the tokens from index `from` on.
    pub(crate) fn open_reader(&mut self, from: u32) -> ChannelBody {
        let (tx, body) = channel_body();
        if from < self.sent_tokens {
            // The channel was just created and is open, so this cannot fail.
            let _ = tx.try_send(self.chunk(from, self.sent_tokens));
        }
        if matches!(self.phase, Phase::Finished(_)) {
            let _ = tx.try_send(self.last_chunk());
            return body;
        }
        self.readers.push(Reader { tx, from });
        body
    }

    /// Generates one token and sends the unsent tokens if there are at least `chunk_tokens`. The first
    /// token and the end of the answer are sent immediately. Returns `true` if the answer is complete.
    pub(crate) fn advance(&mut self, chunk_tokens: u32) -> bool {
        self.generated_tokens += 1;
        let is_complete = self.generated_tokens >= self.answer_tokens;
        if is_complete
            || self.sent_tokens == 0
            || self.generated_tokens - self.sent_tokens >= chunk_tokens
        {
            self.send_tokens();
        }
        is_complete
    }

    /// Sends the token counts to the readers and closes their bodies.
    pub(crate) fn finish(&mut self, now: Instant) {
        self.phase = Phase::Finished(now);
        let chunk = self.last_chunk();
        self.send(&chunk);
        self.readers.clear();
    }

    /// Sends an error to the readers that the generation was cancelled, and closes their bodies.
    pub(crate) fn stop(&mut self) {
        let error = r#"{"error":{"code":"cancelled","message":"The stream was cancelled."}}"#;
        self.send(format!("data: {error}\n\n").as_bytes());
        self.readers.clear();
    }

    /// Stops sending on the currently open connections, without closing them. New connections work.
    pub(crate) fn silence(&mut self) {
        self.silenced.append(&mut self.readers);
    }

    /// Returns the prefix that consists of the prompt and the complete answer.
    pub(crate) fn answer_prefix(&self) -> Prefix {
        let text = answer_text(self.prompt_hash, 0, self.answer_tokens);
        let message = Message::new(Role::Assistant, text);
        Prefix {
            hash: prefix_hash(self.prompt_hash, &message),
            tokens: message_tokens(&message),
        }
    }

    /// Returns the token counts.
    pub(crate) fn usage(&self) -> EngineUsage {
        EngineUsage {
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            completion_tokens: self.generated_tokens,
        }
    }

    /// Sends the unsent tokens to the readers and removes disconnected readers.
    fn send_tokens(&mut self) {
        let (from, to) = (self.sent_tokens, self.generated_tokens);
        self.sent_tokens = to;
        if self.readers.is_empty() {
            return;
        }
        let chunk = self.chunk(from, to);
        let readers = std::mem::take(&mut self.readers);
        let connected = readers.into_iter().filter(|reader| {
            if reader.from >= to {
                return true;
            }
            let unread_chunk = match reader.from > from {
                true => self.chunk(reader.from, to),
                false => chunk.clone(),
            };
            reader.tx.try_send(unread_chunk).is_ok()
        });
        self.readers = connected.collect();
    }

    /// Sends a chunk to all readers.
    fn send(&self, chunk: &[u8]) {
        for reader in &self.readers {
            // This fails only if the reader has disconnected.
            let _ = reader.tx.try_send(chunk.to_vec());
        }
    }

    /// Encodes the chunk with the tokens from `from` (inclusive) to `to` (exclusive).
    fn chunk(&self, from: u32, to: u32) -> Vec<u8> {
        let text = answer_text(self.prompt_hash, from, to);
        let chunk = format!(
            "{}\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\
             \"finish_reason\":null}}],\"token_index\":{from},\"token_count\":{}}}\n\n",
            self.chunk_head,
            to - from
        );
        chunk.into_bytes()
    }

    /// Encodes the chunk with the token counts and the end of the stream.
    fn last_chunk(&self) -> Vec<u8> {
        let usage = self.usage();
        let chunk = format!(
            "{}\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}],\
             \"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{},\"total_tokens\":{},\
             \"prompt_tokens_details\":{{\"cached_tokens\":{}}}}}}}\n\ndata: [DONE]\n\n",
            self.chunk_head,
            usage.prompt_tokens,
            usage.completion_tokens,
            usage.prompt_tokens + usage.completion_tokens,
            usage.cached_tokens
        );
        chunk.into_bytes()
    }
}
