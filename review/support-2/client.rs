//! Clients: programs with turns.

use crate::http::{self, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a client waits for a turn.
pub const TURN_TIME: Duration = Duration::from_millis(4_000);

/// Time after the start of the test by which each program should be finished.
const PROGRAM_TIME: Duration = Duration::from_secs(90);

/// Time for which a client waits for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Times that a failed turn is sent in all, each time with one retry.
const SENDS: usize = 3;

/// Pause before a failed turn is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// One turn as its client sends it.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    pub id: String,
    pub path: &'static str,
    pub program: String,
    pub session: String,
    pub previous: Option<String>,
    pub budget_tokens: Option<u64>,
    pub max_tokens: u64,
    pub input: String,
}

/// What a client has received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if there was none.
    pub status: u16,
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
    /// Whether all of the answer came.
    pub is_whole: bool,
}

impl Answer {
    /// Events with data that were received.
    pub fn events(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.body);
        text.lines()
            .filter(|line| line.starts_with("data:"))
            .count() as u64
    }

    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_whole
    }
}

impl Turn {
    /// Sends the turn on a new connection and reads the answer.
    pub fn send(&self, gateway: SocketAddr, record: &Record) -> Answer {
        self.send_within(TURN_TIME, gateway, record)
    }

    fn send_within(&self, time: Duration, gateway: SocketAddr, record: &Record) -> Answer {
        self.send_on(&mut Connection::open(gateway), time, record)
    }

    /// Sends the turn on a connection and reads the answer within `time`.
    pub fn send_on(&self, connection: &mut Connection, time: Duration, record: &Record) -> Answer {
        let time_ms = time.as_millis().to_string();
        let finish_ms = PROGRAM_TIME.as_millis().saturating_sub(record.ms());
        let finish_ms = finish_ms.to_string();
        let budget = self.budget_tokens.map(|tokens| tokens.to_string());
        let counts = format!("{},{}", self.input.len().div_ceil(4), self.max_tokens);
        let mut headers = vec![
            ("Host", "ficu95.example"),
            ("X-Request-Id", self.id.as_str()),
            ("X-Program-Id", self.program.as_str()),
            ("X-Session-Id", self.session.as_str()),
            ("X-Finish-Ms", finish_ms.as_str()),
            ("X-Model", "m"),
            ("X-Token-Count", counts.as_str()),
            ("X-Deadline-Ms", time_ms.as_str()),
        ];
        if let Some(budget) = &budget {
            headers.push(("X-Token-Budget", budget));
        }
        if let Some(previous) = &self.previous {
            headers.push(("X-Previous-Turn", previous));
        }
        let previous = self.previous.as_deref().unwrap_or("none");
        record.add(format!(
            "client sends {} of {} after {previous}",
            self.id, self.program
        ));
        let start = format!("POST {} HTTP/1.1", self.path);
        let answer = connection.send(&start, &headers, self.input.as_bytes(), time);
        record.add(format!(
            "client has for {}: {}, {} events, {}",
            self.id,
            answer.status,
            answer.events(),
            if answer.is_whole {
                "whole"
            } else {
                "not whole"
            }
        ));
        answer
    }
}

/// Sends the turns that `attempt` returns for the numbers from 0 on until one is answered whole, each at
/// another gateway, as PROTOCOL.md says of clients. Returns how many were sent.
pub fn send_until_whole(
    attempt: impl Fn(usize) -> Turn,
    gateways: &[SocketAddr],
    record: &Record,
) -> usize {
    let mut number = 0;
    for _ in 0..SENDS {
        let until = Instant::now() + TURN_TIME;
        for _ in 0..2 {
            let time_left = until.saturating_duration_since(Instant::now());
            let gateway = gateways[number % gateways.len()];
            let answer = attempt(number).send_within(time_left, gateway, record);
            number += 1;
            if answer.is_success() {
                return number;
            }
            if !matches!(answer.status, 408 | 421 | 429 | 503) {
                // Only these promise that the turn has not run.
                break;
            }
            let time_left = until.saturating_duration_since(Instant::now());
            let pause = answer.retry_after.unwrap_or(RESEND_PAUSE);
            thread::sleep(pause.min(time_left / 3));
        }
        thread::sleep(RESEND_PAUSE);
    }
    number
}

/// A connection to a gateway, which is kept as long as answers are whole.
pub struct Connection(Option<BufReader<TcpStream>>);

impl Connection {
    pub fn open(gateway: SocketAddr) -> Self {
        let stream = TcpStream::connect_timeout(&gateway, CONNECT_TIME).ok();
        Self(stream.map(|stream| {
            // Without this option a request is only later.
            let _ = stream.set_nodelay(true);
            BufReader::new(stream)
        }))
    }

    /// Sends a request and reads the answer until `limit` is over.
    fn send(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        limit: Duration,
    ) -> Answer {
        let mut message = Message::default();
        if let Some(mut reader) = self.0.take() {
            let stream = reader.get_mut();
            let mut bytes = http::head(start, headers);
            bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            bytes.extend_from_slice(body);
            let is_sent =
                stream.set_read_timeout(Some(limit)).is_ok() && stream.write_all(&bytes).is_ok();
            if is_sent && let Ok(head) = http::read_head(&mut reader) {
                message = head;
                http::read_body(&mut reader, &mut message);
            }
            if message.is_whole {
                self.0 = Some(reader);
            }
        }
        let retry_after = message.header("Retry-After");
        let retry_after = retry_after.and_then(|seconds| seconds.parse().ok());
        Answer {
            status: message.status(),
            retry_after: retry_after.map(Duration::from_secs_f64),
            is_whole: message.is_whole,
            body: message.body,
        }
    }
}
