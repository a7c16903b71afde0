//! Sockets and time limits.

use futures_lite::future;
use rustix::net::sockopt;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which unacknowledged data breaks a connection: a peer that is dark or cut off is
/// noticed, one that is only slow is not, since its kernel acknowledges.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;

/// Idle time before the first probe of a connection, and between two probes; the least that the
/// kernel takes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes that break a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Pause after a failed accept, such as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts the next connection; a failure is logged and tried again after a pause.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                crate::event!("accept_failed", "error" => error.to_string());
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs a future for so long; past that it is dropped and there is no outcome.
pub(crate) async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, timeout).await
}

/// Runs a future for so long; past that it is dropped and the outcome is a time-out.
pub(crate) async fn io_with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let outcome = with_timeout(limit, work).await;
    outcome.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Opens a connection that notices a silent peer.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Sets a connection's options: no delay of small writes, and probes for a silent peer.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    Ok(())
}
