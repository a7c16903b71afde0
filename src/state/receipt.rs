//! Signed receipts for turns that are not in the log yet.

use crate::protocol::record::Turn;
use std::fmt;

/// Key-derivation context. It separates the receipt key from other keys of the same secret.
const KEY_CONTEXT: &str = "galenapick receipt 1";
/// Length of the authentication tag that precedes the turn.
const TAG_BYTES: usize = 32;
/// Maximum length of a decoded receipt. A longer one is refused without being decoded.
const MAX_RECEIPT_BYTES: usize = 4 << 20;

/// Reason why a receipt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptError {
    /// The text is not a well-formed receipt.
    Malformed,
    /// The receipt was altered or signed with another secret.
    Forged,
}

impl fmt::Display for ReceiptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(f, "malformed receipt"),
            Self::Forged => write!(f, "receipt is not signed by this deployment"),
        }
    }
}

impl std::error::Error for ReceiptError {}

/// Key for signing and verifying receipts, derived from the deployment's secret.
///
/// ```
/// use galenapick::{ReceiptError, ReceiptKey};
///
/// let key = ReceiptKey::new(b"secret");
/// assert_eq!(key.verify("00"), Err(ReceiptError::Malformed));
/// ```
#[derive(Clone)]
pub struct ReceiptKey([u8; blake3::KEY_LEN]);

impl ReceiptKey {
    /// Derives the key from the deployment's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// Returns a receipt for a turn, in hexadecimal.
    pub fn sign(&self, turn: &Turn) -> String {
        let mut body = Vec::new();
        ciborium::into_writer(turn, &mut body).expect("a vector takes every turn");
        let tag = blake3::keyed_hash(&self.0, &body);
        let mut text = tag.to_hex().to_string();
        for byte in body {
            push_hex(&mut text, byte);
        }
        text
    }

    /// Verifies a receipt and returns its turn.
    pub fn verify(&self, receipt: &str) -> Result<Turn, ReceiptError> {
        if receipt.len() > 2 * MAX_RECEIPT_BYTES {
            return Err(ReceiptError::Malformed);
        }
        let bytes = read_hex(receipt).ok_or(ReceiptError::Malformed)?;
        let (tag, body) = bytes
            .split_first_chunk::<TAG_BYTES>()
            .ok_or(ReceiptError::Malformed)?;
        let expected = blake3::keyed_hash(&self.0, body);
        // The comparison of two `blake3::Hash` values takes constant time.
        if expected != blake3::Hash::from_bytes(*tag) {
            return Err(ReceiptError::Forged);
        }
        ciborium::from_reader(body).map_err(|_| ReceiptError::Malformed)
    }
}

impl fmt::Debug for ReceiptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ReceiptKey")
    }
}

fn push_hex(text: &mut String, byte: u8) {
    for digit in [byte >> 4, byte & 15] {
        text.push(char::from_digit(u32::from(digit), 16).unwrap_or('0'));
    }
}

fn read_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.as_bytes()
        .chunks_exact(2)
        .map(|pair| Some(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?))
        .collect()
}

fn hex_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    Some(value as u8)
}
