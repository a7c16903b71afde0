//! Accepts client connections and reads requests from them.

use crate::dialect::Dialect;
use crate::limits::BufferShare;
use crate::net::{self, with_timeout};
use crate::node::{Gateway, InFlightGuard};
use crate::serve::call::Call;
use crate::serve::forward::{Execution, fingerprints};
use crate::serve::http::{
    BodyDecoder, BodyError, Connection, Framing, HeadError, RequestHead, parse_request,
};
use crate::serve::reply::{Refusal, Reply};
use crate::serve::shutdown::{Phase, late_refusal};
use futures_lite::future;
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum bytes of pipelined requests that are buffered while a request is served. Reading stops
/// at this limit, so a client's disconnect is no longer detected.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time to keep reading after a refusal, so that the client receives it before the
/// connection is reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// `Retry-After` delay of a request that does not fit into the gateway's buffers.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A complete request.
struct Request {
    head: RequestHead,
    body: Vec<u8>,
    /// When its first byte was available.
    started_at: Instant,
    /// Memory of the body.
    _buffer: BufferShare,
}

/// Use of a client connection so far.
struct ConnectionUsage {
    accepted_at: Instant,
    /// Number of requests that were answered on it.
    requests: u32,
}

/// Reason why no request could be read.
enum ReadFailure {
    /// The client closed the connection or sent an incomplete request.
    Closed,
    /// The request is refused. The connection cannot be reused.
    Refused(Refusal),
    /// The whole request was read, but too late in a shutdown.
    TooLate { keep_alive: bool },
}

impl<D: Dialect> Gateway<D> {
    /// Accepts client connections until the gateway stops taking requests.
    ///
    /// Connections that the kernel has accepted by then are still taken.
    pub(crate) async fn accept_clients(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accept = async { Some(net::accept(&listener).await) };
            let closing = async {
                self.shutdown.wait_for(Phase::Closing).await;
                None
            };
            let Some(stream) = future::or(accept, closing).await else {
                return;
            };
            let gateway = self.clone();
            let task = async move { gateway.serve_connection(stream).await };
            self.executor.spawn(task).detach();
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        // Without these options the connection still works, but a client's disconnect is detected
        // later.
        if let Err(error) = net::set_socket_options(&stream) {
            crate::event!("socket_options_failed", "error" => error.to_string());
        }
        let mut connection = Connection::new(stream);
        let mut usage = ConnectionUsage {
            accepted_at: Instant::now(),
            requests: 0,
        };
        while self.wait_for_bytes(&mut connection, &usage).await {
            let guard = InFlightGuard::new(&self.requests_in_flight);
            let reply = Reply::new(connection.stream());
            let taken = self.take_request(&mut connection, &usage).await;
            if self.is_stopping() {
                reply.close_if_last();
            }
            if !connection.unread().is_empty() {
                reply.expect_next_request();
            }
            let refusal = match taken {
                Ok(request) => {
                    self.answer(request, &mut connection, &reply).await;
                    None
                }
                Err(ReadFailure::Closed) => return,
                Err(ReadFailure::Refused(refusal)) => {
                    let refusal = match refusal.status {
                        413 | 431 => self.refuse_by_limits(refusal).await,
                        _ => refusal,
                    };
                    reply.close_after_answer();
                    Some(refusal)
                }
                Err(ReadFailure::TooLate { keep_alive }) => {
                    if !keep_alive {
                        reply.close_after_answer();
                    }
                    Some(late_refusal())
                }
            };
            if let Some(refusal) = refusal {
                reply.refuse(&refusal).await;
                if !reply.keeps_connection() {
                    discard_input(&mut connection).await;
                }
            }
            drop(guard);
            if !reply.keeps_connection() {
                return;
            }
            usage.requests += 1;
        }
    }

    /// Reads a request, and refuses it if it arrives too late in a shutdown.
    async fn take_request(
        &self,
        connection: &mut Connection,
        usage: &ConnectionUsage,
    ) -> Result<Request, ReadFailure> {
        let too_late = async {
            self.shutdown.wait_for_receive_end().await;
            crate::event!("incomplete_while_stopping",
                "connection_ms" => usage.accepted_at.elapsed().as_millis(),
                "requests_before" => usage.requests);
            Err(ReadFailure::Refused(late_refusal()))
        };
        let request = future::or(self.read_request(connection), too_late).await?;
        self.log_if_stopping(&request, usage);
        if self.shutdown.refuses_requests() {
            let keep_alive = request.head.keep_alive;
            return Err(ReadFailure::TooLate { keep_alive });
        }
        Ok(request)
    }

