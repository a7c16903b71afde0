//! Carries reports between gateways by datagram.
//!
//! The carrier knows the socket, the peers, the size of datagrams and how often small VMs may be sent
//! some. A report knows nothing of it: it has a tag and an encoding. Datagrams may be lost, late or
//! doubled, so each report is valid by itself or says how old its content is.

#[cfg(test)]
mod tests;

use crate::counters::write_metric;
use crate::turns::record::{decode, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::UdpSocket;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Shortest time between two reports of a kind to all peers, short compared with the duration of a
/// call.
pub(crate) const MIN_REPORT_DELAY: Duration = Duration::from_millis(40);

/// Minimum time per peer, so that large sites do not overload small VMs. A datagram takes about
/// 10 us at each end.
pub(crate) const DELAY_PER_PEER: Duration = Duration::from_millis(3);

/// Longest time between two reports of a kind to all peers.
pub(crate) const MAX_REPORT_DELAY: Duration = Duration::from_millis(400);

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// What one gateway tells others in one datagram.
pub(crate) trait Report: Serialize + DeserializeOwned {
    /// First byte of the datagram, which tells the kind.
    const TAG: u8;

    /// Whether the encoding itself begins with the tag, so that none is put before it.
    const IS_TAG_ENCODED: bool = false;
}

/// Returns the datagram that carries a report.
pub(crate) fn to_datagram<R: Report>(report: &R) -> Vec<u8> {
    let encoded = encode(report);
    if R::IS_TAG_ENCODED {
        return encoded;
    }
    let mut datagram = Vec::with_capacity(1 + encoded.len());
    datagram.push(R::TAG);
    datagram.extend(encoded);
    datagram
}

/// A datagram that has arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incoming<'a> {
    pub(crate) from: SocketAddr,
    datagram: &'a [u8],
}

impl Incoming<'_> {
    /// Returns the tag of the report; `None` if the datagram is empty.
    pub(crate) fn tag(&self) -> Option<u8> {
        self.datagram.first().copied()
    }

    /// Returns the report, or `None` if it cannot be read, which is logged.
    pub(crate) fn read<R: Report>(&self) -> Option<R> {
        let skipped = usize::from(!R::IS_TAG_ENCODED);
        let body = self.datagram.get(skipped..).unwrap_or_default();
        decode(body).map_or_else(
            |error| {
                crate::event!("datagram_unreadable", "from" => self.from.to_string(),
                    "tag" => u32::from(R::TAG), "error" => error);
                None
            },
            Some,
        )
    }
}

/// Numbers of datagrams and their sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    pub(crate) datagrams: u64,
    pub(crate) bytes: u64,
}

/// The datagram socket with the addresses of the peers.
#[derive(Debug, Default)]
pub(crate) struct Carrier {
    /// Set at the start; before, nothing is sent.
    socket: OnceCell<UdpSocket>,
    peers: RefCell<Vec<SocketAddr>>,
    /// What was sent, by tag.
    sent: RefCell<BTreeMap<u8, Traffic>>,
    received: Cell<Traffic>,
}

impl Carrier {
    /// Sets the socket, once.
    pub(crate) fn open(&self, socket: UdpSocket) {
        if self.socket.set(socket).is_err() {
            crate::event!("carrier_opened_twice");
        }
    }

    /// Replaces the addresses of the peers.
    pub(crate) fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.peers.replace(peers);
    }

    /// Returns the addresses of all peers.
    pub(crate) fn peers(&self) -> Vec<SocketAddr> {
        self.peers.borrow().clone()
    }

    /// Returns the time between two reports of a kind to all peers.
    pub(crate) fn report_delay(&self) -> Duration {
        report_delay(self.peers.borrow().len())
    }

    /// Sends a report to a peer. Who waits for an answer bears the loss of a datagram.
    pub(crate) async fn send<R: Report>(&self, address: SocketAddr, report: &R) {
        self.send_each(&[address], report).await;
    }

    /// Sends a report to all peers.
    pub(crate) async fn send_to_all<R: Report>(&self, report: &R) {
        let peers = self.peers();
        self.send_each(&peers, report).await;
    }

    /// Sends a report to some peers.
    pub(crate) async fn send_each<R: Report>(&self, addresses: &[SocketAddr], report: &R) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let datagram = to_datagram(report);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            crate::event!("datagram_too_long", "tag" => u32::from(R::TAG), "bytes" => datagram.len());
            return;
        }
        for address in addresses {
            // A datagram that cannot be sent is like one that is lost.
            let _ = socket.send_to(&datagram, *address).await;
        }
        let mut sent = self.sent.borrow_mut();
        let traffic = sent.entry(R::TAG).or_default();
        traffic.datagrams += addresses.len() as u64;
        traffic.bytes += (addresses.len() * datagram.len()) as u64;
    }

    /// Passes each datagram that arrives to `receive`, until the socket fails.
    pub(crate) async fn receive_each(&self, mut receive: impl FnMut(Incoming<'_>)) -> io::Error {
        let Some(socket) = self.socket.get() else {
            return io::Error::from(io::ErrorKind::NotConnected);
        };
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => return error,
            };
            let mut traffic = self.received.get();
            traffic.datagrams += 1;
            traffic.bytes += length as u64;
            self.received.set(traffic);
            receive(Incoming {
                from,
                datagram: &buffer[..length],
            });
        }
    }

    /// Renders what was sent, by tag, and what was received, in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        let mut write = |direction: &str, labels: &str, traffic: Traffic| {
            let datagrams = format!("datagrams_{direction}_total");
            write_metric(&mut text, &datagrams, labels, traffic.datagrams);
            let bytes = format!("datagram_bytes_{direction}_total");
            write_metric(&mut text, &bytes, labels, traffic.bytes);
        };
        for (tag, traffic) in self.sent.borrow().iter() {
            let tag = match char::from(*tag) {
                letter if letter.is_ascii_alphabetic() => letter.to_string(),
                _ => format!("{tag:02x}"),
            };
            write("sent", &format!("tag=\"{tag}\""), *traffic);
        }
        write("received", "", self.received.get());
        text
    }
}

/// Returns the time between two reports of a kind to this number of peers.
pub(crate) fn report_delay(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    let delay = DELAY_PER_PEER.saturating_mul(peers);
    delay.clamp(MIN_REPORT_DELAY, MAX_REPORT_DELAY)
}

/// Returns the time of an observation of this age.
pub(crate) fn before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}

pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
