//! Services over HTTP.

use crate::adapter::http::{self, HttpAnswer, HttpError};
use crate::ids::format_id;
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

/// A client of a service that sends each request once.
///
/// It dials by itself before it hands the connection to the HTTP client, so that it knows whether
/// a request can have left this process.
#[derive(Clone, Debug)]
pub struct HttpService {
    address: String,
    client: Client,
    dialled: Dialled,
    timeout: Duration,
}

impl HttpService {
    /// Makes a client for a base URL such as `http://127.0.0.1:80`; `timeout` is for a whole call.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let dialled = Dialled::default();
        let address = base.trim_start_matches("http://").trim_end_matches('/');
        Self {
            address: address.to_owned(),
            client: http::build_client(dialled.clone()),
            dialled,
            timeout,
        }
    }

    /// Opens a connection; nothing is sent on it yet.
    async fn dial(&self, deadline: Instant) -> Result<TcpStream, ServiceError> {
        let connect = async {
            TcpStream::connect(self.address.as_str())
                .await
                .map_err(|error| HttpError::Failed(error.to_string()))
        };
        let stream = http::within(remaining(deadline), connect)
            .await
            .map_err(|error| ServiceError::NotSent(error.to_string()))?;
        // Without it a call takes longer, no more.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends a request on a dialled connection.
    async fn send(
        &self,
        stream: TcpStream,
        request: ServiceRequest,
        deadline: Instant,
    ) -> Result<HttpAnswer, HttpError> {
        let ticket = self.dialled.put(stream);
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
        http::within(remaining(deadline), async {
            http::open(conn).await?.read_whole().await
        })
        .await
    }
}

impl Service for HttpService {
    async fn invoke(&self, request: ServiceRequest) -> Result<ServiceReply, ServiceError> {
        if !is_plain(&request.operation) {
            let why = "the operation's name has other characters";
            return Err(ServiceError::NotSent(why.to_owned()));
        }
        let deadline = Instant::now() + self.timeout;
        let stream = self.dial(deadline).await?;
        let answer = self
            .send(stream, request, deadline)
            .await
            .map_err(|error| ServiceError::Unknown(error.to_string()))?;
        let body = String::from_utf8(answer.body)
            .map_err(|_| ServiceError::Unknown("the answer is not text".to_owned()))?;
        Ok(ServiceReply {
            status: answer.status,
            body,
        })
    }
}

/// Returns the time until `deadline`.
fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Tells whether a name can stand in a path as it is.
fn is_plain(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    !name.is_empty() && name.chars().all(allowed)
}

/// Connections that are open and wait for the HTTP client to take them, by ticket.
///
/// Invariant: a connection is taken out once, so a request can't be sent on two.
#[derive(Clone, Debug, Default)]
struct Dialled {
    streams: Arc<Mutex<HashMap<u64, TcpStream>>>,
    last: Arc<AtomicU64>,
}

impl Dialled {
    /// Keeps a connection until the HTTP client takes it or the ticket is dropped.
    fn put(&self, stream: TcpStream) -> Ticket {
        let number = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        self.lock().insert(number, stream);
        Ticket {
            number,
            dialled: self.clone(),
        }
    }

    /// Takes a connection out by the host name that its ticket made.
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

/// Begins the host names that stand for dialled connections; they are never resolved.
const HOST_PREFIX: &str = "dialled-";

/// Stands for a connection in [`Dialled`].
struct Ticket {
    number: u64,
    dialled: Dialled,
}

impl Ticket {
    /// Returns the host name by which the HTTP client asks for the connection.
    fn host(&self) -> String {
        format!("{HOST_PREFIX}{}", self.number)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.dialled.lock().remove(&self.number);
    }
}

impl Connector for Dialled {
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
