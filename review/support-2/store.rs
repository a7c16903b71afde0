//! The platform's store: a log with topics whose newest records by key are kept.

use crate::http::{self, Message};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that an append takes, and any other call.
const CALL_TIME: Duration = Duration::from_millis(3);

/// Most items in a page of newest records.
const PAGE_ITEMS: usize = 500;

/// Most bytes in an answer to a read.
const READ_BYTES: usize = 1024 * 1024;

#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    /// The last five appends of each producer: sequence number and first offset.
    producers: HashMap<String, Vec<(u64, usize)>>,
}

/// The store; clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    logs: Arc<(Mutex<HashMap<String, Log>>, Condvar)>,
}

impl Store {
    /// Starts to listen and returns the address.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                // An error means that the caller has gone.
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        address
    }

    /// Writes a record as operators and servers do; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut logs = self.logs.0.lock().expect("the store");
        let log = logs.entry(format!("{topic}/0")).or_default();
        log.records.push(record);
        self.logs.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut request = http::read_head(&mut reader)?;
            http::read_body(&mut reader, &mut request);
            thread::sleep(CALL_TIME);
            let (status, body) = self.execute(&request);
            http::write(
                &mut stream,
                &format!("HTTP/1.1 {status} Status"),
                &[],
                &body,
            )?;
        }
    }

    fn execute(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: HashMap<&str, &str> = pairs.collect();
        match path {
            "/-/log-append" => self.append(&query, &request.body),
            "/-/log-read" => self.read(&query),
            "/-/log-newest" => self.newest(&query),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, query: &HashMap<&str, &str>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut logs = self.logs.0.lock().expect("the store");
        let log = logs.entry(log_name(query)).or_default();
        let number: u64 = query["Sequence"].parse().expect("a number");
        let appends = log.producers.entry(query["Producer"].to_owned());
        let appends = appends.or_default();
        let known = appends.iter().find(|(known, _)| *known == number);
        let offset = match (known, appends.last()) {
            (Some((_, offset)), _) => *offset,
            (None, Some((last, _))) if last + 1 != number => {
                return (409, b"{\"why\":\"seq\"}".to_vec());
            }
            _ => {
                let offset = log.records.len();
                appends.push((number, offset));
                if appends.len() > 5 {
                    appends.remove(0);
                }
                let mut rest = body;
                while let Some((length, tail)) = rest.split_first_chunk::<4>() {
                    let length = u32::from_be_bytes(*length) as usize;
                    log.records.push(tail[..length].to_vec());
                    rest = &tail[length..];
                }
                offset
            }
        };
        let end = log.records.len();
        self.logs.1.notify_all();
        let reply = format!("{{\"Offset\":{offset},\"End\":{end}}}");
        (200, reply.into_bytes())
    }

    fn read(&self, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let from: usize = query["From"].parse().expect("an offset");
        let wait = query.get("WaitMs").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut logs = self.logs.0.lock().expect("the store");
        loop {
            let log = logs.entry(log_name(query)).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if log.records.len() > from || left.is_zero() {
                let mut body = (log.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                    if body.len() > READ_BYTES {
                        break;
                    }
                }
                return (200, body);
            }
            logs = self.logs.1.wait_timeout(logs, left).expect("the store").0;
        }
    }

    fn newest(&self, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let mut logs = self.logs.0.lock().expect("the store");
        let log = logs.entry(log_name(query)).or_default();
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let after = unescape(query.get("after").copied().unwrap_or_default());
        let later = newest.iter().filter(|(key, _)| **key > &after[..]);
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (offset, value)) in later {
            if items.len() == PAGE_ITEMS {
                has_more = true;
                break;
            }
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            items.push(format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}"
            ));
        }
        let end = log.records.len();
        let items = items.join(",");
        let page = format!("{{\"items\":[{items}],\"More\":{has_more},\"End\":{end}}}");
        (200, page.into_bytes())
    }
}

fn log_name(query: &HashMap<&str, &str>) -> String {
    format!("{}/{}", query["Topic"], query["part"])
}

fn unescape(text: &str) -> Vec<u8> {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        bytes.extend(u8::from_str_radix(&part[..2], 16));
        bytes.extend_from_slice(&part.as_bytes()[2..]);
    }
    bytes
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            let is_used = index <= group.len();
            text.push(if is_used { char::from(digit) } else { '=' });
        }
    }
    text
}