    /// Logs a request that was received after the stop signal.
    fn log_if_stopping(&self, request: &Request, usage: &ConnectionUsage) {
        let Some(stopping_for) = self.shutdown.elapsed() else {
            return;
        };
        let info = D::parse_call(&request.head.headers);
        crate::event!("received_while_stopping",
            "request" => info.request_id.unwrap_or_default(),
            "stopping_ms" => stopping_for.as_millis(),
            "connection_ms" => usage.accepted_at.elapsed().as_millis(),
            "requests_before" => usage.requests,
            "refused" => self.shutdown.refuses_requests());
    }

    /// Waits for the first bytes of the next request; returns false on a disconnect, an idle timeout
    /// or shutdown.
    async fn wait_for_bytes(&self, connection: &mut Connection, usage: &ConnectionUsage) -> bool {
        if !connection.unread().is_empty() {
            return true;
        }
        let idle_timeout = self.routes.borrow().limits().idle_timeout;
        let read = async { matches!(connection.fill().await, Ok(count) if count > 0) };
        let stopping = async {
            self.shutdown.wait_for_idle_close(usage.requests > 0).await;
            false
        };
        let read = with_timeout(idle_timeout, future::or(read, stopping)).await;
        read.unwrap_or(false)
    }

    async fn read_request(&self, connection: &mut Connection) -> Result<Request, ReadFailure> {
        let limits = self.routes.borrow().limits();
        let started_at = Instant::now();
        let head = with_timeout(
            limits.head_timeout,
            read_head(connection, limits.head_bytes),
        )
        .await;
        let head = head.unwrap_or_else(|| Err(refused(408, "the head took too long")))?;
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes as u64
        {
            return Err(refused(413, "the body is too long"));
        }
        if head.expects_continue && head.framing != Framing::Empty {
            let interim = connection.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            interim.map_err(|_| ReadFailure::Closed)?;
        }
        let buffer = self.buffers.buffer();
        let read = read_body(connection, head.framing, limits.body_bytes, &buffer);
        let body = with_timeout(BODY_TIMEOUT, read).await;
        let body = body.unwrap_or_else(|| Err(refused(408, "the body took too long")))?;
        Ok(Request {
            head,
            body,
            started_at,
            _buffer: buffer,
        })
    }

    async fn answer(
        self: &Rc<Self>,
        mut request: Request,
        connection: &mut Connection,
        reply: &Reply,
    ) {
        if !request.head.keep_alive {
            reply.close_after_answer();
        }
        let find_route = || self.route(&request.head);
        let route = match self.by_newest_configuration(find_route).await {
            Ok(route) => route,
            Err(refusal) => {
                self.log_not_routed(&request.head, refusal.status);
                return reply.refuse(&refusal).await;
            }
        };
        let info = D::parse_call(&request.head.headers);
        let admit = || self.admit(&route, &info);
        let account = match self.by_newest_configuration(admit).await {
            Ok(account) => account,
            Err(refusal) => {
                self.log_key_refusal(&route, &info);
                return reply.refuse(&refusal).await;
            }
        };
        let fingerprints = fingerprints(&request.head, &request.body, account.as_deref());
        self.remove_credentials(&mut request.head);
        let client_timeout = info
            .client_timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let call = Call {
            deadline: request.started_at + client_timeout,
            ending_time: self.shutdown.ending_time(),
            fingerprints,
            is_trial: Cell::new(false),
            received_at: request.started_at,
            head: request.head,
            body: request.body,
            execution: Cell::new(Execution::NotRun),
            token_expires_at: Cell::new(None),
            send_count: Cell::new(0),
            tried: RefCell::default(),
            endpoint: RefCell::default(),
            sent_bytes: Cell::new(0),
            sent_at: Cell::new(None),
            answered_at: Cell::new(None),
            room_wait: Cell::default(),
            framing: Cell::new(None),
            info,
            route,
            services: self.routes.borrow().services(),
            account,
            admitted_version: self.routes.borrow().version(),
        };
        let disconnect = async {
            self.wait_for_disconnect(connection, reply).await;
            crate::event!("client_gone", "request" => call.id(),
                "execution" => call.execution.get().to_string(),
                "after_ms" => call.received_at.elapsed().as_millis());
            reply.abort();
        };
        let mut disconnect = pin!(disconnect);
        // A client that left while the process was frozen must not have tokens reserved for it.
        if future::poll_once(&mut disconnect).await.is_none() {
            future::or(self.serve(&call, reply), disconnect).await;
        }
    }

