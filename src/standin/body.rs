//! Response bodies that are streamed in chunks.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A response body that yields the chunks received from a channel.
///
/// It ends when the channel is closed and empty.
pub(crate) struct ChannelBody {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    /// The chunk that is being read.
    chunk: Vec<u8>,
    /// Offset of the first unread byte in `chunk`.
    start: usize,
}

/// Creates a body and the sender of its chunks.
pub(crate) fn channel_body() -> (Sender<Vec<u8>>, ChannelBody) {
    let (tx, rx) = async_channel::unbounded();
    let body = ChannelBody {
        chunks: Box::pin(rx),
        chunk: Vec::new(),
        start: 0,
    };
    (tx, body)
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.start == self.chunk.len() {
            match ready!(self.chunks.as_mut().poll_next(cx)) {
                Some(chunk) => {
                    self.chunk = chunk;
                    self.start = 0;
                }
                None => return Poll::Ready(Ok(0)),
            }
        }
        let unread = &self.chunk[self.start..];
        let count = unread.len().min(buf.len());
        buf[..count].copy_from_slice(&unread[..count]);
        self.start += count;
        Poll::Ready(Ok(count))
    }
}
