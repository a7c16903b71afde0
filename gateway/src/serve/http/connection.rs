//! Buffered connection that reads HTTP messages.

#[cfg(test)]
mod tests;

use super::{BodyDecoder, BodyError, RequestHead, ResponseHead, parse_request, parse_response};
use crate::limits::{BYTES_PER_POLL, MAX_ANSWER_HEAD_BYTES};
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use rustix::net::{RecvFlags, recv};
use smol::net::TcpStream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// Size of one read, in bytes; enough for a head with a typical body.
const READ_BYTES: usize = 8 * 1024;

/// Returns whether an error says that the remote host reset the connection, rather than that it is
/// unreachable.
pub(crate) fn is_reset(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
    )
}

/// Writes to a connection, also while it is read.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    stream: TcpStream,
    was_reset: Rc<Cell<bool>>,
}

impl Writer {
    /// Writes all bytes. The error is of kind `BrokenPipe` if the remote host had ended its side in order
    /// before.
    pub(crate) async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream.write_all(bytes).await;
        if written
            .as_ref()
            .is_err_and(|error| error.kind() != io::ErrorKind::BrokenPipe)
        {
            self.was_reset.set(true);
        }
        written
    }
}

/// A connection with a buffer of received bytes.
///
/// Invariant: no read reports an orderly end of a connection that was reset. The system reports a reset
/// once, and if a write gets the report, reads find an end as if the remote host had closed the
/// connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    /// Bytes read since the task last let others run.
    read_since_yield_bytes: usize,
    /// Whether a write met a reset; shared with all writers.
    was_reset: Rc<Cell<bool>>,
}

impl Connection {
    /// Wraps a stream with an empty buffer.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
            read_since_yield_bytes: 0,
            was_reset: Rc::default(),
        }
    }

    /// Returns the bytes that were received but not consumed.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.unread
    }

    /// Returns whether the connection is open and has no unread input. Unrequested bytes or an end of
    /// input make a connection unusable.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0_u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let seen = recv(&self.stream, &mut byte[..], flags);
        matches!(seen, Err(error) if error == rustix::io::Errno::WOULDBLOCK)
            && self.unread.is_empty()
    }

    /// Removes bytes from the start of the buffer.
    pub(crate) fn consume(&mut self, count: usize) {
        self.unread.drain(..count);
    }

    /// Returns a handle of the stream, for writes.
    pub(crate) fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Reads more bytes into the buffer and returns their number, 0 at the orderly end of the
    /// connection.
    ///
    /// Dropping the future loses no bytes. A peer whose bytes are always ready does not keep other
    /// tasks and timers from running.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        future::poll_fn(|context| {
            if self.read_since_yield_bytes >= BYTES_PER_POLL {
                self.read_since_yield_bytes = 0;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            let start = self.unread.len();
            self.unread.resize(start + READ_BYTES, 0);
            let stream = Pin::new(&mut self.stream);
            let read = stream.poll_read(context, &mut self.unread[start..]);
            let count = match &read {
                Poll::Ready(Ok(count)) => *count,
                _ => 0,
            };
            self.unread.truncate(start + count);
            match read {
                Poll::Ready(_) => self.read_since_yield_bytes += count,
                Poll::Pending => self.read_since_yield_bytes = 0,
            }
            match read {
                Poll::Ready(Ok(0)) if self.was_reset.get() => {
                    Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
                }
                read => read,
            }
        })
        .await
    }

    /// Returns a writer that can be used while the connection is read.
    pub(crate) fn writer(&self) -> Writer {
        Writer {
            stream: self.stream.clone(),
            was_reset: self.was_reset.clone(),
        }
    }

    /// Writes all bytes.
    pub(crate) async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        self.writer().write_all(bytes).await
    }

    /// Reads the head of a request from a trusted sender.
    ///
    /// Returns `None` at the end of the connection, or if the head is invalid or too long.
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

    /// Reads the head of an answer and skips interim answers.
    ///
    /// Returns an error of kind `InvalidData` if the bytes are not a valid answer, of kind
    /// `FileTooLarge` if there are too many interim answers, and other errors if the connection fails
    /// or ends.
    pub(crate) async fn read_response(&mut self) -> io::Result<ResponseHead> {
        let mut interim_bytes = 0;
        loop {
            match parse_response(&self.unread) {
                Ok(Some((head, length))) => {
                    self.consume(length);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    interim_bytes += length;
                    if interim_bytes > MAX_ANSWER_HEAD_BYTES {
                        return Err(io::ErrorKind::FileTooLarge.into());
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

    /// Reads until bytes of the body were appended to `out` or the body is complete.
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
                Err(error) if is_reset(error.kind()) => return Err(BodyError::ConnectionReset),
                Err(_) => return Err(BodyError::ConnectionFailed),
            }
        }
    }
}
