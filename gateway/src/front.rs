//! Connections of clients.

use crate::call::Call;
use crate::dialect::Dialect;
use crate::forward::Execution;
use crate::http::{BodyDecoder, Framing, HeadError, RequestHead, Wire, parse_request};
use crate::net::{self, in_time};
use crate::node::{Gateway, InFlightGuard};
use crate::reply::{Refusal, Reply};
use futures_lite::future;
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes of further requests that are read while one is served; past that, the client waits.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Longest time that a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time to read on after a refusal, so that the client gets it before a reset.
const LINGER: Duration = Duration::from_millis(300);

/// A request that was read whole.
struct Request {
    head: RequestHead,
    body: Vec<u8>,
    /// When its first byte was seen.
    began_at: Instant,
}

/// Why no request was read.
enum NoRequest {
    /// The client closed, was idle for too long, or broke off.
    Closed,
    /// The request is refused; the connection can't be used any more.
    Refused(Refusal),
}

impl<D: Dialect> Gateway<D> {
    /// Accepts clients, for ever.
    pub(crate) async fn accept_clients(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = net::accept(&listener).await;
            let gateway = self.clone();
            let task = async move { gateway.serve_connection(stream).await };
            self.executor.spawn(task).detach();
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        // A connection without these options still serves; the client is only noticed later.
        if let Err(error) = net::tune(&stream) {
            crate::event!("socket_options_failed", "error" => error.to_string());
        }
        let mut wire = Wire::new(stream);
        loop {
            if !self.wait_for_bytes(&mut wire).await {
                return;
            }
            let guard = InFlightGuard::new(&self.requests_in_flight);
            let reply = Reply::new(wire.stream(), self.is_stopping());
            match self.read_request(&mut wire).await {
                Ok(request) => self.answer(request, &mut wire, &reply).await,
                Err(NoRequest::Closed) => return,
                Err(NoRequest::Refused(refusal)) => {
                    reply.close_after();
                    reply.refuse(&refusal).await;
                    drain(&mut wire).await;
                    return;
                }
            }
            drop(guard);
            if !reply.keeps_connection() {
                return;
            }
        }
    }

    /// Waits for the next request's first bytes; false if there will be none.
    async fn wait_for_bytes(&self, wire: &mut Wire) -> bool {
        if !wire.unread().is_empty() {
            return true;
        }
        let idle_timeout = self.routes.borrow().limits().idle_timeout;
        let read = async { matches!(wire.fill().await, Ok(count) if count > 0) };
        let idle_close = async {
            self.wait_for_idle_close().await;
            false
        };
        let read = in_time(idle_timeout, future::or(read, idle_close)).await;
        read.unwrap_or(false)
    }

    async fn read_request(&self, wire: &mut Wire) -> Result<Request, NoRequest> {
        let limits = self.routes.borrow().limits();
        let began_at = Instant::now();
        let head = in_time(limits.head_timeout, read_head(wire, limits.head_bytes)).await;
        let head = head.unwrap_or_else(|| Err(refused(408, "the head took too long")))?;
        if let Framing::Length(length) = head.framing
            && length > limits.body_bytes as u64
        {
            return Err(refused(413, "the body is too long"));
        }
        if head.expects_continue && head.framing != Framing::Empty {
            let go_on = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            go_on.map_err(|_| NoRequest::Closed)?;
        }
        let read = read_body(wire, head.framing, limits.body_bytes);
        let body = in_time(BODY_TIMEOUT, read).await;
        let body = body.unwrap_or_else(|| Err(refused(408, "the body took too long")))?;
        Ok(Request {
            head,
            body,
            began_at,
        })
    }

    async fn answer(self: &Rc<Self>, request: Request, wire: &mut Wire, reply: &Reply) {
        if !request.head.keep_alive {
            reply.close_after();
        }
        let route = match self.route(&request.head) {
            Ok(route) => route,
            Err(refusal) => {
                crate::event!("not_routed", "host" => request.head.host.as_str(),
                    "target" => request.head.target.as_str(), "status" => refusal.status);
                return reply.refuse(&refusal).await;
            }
        };
        let info = D::read_call(&request.head.headers);
        let patience = info.patience.unwrap_or(route.timeout).min(route.timeout);
        let call = Call {
            deadline: request.began_at + patience,
            received_at: request.began_at,
            head: request.head,
            body: request.body,
            execution: Cell::new(Execution::NotRun),
            endpoint: RefCell::default(),
            sent_at: Cell::new(None),
            answered_at: Cell::new(None),
            info,
            route,
        };
        let gone = async {
            wait_for_close(wire).await;
            crate::event!("client_gone", "request" => call.id(),
                "execution" => call.execution.get().to_string(),
                "after_ms" => call.received_at.elapsed().as_millis());
            reply.break_off();
        };
        future::or(self.serve(&call, reply), gone).await;
    }
}

async fn read_head(wire: &mut Wire, limit_bytes: usize) -> Result<RequestHead, NoRequest> {
    loop {
        match parse_request(wire.unread()) {
            Ok(Some((_, length))) if length > limit_bytes => return Err(too_large()),
            Ok(Some((head, length))) => {
                wire.consume(length);
                return Ok(head);
            }
            Ok(None) if wire.unread().len() > limit_bytes => return Err(too_large()),
            Ok(None) => match wire.fill().await {
                Ok(count) if count > 0 => {}
                _ => return Err(NoRequest::Closed),
            },
            Err(HeadError::TooLarge) => return Err(too_large()),
            Err(HeadError::Malformed) => {
                return Err(refused(400, "malformed request"));
            }
        }
    }
}

fn too_large() -> NoRequest {
    refused(431, "the head is too long")
}

fn refused(status: u16, reason: &'static str) -> NoRequest {
    NoRequest::Refused(Refusal::new(status, reason))
}

async fn read_body(
    wire: &mut Wire,
    framing: Framing,
    limit_bytes: usize,
) -> Result<Vec<u8>, NoRequest> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while !decoder.is_done() {
        match wire.read_body(&mut decoder, &mut body).await {
            Ok(()) if body.len() > limit_bytes => {
                return Err(refused(413, "the body is too long"));
            }
            Ok(()) => {}
            Err(crate::http::BodyError::Truncated) => return Err(NoRequest::Closed),
            Err(crate::http::BodyError::Malformed) => {
                return Err(refused(400, "malformed body"));
            }
        }
    }
    Ok(body)
}

/// Returns once the client has closed its connection.
async fn wait_for_close(wire: &mut Wire) {
    loop {
        if wire.unread().len() > MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        match wire.fill().await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
}

/// Reads what the client still sends, for a while: closing before would reset the connection and
/// take the refusal with it.
async fn drain(wire: &mut Wire) {
    let read = async {
        while let Ok(count) = wire.fill().await {
            if count == 0 {
                return;
            }
            wire.consume(wire.unread().len());
        }
    };
    in_time(LINGER, read).await;
}
