//! A response body that is fed through a channel while it is sent.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use trillium::Body;

/// Maximum number of chunks queued for a slow reader.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Creates a body and the channel that feeds it. Closing the channel ends the body.
pub(super) fn channel() -> (Sender<Vec<u8>>, Body) {
    let (tx, rx) = async_channel::bounded(MAX_QUEUED_CHUNKS);
    let reader = ChunkReader {
        rx: Box::pin(rx),
        chunk: Vec::new(),
        position: 0,
    };
    (tx, Body::new_streaming(reader, None))
}

/// Byte reader over a channel of chunks.
///
/// Invariant: `position` is at most the length of `chunk`.
struct ChunkReader {
    rx: Pin<Box<Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    position: usize,
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.position == self.chunk.len() {
            match self.rx.as_mut().poll_next(cx) {
                Poll::Ready(Some(chunk)) => {
                    self.chunk = chunk;
                    self.position = 0;
                }
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Pending => return Poll::Pending,
            }
        }
        let remaining = &self.chunk[self.position..];
        let count = remaining.len().min(buf.len());
        buf[..count].copy_from_slice(&remaining[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}
