//! A connection of which only a limited number of bytes is read.

use futures_lite::{AsyncRead, AsyncWrite, ready};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A connection whose reads fail once the other end has sent more than a limit.
#[derive(Debug)]
pub(crate) struct LimitedStream<T> {
    inner: T,
    /// Number of bytes that may still be read.
    remaining_bytes: u64,
}

impl<T> LimitedStream<T> {
    /// Wraps a connection, with a limit on the bytes that are read from now on.
    pub(crate) fn new(inner: T, limit_bytes: u64) -> Self {
        Self {
            inner,
            remaining_bytes: limit_bytes,
        }
    }

    /// Replaces the limit by one on the bytes that are read from now on.
    pub(crate) fn set_limit(&mut self, limit_bytes: u64) {
        self.remaining_bytes = limit_bytes;
    }

    /// Returns the connection.
    pub(crate) fn get_ref(&self) -> &T {
        &self.inner
    }

    /// Returns the connection for changes of its options.
    pub(crate) fn get_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

/// Returns the error for an answer beyond its limit.
pub(crate) fn limit_exceeded() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "the answer exceeds its limit")
}

impl<T: AsyncRead + Unpin> AsyncRead for LimitedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        match self.remaining_bytes.checked_sub(count as u64) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                Poll::Ready(Ok(count))
            }
            None => Poll::Ready(Err(limit_exceeded())),
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for LimitedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
