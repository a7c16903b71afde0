//! Token counting and deterministic answers of the engine stand-in. Callers can recompute both to
//! check what they receive.

use crate::protocol::message::{Message, Role};

/// Number of bytes of a word per token.
const TOKEN_BYTES: usize = 4;

/// Number of tokens that a message takes in addition to its text.
const MESSAGE_TOKENS: u32 = 1;

/// Number of tokens at the start of an answer that contain the prompt's hash in hexadecimal.
const HASH_TOKENS: u32 = 4;

/// Counts the tokens of a text. Each word has one token per four bytes, rounded up.
///
/// ```
/// use galenapick::standin::count_tokens;
///
/// assert_eq!(count_tokens("red panda"), 3);
/// ```
pub fn count_tokens(text: &str) -> u32 {
    text.split_whitespace()
        .map(|word| word.len().div_ceil(TOKEN_BYTES) as u32)
        .sum()
}

/// Counts the tokens of one message.
pub(crate) fn message_tokens(message: &Message) -> u32 {
    MESSAGE_TOKENS + count_tokens(&message.content)
}

/// Counts the tokens of a prompt: the tokens of the texts, plus one per message.
pub fn prompt_tokens(messages: &[Message]) -> u32 {
    messages.iter().map(message_tokens).sum()
}

/// Returns the answer that an engine stand-in gives to a prompt.
///
/// The answer starts with a hash of the whole prompt, so that answers to different prompts differ.
///
/// ```
/// use galenapick::standin::{count_tokens, expected_answer};
/// use galenapick::{Message, Role};
///
/// let prompt = [Message::new(Role::User, "an otter or a red panda?")];
/// let answer = expected_answer(&prompt, 16);
/// assert!((8..=16).contains(&count_tokens(&answer)));
/// assert_ne!(answer, expected_answer(&[Message::new(Role::User, "an otter?")], 16));
/// ```
pub fn expected_answer(messages: &[Message], max_tokens: u32) -> String {
    let hash = messages.iter().fold(EMPTY_PREFIX_HASH, prefix_hash);
    answer_text(hash, 0, answer_tokens(hash, max_tokens))
}

/// The hash of an empty prefix.
pub(crate) const EMPTY_PREFIX_HASH: u64 = 0;

/// Returns the hash of a prefix that ends with `message`. `before` is the hash of the messages before
/// it.
pub(crate) fn prefix_hash(before: u64, message: &Message) -> u64 {
    let role = match message.role {
        Role::System => 0,
        Role::User => 1,
        Role::Assistant => 2,
        Role::Tool => 3,
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(&before.to_le_bytes());
    hasher.update(&[role]);
    hasher.update(message.content.as_bytes());
    let mut hash_bytes = [0; 8];
    hash_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(hash_bytes)
}

/// Returns the number of tokens of the answer to a prompt: between half of `max_tokens` and
/// `max_tokens`, and at least 1.
pub(crate) fn answer_tokens(hash: u64, max_tokens: u32) -> u32 {
    let max_tokens = max_tokens.max(1);
    let min_tokens = max_tokens.div_ceil(2);
    let outcome_count = u64::from(max_tokens - min_tokens) + 1;
    min_tokens + (hash % outcome_count) as u32
}

/// Returns the text of the answer's tokens from `from` (inclusive) to `to` (exclusive).
pub(crate) fn answer_text(hash: u64, from: u32, to: u32) -> String {
    let mut text = String::with_capacity((to.saturating_sub(from) as usize) * (TOKEN_BYTES + 1));
    for index in from..to {
        if index > 0 {
            text.push(' ');
        }
        push_token(&mut text, hash, index);
    }
    text
}

/// Appends one token of an answer, which has four characters.
fn push_token(text: &mut String, hash: u64, index: u32) {
    const HEX: &[u8; 16] = b"0123456789abcdef";
    const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
    const VOWELS: &[u8; 4] = b"aeio";
    if index < HASH_TOKENS {
        for digit in 0..4 {
            let shift = 60 - 16 * index - 4 * digit;
            text.push(char::from(HEX[(hash >> shift) as usize & 15]));
        }
        return;
    }
    let mut bits = mix_bits(hash ^ (u64::from(index) << 32));
    for _ in 0..2 {
        text.push(char::from(CONSONANTS[bits as usize & 15]));
        text.push(char::from(VOWELS[(bits >> 4) as usize & 3]));
        bits >>= 8;
    }
}

/// Mixes the bits of a number with the finaliser of splitmix64.
fn mix_bits(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
