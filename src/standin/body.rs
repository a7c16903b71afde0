//! Response bodies that are written piece by piece.

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A response body made of the pieces that come through a channel.
///
/// It ends when the channel is closed and empty.
pub(crate) struct PieceBody {
    pieces: Pin<Box<Receiver<Vec<u8>>>>,
    /// The piece being read.
    piece: Vec<u8>,
    /// Where its unread part begins.
    start: usize,
}

/// Makes a body and the end by which it is written.
pub(crate) fn piece_body() -> (Sender<Vec<u8>>, PieceBody) {
    let (tx, rx) = async_channel::unbounded();
    let body = PieceBody {
        pieces: Box::pin(rx),
        piece: Vec::new(),
        start: 0,
    };
    (tx, body)
}

impl AsyncRead for PieceBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.start == self.piece.len() {
            match ready!(self.pieces.as_mut().poll_next(cx)) {
                Some(piece) => {
                    self.piece = piece;
                    self.start = 0;
                }
                None => return Poll::Ready(Ok(0)),
            }
        }
        let rest = &self.piece[self.start..];
        let count = rest.len().min(buf.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.start += count;
        Poll::Ready(Ok(count))
    }
}
