//! Counts of calls under way, told to the other gateways by datagrams.
//!
//! A lost datagram costs freshness only: each holds all of its sender's counts.

use crate::dialect::Dialect;
use crate::endpoints::InstanceId;
use crate::node::Gateway;
use crate::record::{GatewayRecord, TurnRecord};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::UdpSocket;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause between two tellings while counts change; short against the time of a call.
const TELL_PAUSE: Duration = Duration::from_millis(40);

/// Pause between two tellings while they do not.
const QUIET_PAUSE: Duration = Duration::from_millis(400);

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Prefix of the keys under which gateways stand in the turns' topic.
const KEY_PREFIX: &str = "gateway/";

/// Time without a datagram after which a gateway is told nothing any more.
const PEER_LIMIT: Duration = Duration::from_secs(6);

/// Time without a datagram after which a gateway is not asked to relay: two quiet pauses and some.
const RELAY_LIMIT: Duration = Duration::from_millis(1_000);

/// What one gateway tells the others.
#[derive(Debug, Serialize, Deserialize)]
struct Telling {
    gateway: String,
    incarnation: u64,
    /// Grows with each datagram of an incarnation; older ones arrive late and are dropped.
    number: u64,
    /// Whether it reaches the store by itself.
    reaches_store: bool,
    calls: Vec<(String, u32)>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    number: u64,
    reaches_store: bool,
    heard_at: Instant,
}

/// The other gateways.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    peers: RefCell<HashMap<String, Peer>>,
    own_name: String,
}

impl Gossip {
    /// Makes one that knows nobody.
    pub(crate) fn new(own_name: &str) -> Self {
        Self {
            peers: RefCell::default(),
            own_name: own_name.to_owned(),
        }
    }

    /// Takes the record of a gateway.
    pub(crate) fn learn(&self, key: &str, record: &GatewayRecord) {
        let Some(name) = key.strip_prefix(KEY_PREFIX) else {
            return;
        };
        let Ok(address) = record.address.parse() else {
            crate::event!("gateway_address_unreadable", "gateway" => name);
            return;
        };
        self.meet(name, address, record.incarnation);
    }

    fn meet(&self, name: &str, address: SocketAddr, incarnation: u64) {
        if name == self.own_name {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let known = peers.get(name);
        if known.is_some_and(|peer| peer.incarnation == incarnation) {
            return;
        }
        let peer = Peer {
            address,
            incarnation,
            number: 0,
            reaches_store: false,
            heard_at: Instant::now(),
        };
        peers.insert(name.to_owned(), peer);
    }

    /// Takes a telling; returns whether it is newer than what was heard before.
    fn take(&self, telling: &Telling, from: SocketAddr) -> bool {
        if telling.gateway == self.own_name {
            return false;
        }
        self.meet(&telling.gateway, from, telling.incarnation);
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&telling.gateway) else {
            return false;
        };
        let is_newer = telling.number > peer.number;
        if is_newer {
            peer.number = telling.number;
            peer.reaches_store = telling.reaches_store;
            peer.heard_at = Instant::now();
        }
        is_newer
    }

    /// Gateways that said of late that they reach the store.
    fn relays(&self, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let relays = peers.values().filter(|peer| {
            let age = now.saturating_duration_since(peer.heard_at);
            peer.reaches_store && age < RELAY_LIMIT
        });
        relays.map(|peer| peer.address).collect()
    }

    fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < PEER_LIMIT);
        peers.values().map(|peer| peer.address).collect()
    }
}

impl<D: Dialect> Gateway<D> {
    /// Makes this gateway known to the others.
    pub(crate) fn announce(&self) {
        let record = GatewayRecord {
            address: self.settings.peers.to_string(),
            incarnation: self.incarnation,
        };
        let key = format!("{KEY_PREFIX}{}", self.settings.name);
        let partition = self.partition_of(&key);
        let record = TurnRecord::Gateway(record).encode();
        partition.committer.add(key, Some(record));
    }

    /// Tells the others this gateway's counts, for ever.
    pub(crate) async fn tell_counts(self: Rc<Self>, socket: UdpSocket) {
        let mut number = 0;
        let mut last: Vec<(InstanceId, u32)> = Vec::new();
        let mut told_at = Instant::now();
        loop {
            Timer::after(TELL_PAUSE).await;
            let now = Instant::now();
            let mut counts = self.endpoints.borrow().own_counts();
            counts.sort();
            self.store_ways.set_relays(self.gossip.relays(now));
            let is_quiet = counts == last && now.duration_since(told_at) < QUIET_PAUSE;
            if is_quiet {
                continue;
            }
            number += 1;
            let calls = counts.iter().map(|(id, calls)| (id.to_string(), *calls));
            let telling = Telling {
                gateway: self.settings.name.clone(),
                incarnation: self.incarnation,
                number,
                reaches_store: self.store_ways.is_direct(),
                calls: calls.collect(),
            };
            let mut datagram = Vec::with_capacity(256);
            ciborium::into_writer(&telling, &mut datagram).expect("writing to memory can't fail");
            for address in self.gossip.addresses(now) {
                // The next datagram says the same and more.
                let _ = socket.send_to(&datagram, address).await;
            }
            last = counts;
            told_at = now;
        }
    }

    /// Hears the others' counts, for ever.
    pub(crate) async fn hear_counts(self: Rc<Self>, socket: UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    crate::event!("datagrams_failed", "error" => error.to_string());
                    Timer::after(QUIET_PAUSE).await;
                    continue;
                }
            };
            let telling: Telling = match ciborium::from_reader(&buffer[..length]) {
                Ok(telling) => telling,
                Err(error) => {
                    crate::event!("datagram_unreadable", "error" => error.to_string());
                    continue;
                }
            };
            if self.gossip.take(&telling, from) {
                let calls = telling.calls.into_iter();
                let calls = calls.map(|(id, calls)| (id.into(), calls)).collect();
                let now = Instant::now();
                self.endpoints
                    .borrow_mut()
                    .hear(now, &telling.gateway, calls);
            }
        }
    }
}
