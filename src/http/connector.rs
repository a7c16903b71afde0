//! Connections of HTTP clients, on which the size of each answer is limited.

use crate::http::framing::{AnswerPart, Framing};
use crate::limits::MAX_ANSWER_HEAD_BYTES;
use crate::limits::{LimitedStream, limit_exceeded};
use futures_lite::{AsyncRead, AsyncWrite, ready};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use trillium_server_common::{Connector, Destination, Transport, url::Url};

/// Opens connections with limited answers.
#[derive(Clone, Debug)]
pub(crate) struct LimitedConnector<C> {
    connector: C,
    max_answer_bytes: u64,
}

impl<C> LimitedConnector<C> {
    /// Wraps a connector. `max_answer_bytes` limits the body of an answer with its framing.
    pub(crate) fn new(connector: C, max_answer_bytes: u64) -> Self {
        Self {
            connector,
            max_answer_bytes,
        }
    }
}

impl<C: Connector> Connector for LimitedConnector<C> {
    type Runtime = C::Runtime;
    type Transport = HttpStream<C::Transport>;
    type Udp = C::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.connector.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let transport = self.connector.connect(url).await?;
        Ok(HttpStream::new(transport, self.max_answer_bytes))
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let transport = self.connector.connect_to(destination).await?;
        Ok(HttpStream::new(transport, self.max_answer_bytes))
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.connector.resolve(host, port).await
    }
}

/// A connection of an HTTP client. The limits start over with each request.
#[derive(Debug)]
pub(crate) struct HttpStream<T> {
    stream: LimitedStream<T>,
    /// Position in the answer to the last request.
    framing: Framing,
    max_answer_bytes: u64,
}

impl<T> HttpStream<T> {
    fn new(transport: T, max_answer_bytes: u64) -> Self {
        Self {
            stream: LimitedStream::new(transport, MAX_ANSWER_HEAD_BYTES),
            framing: Framing::default(),
            max_answer_bytes,
        }
    }

    /// Sets the limits of the parts that begin in these bytes.
    fn follow(&mut self, mut received: &[u8]) -> io::Result<()> {
        while let Some(count) = self.framing.find_next_part(received) {
            received = &received[count..];
            let limit_bytes = match self.framing.part() {
                AnswerPart::Head | AnswerPart::Trailers => MAX_ANSWER_HEAD_BYTES,
                AnswerPart::Body => self.max_answer_bytes,
            };
            let remaining_bytes = limit_bytes.checked_sub(received.len() as u64);
            self.stream
                .set_limit(remaining_bytes.ok_or_else(limit_exceeded)?);
        }
        Ok(())
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HttpStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if count == 0 && !buf.is_empty() && self.framing.is_cut_by_end() {
            // The HTTP library would report an answer that is invalid.
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        self.follow(&buf[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HttpStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.framing.part() != AnswerPart::Head {
            self.framing = Framing::default();
            self.stream.set_limit(MAX_ANSWER_HEAD_BYTES);
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl<T: Transport> Transport for HttpStream<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.stream.get_mut().set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.stream.get_mut().set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.stream.get_mut().set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.stream.get_ref().peer_addr()
    }
}
