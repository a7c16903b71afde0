//! Finds the parts of an answer of HTTP/1.1 in the bytes that a connection receives.
//!
//! Only what is needed to limit each part is read. The HTTP library checks the framing.

/// Length of the start of a status line up to its status code, such as `HTTP/1.1 200`.
const STATUS_END: usize = 12;

/// A part of an answer with a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerPart {
    /// Interim answers and the head of the final one.
    Head,
    /// The body with its framing.
    Body,
    /// The lines after the last chunk.
    Trailers,
}

/// The present position in an answer.
#[derive(Debug)]
enum Position {
    Head(Head),
    ChunkSize {
        size_bytes: u64,
        is_extension: bool,
    },
    /// The data of a chunk and the line end after it.
    ChunkData {
        remaining_bytes: u64,
    },
    /// A body that is not chunked.
    Unchunked {
        /// Rest of the length that the head states; `None` if the body ends with its connection.
        remaining_bytes: Option<u64>,
    },
    Trailers,
}

/// The head that is being received.
#[derive(Debug, Default)]
struct Head {
    /// The present line.
    line: Vec<u8>,
    /// Whether the present line is not the status line.
    has_status: bool,
    is_interim: bool,
    is_chunked: bool,
    /// Value of the header line with the length of the body.
    length_bytes: Option<u64>,
}

/// Follows one answer.
#[derive(Debug)]
pub(super) struct Framing(Position);

impl Default for Framing {
    fn default() -> Self {
        Self(Position::Head(Head::default()))
    }
}

impl Framing {
    /// Returns the present part.
    pub(super) fn part(&self) -> AnswerPart {
        match self.0 {
            Position::Head(_) => AnswerPart::Head,
            Position::Trailers => AnswerPart::Trailers,
            _ => AnswerPart::Body,
        }
    }

    /// Returns whether an end of the connection cuts the head, or the body before the stated length. The
    /// HTTP library reports cut chunks and trailers itself.
    pub(super) fn is_cut_by_end(&self) -> bool {
        match self.0 {
            Position::Head(_) => true,
            Position::Unchunked { remaining_bytes } => remaining_bytes.is_some_and(|left| left > 0),
            _ => false,
        }
    }

    /// Follows received bytes up to the end of the present part. Returns their number if the next part
    /// has begun.
    pub(super) fn find_next_part(&mut self, received: &[u8]) -> Option<usize> {
        let part = self.part();
        let mut at = 0;
        while at < received.len() {
            at += self.advance(&received[at..]);
            if self.part() != part {
                return Some(at);
            }
        }
        None
    }

    /// Follows some of the bytes, which are not empty, and returns their number.
    fn advance(&mut self, received: &[u8]) -> usize {
        match &mut self.0 {
            Position::Head(head) => {
                if let Some(position) = head.add(received[0]) {
                    self.0 = position;
                }
                1
            }
            Position::ChunkSize {
                size_bytes,
                is_extension,
            } => {
                match (received[0], char::from(received[0]).to_digit(16)) {
                    (b'\n', _) if *size_bytes == 0 => self.0 = Position::Trailers,
                    (b'\n', _) => {
                        let remaining_bytes = size_bytes.saturating_add(2);
                        self.0 = Position::ChunkData { remaining_bytes };
                    }
                    (_, Some(digit)) if !*is_extension => {
                        *size_bytes = size_bytes
                            .saturating_mul(16)
                            .saturating_add(u64::from(digit));
                    }
                    _ => *is_extension = true,
                }
                1
            }
            Position::ChunkData { remaining_bytes } => {
                let count = (received.len() as u64).min(*remaining_bytes);
                *remaining_bytes -= count;
                if *remaining_bytes == 0 {
                    self.0 = chunk_size();
                }
                count as usize
            }
            Position::Unchunked { remaining_bytes } => {
                if let Some(remaining_bytes) = remaining_bytes {
                    *remaining_bytes = remaining_bytes.saturating_sub(received.len() as u64);
                }
                received.len()
            }
            Position::Trailers => received.len(),
        }
    }
}

/// Returns the position before the size of a chunk.
fn chunk_size() -> Position {
    Position::ChunkSize {
        size_bytes: 0,
        is_extension: false,
    }
}

impl Head {
    /// Adds a byte. Returns the position in the body after the end of the final head.
    fn add(&mut self, byte: u8) -> Option<Position> {
        if byte != b'\n' {
            self.line.push(byte);
            return None;
        }
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match line {
            _ if !self.has_status => {
                self.has_status = true;
                self.is_interim = is_interim(line);
            }
            [] if self.is_interim => *self = Self::default(),
            [] if self.is_chunked => return Some(chunk_size()),
            [] => {
                let remaining_bytes = self.length_bytes;
                return Some(Position::Unchunked { remaining_bytes });
            }
            _ => {
                self.is_chunked |= value(line, b"transfer-encoding").is_some();
                let length =
                    value(line, b"content-length").and_then(|length| str::from_utf8(length).ok());
                self.length_bytes = length
                    .and_then(|length| length.trim().parse().ok())
                    .or(self.length_bytes);
            }
        }
        None
    }
}

/// Tells whether a status line has a status of 1xx other than 101, which ends the exchange.
fn is_interim(line: &[u8]) -> bool {
    let status = line.get(STATUS_END - 3..STATUS_END).unwrap_or_default();
    status.starts_with(b"1") && status != b"101"
}

/// Returns the value of a header line if the header has this name. Chunks are the only transfer
/// encoding that the HTTP library accepts.
fn value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let (found, value) = line.split_at(colon);
    found.eq_ignore_ascii_case(name).then(|| &value[1..])
}
