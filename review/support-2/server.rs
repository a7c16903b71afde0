//! Model servers as PROTOCOL.md describes them.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two check-ins.
const CHECK_IN: Duration = Duration::from_millis(1_200);

/// Requests that a server runs at the same time.
pub const SLOTS: usize = 16;

/// Tokens in each event of a stream.
pub const TOKENS_PER_EVENT: u64 = 10;

/// Name of the service of model servers.
pub const SERVICE: &str = "huvo11a";

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
}

/// All runs at the servers of a test.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Lifetime {
    id: String,
    address: SocketAddr,
    born_ms: u128,
    /// Whether it checks in at the store.
    is_listed: AtomicBool,
    /// Whether machines of the system reach it.
    is_reachable: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

/// A server. Its lifetimes have different ids and addresses.
pub struct Server {
    number: usize,
    zone: &'static str,
    /// Pause before each event of a stream.
    event_pause: Duration,
    store: Store,
    runs: Runs,
    record: Record,
    current: Option<Arc<Lifetime>>,
    starts: usize,
}

impl Server {
    pub fn start(
        number: usize,
        zone: &'static str,
        event_pause: Duration,
        store: &Store,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let mut server = Self {
            number,
            zone,
            event_pause,
            store: store.clone(),
            runs: runs.clone(),
            record: record.clone(),
            current: None,
            starts: 0,
        };
        server.begin_lifetime();
        server
    }