    /// Returns once the client has closed its connection. From the stop signal on, an answer that has not
    /// begun is made to close the connection, unless the client has sent another request behind this
    /// one.
    async fn wait_for_disconnect(&self, connection: &mut Connection, reply: &Reply) {
        let stopping = async {
            self.shutdown.wait_for(Phase::Draining).await;
            reply.close_if_last();
            future::pending().await
        };
        future::or(wait_for_close(connection, reply), stopping).await;
    }
}

/// Returns the first segment of a target's path. The rest may hold a key that a client put there.
pub(crate) fn loggable_target(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let first_segment_end = path.match_indices('/').nth(1);
    first_segment_end.map_or(path, |(end, _)| &path[..=end])
}

async fn read_head(
    connection: &mut Connection,
    limit_bytes: usize,
) -> Result<RequestHead, ReadFailure> {
    loop {
        match parse_request(connection.unread()) {
            Ok(Some((_, length))) if length > limit_bytes => return Err(too_large()),
            Ok(Some((head, length))) => {
                connection.consume(length);
                return Ok(head);
            }
            Ok(None) if connection.unread().len() > limit_bytes => return Err(too_large()),
            Ok(None) => match connection.fill().await {
                Ok(count) if count > 0 => {}
                _ => return Err(ReadFailure::Closed),
            },
            Err(HeadError::TooLarge) => return Err(too_large()),
            Err(HeadError::Malformed) => {
                return Err(refused(400, "malformed request"));
            }
        }
    }
}

fn too_large() -> ReadFailure {
    refused(431, "the head is too long")
}

fn refused(status: u16, reason: &'static str) -> ReadFailure {
    ReadFailure::Refused(Refusal::new(status, reason))
}

async fn read_body(
    connection: &mut Connection,
    framing: Framing,
    limit_bytes: usize,
    buffer: &BufferShare,
) -> Result<Vec<u8>, ReadFailure> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while !decoder.is_done() {
        match connection.read_body(&mut decoder, &mut body).await {
            Ok(()) if body.len() > limit_bytes => {
                return Err(refused(413, "the body is too long"));
            }
            Ok(()) if !buffer.resize(body.capacity()) => {
                let refusal = Refusal::retry_later(FULL_RETRY_AFTER, "too many bytes are received");
                return Err(ReadFailure::Refused(refusal));
            }
            Ok(()) => {}
            Err(
                BodyError::Truncated | BodyError::ConnectionReset | BodyError::ConnectionFailed,
            ) => {
                return Err(ReadFailure::Closed);
            }
            Err(BodyError::Malformed) => {
                return Err(refused(400, "malformed body"));
            }
        }
    }
    Ok(body)
}

/// Returns once the client has closed its connection.
async fn wait_for_close(connection: &mut Connection, reply: &Reply) {
    loop {
        if connection.unread().len() > MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        match connection.fill().await {
            Ok(count) if count > 0 => reply.expect_next_request(),
            _ => return,
        }
    }
}

/// Ends the connection towards the client, then reads and discards input for up to
/// [`LINGER_TIMEOUT`]. Closing with unread input would reset the connection, and the client could lose
/// the refusal.
async fn discard_input(connection: &mut Connection) {
    // Without its end, the client could send another request, which would not be answered.
    if let Err(error) = connection.stream().shutdown(Shutdown::Write) {
        crate::event!("connection_not_ended", "error" => error.to_string());
    }
    let read = async {
        while let Ok(count) = connection.fill().await {
            if count == 0 {
                return;
            }
            connection.consume(connection.unread().len());
        }
    };
    with_timeout(LINGER_TIMEOUT, read).await;
}
