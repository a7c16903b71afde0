//! HTTP client for services.

use crate::adapter::lost_answer;
use crate::adapter::rate_limit::StatedRate;
use crate::http::{self, HttpError, HttpResponse};
use crate::ids::format_id;
use crate::limits::MAX_ANSWER_BYTES;
use crate::protocol::failure::LostAnswer;
use crate::protocol::rate::RequestRate;
use crate::protocol::service::{Service, ServiceError, ServiceReply, ServiceRequest};
use smol::net::TcpStream;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use trillium_client::{Client, Connector, Method};
use trillium_server_common::{Destination, url::Url};
use trillium_smol::{ClientConfig, SmolRuntime, SmolTransport};

/// HTTP client of a service that sends each request once.
///
/// It opens the connection itself before it passes it to the HTTP library. A failure to connect is
/// therefore known to have happened before any byte of the request was sent.
#[derive(Clone, Debug)]
pub struct HttpService {
    address: String,
    client: Client,
    open_connections: OpenConnections,
    timeout: Duration,
    rate_limit: StatedRate,
}

impl HttpService {
    /// Creates a client for a base URL such as `http://127.0.0.1:80`. `timeout` limits a whole call,
    /// connecting included.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let open_connections = OpenConnections::default();
        let address = base.trim_start_matches("http://").trim_end_matches('/');
        Self {
            address: address.to_owned(),
            client: http::build_client(open_connections.clone(), MAX_ANSWER_BYTES),
            open_connections,
            timeout,
            rate_limit: StatedRate::default(),
        }
    }

    /// Opens a connection without sending anything on it.
    async fn dial(&self, deadline: Instant) -> Result<TcpStream, ServiceError> {
        let connect = async {
            TcpStream::connect(self.address.as_str())
                .await
                .map_err(|error| HttpError::Failed(error.to_string()))
        };
        let stream = http::with_timeout(remaining(deadline), connect)
            .await
            .map_err(|error| ServiceError::NotSent(error.to_string()))?;
        // A failure only adds latency, so it is ignored.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends a request on an open connection.
    async fn send(
        &self,
        stream: TcpStream,
        request: ServiceRequest,
        deadline: Instant,
    ) -> Result<HttpResponse, HttpError> {
        let ticket = self.open_connections.insert(stream);
        let url = format!(
            "http://{}/v1/operations/{}",
            ticket.host(),
            request.operation
        );
        let conn = self
            .client
            .build_conn(Method::Post, url)
            .with_request_header("host", self.address.clone())
            .with_request_header("idempotency-key", format_id(request.call));
        let body = (request.body.into_bytes(), "application/json");
        let conn = http::add_body(conn, Some(body));
        http::with_timeout(remaining(deadline), async {
            http::open(conn).await?.read_whole(MAX_ANSWER_BYTES).await
        })
        .await
    }
}

impl Service for HttpService {
    fn rate_limit(&self) -> Option<RequestRate> {
        self.rate_limit.get()
    }

    async fn invoke(&self, request: ServiceRequest) -> Result<ServiceReply, ServiceError> {
        if !is_path_segment(&request.operation) {
            let reason = "the operation's name has other characters";
            return Err(ServiceError::NotSent(reason.to_owned()));
        }
        let deadline = Instant::now() + self.timeout;
        let stream = self.dial(deadline).await?;
        let response = self
            .send(stream, request, deadline)
            .await
            .map_err(|error| ServiceError::Unknown(lost_answer(&error)))?;
        self.rate_limit.observe(response.rate_limit.as_deref());
        let body = String::from_utf8(response.body)
            .map_err(|_| ServiceError::Unknown(LostAnswer::other("the answer is not text")))?;
        Ok(ServiceReply {
            status: response.status,
            body,
        })
    }
}

/// Returns the time until `deadline`; zero after it.
fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Tells whether a name can be used as a path segment without escaping.
fn is_path_segment(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    !name.is_empty() && name.chars().all(allowed)
}

/// Open connections that the HTTP library has not taken yet, by ticket number. It is the connector of
/// that library.
///
/// Invariant: each connection is taken once, so a request cannot be sent on two connections.
#[derive(Clone, Debug, Default)]
struct OpenConnections {
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
    last_number: Arc<AtomicU64>,
}

impl OpenConnections {
    /// Stores a connection until the HTTP library takes it or the ticket is dropped.
    fn insert(&self, stream: TcpStream) -> Ticket {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        self.lock().insert(number, stream);
        Ticket {
            number,
            open_connections: self.clone(),
        }
    }

    /// Removes and returns the connection with the host name of its ticket.
    fn take(&self, host: &str) -> io::Result<TcpStream> {
        let number = host.strip_prefix(HOST_PREFIX);
        number
            .and_then(|number| number.parse().ok())
            .and_then(|number: u64| self.lock().remove(&number))
            .ok_or_else(|| io::Error::other("no connection was dialled"))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, TcpStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Prefix of the host names that identify open connections; they are never resolved.
const HOST_PREFIX: &str = "dialled-";

/// Identifies a connection in [`OpenConnections`]. Dropping it closes a connection that has not been
/// taken.
struct Ticket {
    number: u64,
    open_connections: OpenConnections,
}

impl Ticket {
    /// Returns the host name with which the HTTP library requests the connection.
    fn host(&self) -> String {
        format!("{HOST_PREFIX}{}", self.number)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.open_connections.lock().remove(&self.number);
    }
}

impl Connector for OpenConnections {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        SmolRuntime::default()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let host = url.host_str().unwrap_or_default();
        self.take(host).map(SmolTransport::from)
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let host = destination.host().unwrap_or_default();
        self.take(host).map(SmolTransport::from)
    }

    async fn resolve(&self, _host: &str, _port: u16) -> io::Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }
}
