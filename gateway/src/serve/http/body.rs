//! Incremental decoding of bodies.

use super::Framing;

/// Maximum length of a chunk-size line, in bytes; chunk extensions are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum total length of the trailer lines, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Reason why a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum BodyError {
    /// The framing is invalid.
    Malformed,
    /// The connection ended before the body was complete.
    Truncated,
    /// The connection was reset before the body was complete.
    ConnectionReset,
    /// The connection failed in another way before the body was complete.
    ConnectionFailed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Expects this many more bytes of the body or chunk.
    Data(u64),
    /// Expects the line end after a chunk.
    DataEnd,
    /// Expects a chunk-size line.
    Size,
    /// Expects trailer lines up to an empty line.
    Trailer,
    /// All bytes until the end of the connection belong to the body.
    UntilClose,
    Done,
}

/// Decodes one body.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: State,
    is_chunked: bool,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a framing.
    pub(crate) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            is_chunked: framing == Framing::Chunked,
            trailer_bytes: 0,
        }
    }

    /// Returns whether the body is complete.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input` as far as possible, appends the body's bytes to `out` and returns the number of
    /// bytes consumed.
    pub(crate) fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let mut position = 0;
        loop {
            let rest = &input[position..];
            match self.state {
                State::Done => return Ok(position),
                State::UntilClose => {
                    out.extend_from_slice(rest);
                    return Ok(input.len());
                }
                State::Data(remaining) => {
                    let take = usize::try_from(remaining)
                        .map_or(rest.len(), |remaining| remaining.min(rest.len()));
                    out.extend_from_slice(&rest[..take]);
                    position += take;
                    self.state = self.after_data(remaining - take as u64);
                    if matches!(self.state, State::Data(_)) {
                        return Ok(position);
                    }
                }
                State::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(position);
                    }
                    if &rest[..2] != b"\r\n" {
                        return Err(BodyError::Malformed);
                    }
                    position += 2;
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = take_line(rest, MAX_CHUNK_LINE_BYTES)? else {
                        return Ok(position);
                    };
                    position += line.len() + 2;
                    self.state = match parse_chunk_size(line)? {
                        0 => State::Trailer,
                        size => State::Data(size),
                    };
                }
                State::Trailer => {
                    let Some(line) = take_line(rest, MAX_TRAILER_BYTES)? else {
                        return Ok(position);
                    };
                    position += line.len() + 2;
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(BodyError::Malformed);
                    }
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    /// Handles the orderly end of the connection; an error if the body is incomplete.
    pub(crate) fn end(&mut self) -> Result<(), BodyError> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Truncated),
        }
    }

    fn after_data(&self, remaining: u64) -> State {
        match (remaining, self.is_chunked) {
            (0, true) => State::DataEnd,
            (0, false) => State::Done,
            (remaining, _) => State::Data(remaining),
        }
    }
}

/// Returns the line at the start of `input` without its line end; `None` if it is incomplete.
fn take_line(input: &[u8], limit_bytes: usize) -> Result<Option<&[u8]>, BodyError> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(position) if position > 0 && input[position - 1] == b'\r' => {
            Ok(Some(&input[..position - 1]))
        }
        Some(_) => Err(BodyError::Malformed),
        None if input.len() > limit_bytes => Err(BodyError::Malformed),
        None => Ok(None),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    let text = text.trim_end_matches([' ', '\t']);
    let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex {
        return Err(BodyError::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}
