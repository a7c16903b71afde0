//! A small HTTP server that can refuse, close or stall connections on request.

use crate::standin::body::ChannelBody;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::convert::Infallible;
use std::future::{Future, pending};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;
use trillium_http::{Body, Conn, HttpConfig, HttpContext, Method};
use trillium_smol::SmolTransport;
use trillium_smol::async_global_executor::{Task, spawn};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 256 << 20;

/// Size of the writes of an event stream, in bytes.
const WRITE_CHUNK_BYTES: usize = 1 << 10;

/// Maximum number of connections that wait to be accepted. The standard library requests 128, and
/// Linux resets connections beyond this limit while it answers with SYN cookies.
const LISTEN_BACKLOG: i32 = 4096;

/// Pause after a failed accept or bind.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The transport type that the HTTP library expects.
type Transport = SmolTransport<TcpStream>;

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    /// The method.
    pub(crate) method: Method,
    /// The path, without the query.
    pub(crate) path: String,
    /// The query, without the question mark.
    pub(crate) query: String,
    /// The `idempotency-key` header.
    pub(crate) idempotency_key: Option<String>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// Returns a numeric query parameter, or `None` if it is missing or not a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&');
        let mut values = pairs.filter_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        values.next()?.parse().ok()
    }

    /// Decodes the body as JSON. The error is a response with status 400.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Response> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Response::error(400, "invalid", &error.to_string()))
    }
}

/// The outcome of a request.
pub(crate) enum Response {
    /// A complete response.
    Full {
        /// The status code.
        status: u16,
        /// The media type.
        media_type: &'static str,
        /// The body.
        body: Vec<u8>,
    },
    /// A stream of server-sent events.
    Events(ChannelBody),
    /// Sends no response and leaves the connection open.
    Hang,
    /// Sends no response and closes the connection.
    Disconnect,
}

impl Response {
    /// Creates a JSON response.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        Self::Full {
            status,
            media_type: "application/json",
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// Creates an error response with a code and a message.
    pub(crate) fn error(status: u16, code: &str, message: &str) -> Self {
        let error = serde_json::json!({"code": code, "message": message});
        Self::json(status, &serde_json::json!({"error": error}))
    }

    /// Creates the response to an unknown path.
    pub(crate) fn not_found() -> Self {
        Self::error(404, "no_such_path", "There is no such path.")
    }
}

/// Handles the requests of a stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// A running HTTP server. Dropping it closes every connection.
pub(crate) struct Server<H> {
    handler: Arc<H>,
    address: SocketAddr,
    connections: Arc<OpenConnections>,
    /// The task that accepts connections; `None` while connections are refused.
    accept_task: Mutex<Option<Task<()>>>,
}

impl<H: Handler> Server<H> {
    /// Starts a server. Port 0 selects a free port.
    pub(crate) async fn start(listen: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = bind(listen).await?;
        let server = Self {
            handler,
            address: listener.local_addr()?,
            connections: Arc::new(OpenConnections::new()),
            accept_task: Mutex::new(None),
        };
        server.serve(listener);
        Ok(server)
    }

    /// Returns the listen address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, so that the operating system refuses new connections. Open connections stay
    /// open.
    pub(crate) async fn stop_listening(&self) {
        let accept_task = self.accept_task().take();
        if let Some(accept_task) = accept_task {
            accept_task.cancel().await;
        }
    }

