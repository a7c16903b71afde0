//! Socket options and timeouts.

use futures_lite::future;
use rustix::net::sockopt;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which unacknowledged data breaks a connection. This detects a remote host that is down
/// or unreachable, but not one that is only slow, because its kernel still acknowledges.
const TCP_USER_TIMEOUT_MS: u32 = 1_500;

/// Idle time before the first keep-alive probe, and interval between probes; the minimum that the
/// kernel accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes that breaks a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts the next connection; logs failures and retries after a delay.
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

/// Runs a future with a time limit; drops it and returns `None` if the limit is exceeded.
pub(crate) async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, timeout).await
}

/// Runs an I/O operation with a time limit; drops it and returns an error of kind
/// [`io::ErrorKind::TimedOut`] if the limit is exceeded.
pub(crate) async fn io_with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let outcome = with_timeout(limit, work).await;
    outcome.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Opens a connection that detects an unreachable remote host.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Disables the delay of small writes and enables the detection of unreachable remote hosts.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?;
    Ok(())
}
