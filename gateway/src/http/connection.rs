//! A connection with the bytes that were read and not used yet.

use super::{BodyDecoder, BodyError, RequestHead, ResponseHead, parse_request, parse_response};
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::task::Poll;

/// Bytes asked for by one read: a head with a usual body fits.
const READ_BYTES: usize = 8 * 1024;

/// A connection and its unread bytes.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Returns the bytes that were read and not used.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.unread
    }

    /// Drops bytes from the start of the unread ones.
    pub(crate) fn consume(&mut self, count: usize) {
        self.unread.drain(..count);
    }

    /// Returns the connection, for writes.
    pub(crate) fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Reads more; returns 0 at the connection's end. Nothing is lost if it is dropped midway.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        future::poll_fn(|context| {
            let start = self.unread.len();
            self.unread.resize(start + READ_BYTES, 0);
            let stream = Pin::new(&mut self.stream);
            let read = stream.poll_read(context, &mut self.unread[start..]);
            let count = match &read {
                Poll::Ready(Ok(count)) => *count,
                _ => 0,
            };
            self.unread.truncate(start + count);
            read
        })
        .await
    }

    /// Writes all bytes.
    pub(crate) async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream.clone();
        stream.write_all(bytes).await
    }

    /// Reads the head of a request of a trusted peer; `None` at the connection's end, or if it is
    /// none or too long.
    pub(crate) async fn read_request(&mut self, limit_bytes: usize) -> Option<RequestHead> {
        loop {
            match parse_request(&self.unread) {
                Ok(Some((head, length))) => {
                    self.consume(length);
                    return Some(head);
                }
                Ok(None) if self.unread.len() < limit_bytes => match self.fill().await {
                    Ok(count) if count > 0 => {}
                    _ => return None,
                },
                _ => return None,
            }
        }
    }

    /// Reads the head of an answer; interim answers are skipped.
    ///
    /// An error means that the connection broke or that the bytes are no answer.
    pub(crate) async fn read_response(&mut self) -> io::Result<ResponseHead> {
        loop {
            match parse_response(&self.unread) {
                Ok(Some((head, length))) => {
                    self.consume(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                }
                Ok(None) => {
                    if self.fill().await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(()) => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Decodes more of a body into `out`; returns once something was added or the body is over.
    pub(crate) async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        out: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        let before = out.len();
        loop {
            let used = decoder.decode(&self.unread, out)?;
            self.consume(used);
            if decoder.is_done() || out.len() > before {
                return Ok(());
            }
            match self.fill().await {
                Ok(0) => return decoder.end(),
                Ok(_) => {}
                Err(_) => return Err(BodyError::Truncated),
            }
        }
    }
}