    /// Listens on the same address again, and retries until the address can be bound.
    pub(crate) async fn resume_listening(&self) {
        while self.accept_task().is_none() {
            match bind(self.address).await {
                Ok(listener) => self.serve(listener),
                Err(error) => {
                    log::warn!(target: "standin", "standin: failed to listen, will retry: {error}");
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Closes every open connection.
    pub(crate) fn close_connections(&self) {
        self.connections.close_all();
    }

    /// Stops listening and closes every connection.
    pub(crate) async fn stop(&self) {
        self.stop_listening().await;
        self.close_connections();
    }

    /// Accepts connections from a listener in a separate task.
    fn serve(&self, listener: TcpListener) {
        let accept = accept_all(listener, self.handler.clone(), self.connections.clone());
        *self.accept_task() = Some(spawn(accept));
    }

    fn accept_task(&self) -> MutexGuard<'_, Option<Task<()>>> {
        self.accept_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl<H> Drop for Server<H> {
    fn drop(&mut self) {
        self.connections.close_all();
    }
}

/// Listens on an address.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

/// A weak reference from a handler to its own server.
pub(crate) struct ServerRef<H>(OnceLock<Weak<Server<H>>>);

impl<H> Default for ServerRef<H> {
    fn default() -> Self {
        Self(OnceLock::new())
    }
}

impl<H: Handler> ServerRef<H> {
    /// Sets the server. Later calls have no effect.
    pub(crate) fn attach(&self, server: &Arc<Server<H>>) {
        let _ = self.0.set(Arc::downgrade(server));
    }

    /// Returns the server, or `None` if it is not set or was dropped.
    pub(crate) fn get(&self) -> Option<Arc<Server<H>>> {
        self.0.get()?.upgrade()
    }

    /// Stops the server with `Some(true)`, resumes listening with `Some(false)`, and does nothing with
    /// `None`.
    pub(crate) async fn set_down(&self, down: Option<bool>) {
        match (self.get(), down) {
            (Some(server), Some(true)) => server.stop().await,
            (Some(server), Some(false)) => server.resume_listening().await,
            _ => {}
        }
    }
}

/// Closes all open connections on request.
struct OpenConnections {
    /// Nothing is sent on this channel. Dropping the sender closes the channel, which signals the
    /// connections that hold a receiver.
    channel: Mutex<(Sender<Infallible>, Receiver<Infallible>)>,
}

impl OpenConnections {
    fn new() -> Self {
        Self {
            channel: Mutex::new(async_channel::bounded(1)),
        }
    }

    /// Closes the connections that were opened so far.
    fn close_all(&self) {
        *self.lock() = async_channel::bounded(1);
    }

    /// Returns a receiver for a new connection. The receiver closes when the connection must close.
    fn watch(&self) -> Receiver<Infallible> {
        self.lock().1.clone()
    }

    fn lock(&self) -> MutexGuard<'_, (Sender<Infallible>, Receiver<Infallible>)> {
        self.channel.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections until the task is cancelled.
async fn accept_all<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    connections: Arc<OpenConnections>,
) {
    let config = HttpConfig::default()
        .with_received_body_max_len(MAX_BODY_BYTES)
        .with_body_write_chunk_len(WRITE_CHUNK_BYTES);
    let mut context = HttpContext::new();
    *context.config_mut() = config;
    let context = Arc::new(context);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(
                    context.clone(),
                    stream,
                    handler.clone(),
                    connections.watch(),
                );
                spawn(connection).detach();
            }
            Err(error) => {
                log::warn!(target: "standin", "standin: failed to accept a connection: {error}");
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it is closed by the client, by a handler or by the server.
async fn serve_connection<H: Handler>(
    context: Arc<HttpContext>,
    stream: TcpStream,
    handler: Arc<H>,
    watch: Receiver<Infallible>,
) {
    // A failure only increases the latency.
    let _ = stream.set_nodelay(true);
    let (disconnect_tx, disconnect_rx) = async_channel::bounded::<()>(1);
    let serve = async {
        let run = |conn| respond(conn, handler.as_ref(), &disconnect_tx);
        if let Err(error) = context.run(Transport::from(stream), run).await {
            log::debug!(target: "standin", "standin: connection failed: {error}");
        }
    };
    let server_closed = async {
        let _ = watch.recv().await;
    };
    let handler_closed = async {
        let _ = disconnect_rx.recv().await;
    };
    serve.or(server_closed).or(handler_closed).await;
}

/// Reads a request, passes it to the handler and sends the response.
async fn respond<H: Handler>(
    mut conn: Conn<Transport>,
    handler: &H,
    disconnect_tx: &Sender<()>,
) -> Conn<Transport> {
    let Ok(body) = conn.request_body().read_bytes().await else {
        return conn.with_status(400);
    };
    let request = Request {
        method: conn.method(),
        path: conn.path().to_owned(),
        query: conn.querystring().to_owned(),
        idempotency_key: conn
            .request_headers()
            .get_str("idempotency-key")
            .map(str::to_owned),
        body,
    };
    match handler.handle(request).await {
        Response::Full {
            status,
            media_type,
            body,
        } => with_body(conn, status, media_type, body),
        Response::Events(events) => with_body(
            conn,
            200,
            "text/event-stream",
            Body::new_streaming(events, None),
        ),
        Response::Hang => {
            conn.cancel_on_disconnect(pending::<()>()).await;
            conn
        }
        Response::Disconnect => {
            let _ = disconnect_tx.try_send(());
            pending().await
        }
    }
}

/// Sets the status, media type and body of a response.
fn with_body(
    mut conn: Conn<Transport>,
    status: u16,
    media_type: &'static str,
    body: impl Into<Body>,
) -> Conn<Transport> {
    conn.response_headers_mut()
        .insert("content-type", media_type);
    conn.with_status(status).with_response_body(body)
}
