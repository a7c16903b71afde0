//! One generation of the engine stand-in, and those who read it.

use crate::ids::{ProgramId, format_id};
use crate::protocol::engine::{EngineUsage, GenerateRequest};
use crate::protocol::message::{Message, Role};
use crate::standin::body::{ChannelBody, channel_body};
use crate::standin::engine::answer::{answer_text, answer_tokens, message_tokens, prefix_hash};
use crate::standin::engine::cache::{Prefix, prefixes_of};
use async_channel::Sender;
use std::time::Instant;

/// Where a generation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Admitted, not begun.
    Waiting,
    /// Its prompt is being computed; so many tokens are left.
    Prefill(u32),
    /// Its answer is being generated.
    Decode,
    /// Its answer is whole.
    Finished(Instant),
}

/// One who reads a generation.
struct Reader {
    tx: Sender<Vec<u8>>,
    /// The first token wanted.
    from: u32,
}

/// One generation.
pub(crate) struct Stream {
    /// The program.
    pub(crate) program: ProgramId,
    /// The prompt's prefixes.
    pub(crate) prefixes: Vec<Prefix>,
    /// Where it stands.
    pub(crate) phase: Phase,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the prompt found in the cache.
    pub(crate) cached_tokens: u32,
    /// Cache reserved for it while it runs.
    pub(crate) reserved_tokens: u64,
    /// Tokens generated.
    pub(crate) generated_tokens: u32,
    /// Tokens that the readers have been sent; at most `generated`.
    sent_tokens: u32,
    /// Tokens of the whole answer.
    pub(crate) answer_tokens: u32,
    /// The prompt's hash, which the answer is made from.
    prompt_hash: u64,
    /// What every chunk begins with.
    chunk_head: String,
    readers: Vec<Reader>,
    /// Readers whose connections are open and silent for good.
    silenced: Vec<Reader>,
}

impl Stream {
    /// Makes a generation that waits.
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

    /// Opens a body that yields the tokens from `from` on.
    pub(crate) fn open_reader(&mut self, from: u32) -> ChannelBody {
        let (tx, body) = channel_body();
        if from < self.sent_tokens {
            // The channel is open: its other end was just made.
            let _ = tx.try_send(self.chunk(from, self.sent_tokens));
        }
        if matches!(self.phase, Phase::Finished(_)) {
            let _ = tx.try_send(self.last_chunk());
            return body;
        }
        self.readers.push(Reader { tx, from });
        body
    }

    /// Adds one token, and sends what there is if it makes a chunk of `chunk_tokens`. The first
    /// token and the last ones go out at once. Returns `true` if the answer is whole.
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

    /// Sends the token counts and closes the readers' bodies.
    pub(crate) fn finish(&mut self, now: Instant) {
        self.phase = Phase::Finished(now);
        let chunk = self.last_chunk();
        self.send(&chunk);
        self.readers.clear();
    }

    /// Tells the readers that the generation was stopped, and closes their bodies.
    pub(crate) fn stop(&mut self) {
        let error = r#"{"error":{"code":"cancelled","message":"The stream was cancelled."}}"#;
        self.send(format!("data: {error}\n\n").as_bytes());
        self.readers.clear();
    }

    /// Leaves the open connections silent for good; new ones work.
    pub(crate) fn silence(&mut self) {
        self.silenced.append(&mut self.readers);
    }

    /// Returns the prefix that the whole answer makes with its prompt.
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

    /// Sends the readers the tokens that they have not, and forgets the readers who left.
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
            // One who left needs no more.
            let _ = reader.tx.try_send(chunk.to_vec());
        }
    }

    /// Writes the chunk with the tokens from `from` up to `to`.
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

    /// Writes the chunk with the token counts and the end of the stream.
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