    /// Starts the server, again with a new id.
    pub fn begin_lifetime(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        self.starts += 1;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let lifetime = Arc::new(Lifetime {
            id: format!("i-m{}-{}", self.number, self.starts),
            address: listener.local_addr().expect("an address"),
            born_ms: since_epoch.expect("a time").as_millis(),
            is_listed: AtomicBool::new(true),
            is_reachable: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        self.current = Some(lifetime.clone());
        self.accept(listener, lifetime.clone());
        self.check_in(lifetime);
    }

    /// Ends the process of the server without notice. Its entry goes after three check-ins.
    pub fn crash(&mut self) {
        let id = self.id();
        self.exit();
        let store = self.store.clone();
        thread::spawn(move || {
            thread::sleep(CHECK_IN * 3);
            store.put("keyed.servers", &id, b"");
        });
    }

    /// Ends the process of the server: all its connections end, and its port is closed.
    pub fn exit(&mut self) {
        let Some(lifetime) = self.current.take() else {
            return;
        };
        lifetime.is_listed.store(false, Ordering::SeqCst);
        lifetime.is_reachable.store(false, Ordering::SeqCst);
        for connection in lifetime.connections.lock().expect("connections").drain(..) {
            // An error means that the other side has closed it.
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add(format!("server {} ends", lifetime.id));
    }

    /// Removes the entry of the server, as planned work does with one that never reports `draining`. The
    /// server goes on until [`Self::exit`].
    pub fn leave(&self) {
        let Some(lifetime) = &self.current else {
            return;
        };
        lifetime.is_listed.store(false, Ordering::SeqCst);
        self.store.put("keyed.servers", &lifetime.id, b"");
        self.record
            .add(format!("server {} leaves the list", lifetime.id));
    }

    /// Cuts the server off from the machines of the system: its connections are reset and new ones are
    /// refused. Its process goes on, and so do its check-ins at the store.
    pub fn cut(&self) {
        let Some(lifetime) = &self.current else {
            return;
        };
        lifetime.is_reachable.store(false, Ordering::SeqCst);
        for connection in lifetime.connections.lock().expect("connections").drain(..) {
            reset(&connection);
        }
        self.record
            .add(format!("server {} is cut off", lifetime.id));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        let Some(lifetime) = &self.current else {
            return;
        };
        let listener = TcpListener::bind(lifetime.address).expect("its own port");
        listener.set_nonblocking(true).expect("a listener");
        lifetime.is_reachable.store(true, Ordering::SeqCst);
        self.accept(listener, lifetime.clone());
        self.record
            .add(format!("server {} can be reached again", lifetime.id));
    }

    pub fn id(&self) -> String {
        let id = self.current.as_ref().map(|lifetime| lifetime.id.clone());
        id.unwrap_or_default()
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        let current = self.current.as_ref();
        current.map_or(0, |lifetime| lifetime.running.load(Ordering::SeqCst))
    }

    fn check_in(&self, lifetime: Arc<Lifetime>) {
        let (store, zone) = (self.store.clone(), self.zone);
        thread::spawn(move || {
            let mut sequence = 0;
            while lifetime.is_listed.load(Ordering::SeqCst) {
                sequence += 1;
                let entry = format!(
                    r#"{{"Service":"{SERVICE}","Address":"{}","Zone":"{zone}","Version":"v1","Slots":{SLOTS},
"State":"ready","ColdLeftMs":0,"Sequence":{sequence},"born":{}}}"#,
                    lifetime.address, lifetime.born_ms
                );
                store.put("keyed.servers", &lifetime.id, entry.as_bytes());
                thread::sleep(CHECK_IN);
            }
        });
    }

    fn accept(&self, listener: TcpListener, lifetime: Arc<Lifetime>) {
        let (event_pause, runs, record) =
            (self.event_pause, self.runs.clone(), self.record.clone());
        thread::spawn(move || {
            while lifetime.is_reachable.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (lifetime, runs) = (lifetime.clone(), runs.clone());
                        let record = record.clone();
                        thread::spawn(move || {
                            // An error means that the caller has gone.
                            drop(serve(stream, &lifetime, event_pause, &runs, &record));
                        });
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
    }
}

/// Resets a connection, as the network does.
fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Unspecified {
        family: u16,
        rest: [u8; 14],
    }
    unsafe extern "C" {
        fn connect(socket: i32, address: *const Unspecified, length: u32) -> i32;
    }
    let nowhere = Unspecified {
        family: 0,
        rest: [0; 14],
    };
    // SAFETY: the socket is open, and the address lives for the call. Linux resets a connection that is
    // connected to no address; a connection that has ended stays as it is.
    unsafe { connect(stream.as_raw_fd(), &nowhere, 16) };
}

fn serve(
    mut stream: TcpStream,
    lifetime: &Lifetime,
    event_pause: Duration,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut connections = lifetime.connections.lock().expect("connections");
    connections.push(stream.try_clone()?);
    drop(connections);
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut request = http::read_head(&mut reader)?;
        http::read_body(&mut reader, &mut request);
        if !request.is_whole {
            return Ok(());
        }
        answer(&mut stream, &request, lifetime, event_pause, runs, record)?;
    }
}

fn answer(
    stream: &mut TcpStream,
    request: &Message,
    lifetime: &Lifetime,
    event_pause: Duration,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    let id = request.header("X-Request-Id").unwrap_or_default();
    let named = [("X-Instance-Id", lifetime.id.as_str())];
    let expected = request.header("X-Expect-Instance");
    if expected.is_some_and(|expected| expected != lifetime.id) {
        return http::write(stream, "HTTP/1.1 421 Misdirected Request", &named, b"");
    }
    let running = lifetime.running.load(Ordering::SeqCst);
    match request.word(1) {
        "/-/report" => {
            let report = format!(
                r#"{{"Stage":"both","Models":[],"Busy":false,"Sequence":1,"Waiting":0,"Running":{running},
"KvUsed":0,"KvTotal":119499,"Handles":0,"born":{}}}"#,
                lifetime.born_ms
            );
            return http::write(stream, "HTTP/1.1 200 OK", &named, report.as_bytes());
        }
        "/health" => return http::write(stream, "HTTP/1.1 200 OK", &named, b""),
        _ if id.is_empty() => {
            let refused = [("X-Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 400 Bad Request", &refused, b"");
        }
        _ if running >= SLOTS => {
            let refused = [("X-Request-Id", id), ("X-Not-Executed", "1")];
            return http::write(stream, "HTTP/1.1 503 Service Unavailable", &refused, b"");
        }
        _ => {}
    }
    lifetime.running.fetch_add(1, Ordering::SeqCst);
    runs.lock().expect("the runs").push(Run {
        request: id.to_owned(),
        server: lifetime.id.clone(),
    });
    record.add(format!("server {} runs {id}", lifetime.id));
    let written = run(stream, request, id, event_pause);
    lifetime.running.fetch_sub(1, Ordering::SeqCst);
    written
}

/// Sends a stream with an event for each ten tokens.
fn run(
    stream: &mut TcpStream,
    request: &Message,
    id: &str,
    event_pause: Duration,
) -> io::Result<()> {
    let signature = format!("sig.{id}");
    let headers = [
        ("X-Request-Id", id),
        ("X-Response-Signature", signature.as_str()),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ];
    let mut head = http::head("HTTP/1.1 200 OK", &headers);
    head.extend_from_slice(b"\r\n");
    stream.write_all(&head)?;
    for number in 1..=max_tokens(request).div_ceil(TOKENS_PER_EVENT) {
        thread::sleep(event_pause);
        let event = format!("id: {number}\ndata: {id}-{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

fn max_tokens(request: &Message) -> u64 {
    let counts = request.header("X-Token-Count").unwrap_or_default();
    let max = counts.split_once(',').and_then(|(_, max)| max.parse().ok());
    max.unwrap_or(TOKENS_PER_EVENT)
}

/// Returns the server that ran each request last, by request id.
pub fn last_servers(runs: &Runs) -> HashMap<String, String> {
    let runs = runs.lock().expect("the runs");
    let pairs = runs
        .iter()
        .map(|run| (run.request.clone(), run.server.clone()));
    pairs.collect()
}

/// Waits until `is_done` says so; false if it does not within `limit`.
pub fn wait_until(limit: Duration, is_done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !is_done() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}
