//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, Read, Write};

/// A message whose body was read whole, or as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads the body into `message`. `is_whole` says afterwards whether all of it came.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    let coding = message.header("Transfer-Encoding").map(str::to_owned);
    let length = message.header("Content-Length").map(str::to_owned);
    message.is_whole = if coding.is_some() {
        read_chunks(reader, &mut message.body).is_ok()
    } else {
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let read = reader.take(length).read_to_end(&mut message.body);
        read.is_ok_and(|count| count as u64 == length)
    };
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = u64::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Ok(());
        }
        if reader.take(size).read_to_end(body)? as u64 != size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read_line(reader)?;
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

/// Writes a message with a body of known length.
pub fn write(
    writer: &mut impl Write,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(start, headers);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

/// Returns the start line and the headers, without the empty line.
pub fn head(start: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.into_bytes()
}
