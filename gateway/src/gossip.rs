//! Counts of calls under way and the gateways' state, told to the other gateways by datagrams.
//!
//! A lost datagram costs freshness only: each holds all of its sender's counts.

#[cfg(test)]
mod tests;

use crate::dialect::{Append, AppendOutcome, Dialect, Topic};
use crate::endpoints::InstanceTag;
use crate::node::Gateway;
use crate::owners::{Candidate, Place};
use crate::partition::PartitionSet;
use crate::record::{GatewayRecord, decode, encode};
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::UdpSocket;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause between two tellings while counts change; short against the time of a call. Telling other
/// failure domains more seldom costs more in a burst than its bytes (docs/design/heavy-load.md).
const TELL_PAUSE: Duration = Duration::from_millis(40);

/// Least pause for each gateway that is told, so that large sites don't drown small VMs: a
/// datagram takes some 10 us at each end.
const PAUSE_PER_PEER: Duration = Duration::from_millis(1);

/// Pause between two tellings while nothing changes.
const QUIET_PAUSE: Duration = Duration::from_millis(400);

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Time without a datagram after which a gateway is told nothing any more: two announcements, so
/// that gateways which were cut off from each other for long meet again.
const PEER_LIMIT: Duration = Duration::from_secs(40);

/// How long a gateway whose record was read counts as one that is about to be heard: after a loss
/// of all, processes start some hundred milliseconds apart.
const PRESUME_FOR: Duration = Duration::from_millis(1_500);

/// Time without a datagram after which a gateway is asked for nothing: two quiet pauses and some.
const WELL_LIMIT: Duration = Duration::from_millis(1_000);

/// How long a gateway that left a question unanswered is not asked again: until its silence shows.
const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// Longest time of an announcement's call.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// What one gateway tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Datagram", into = "Datagram")]
struct Telling {
    gateway: String,
    incarnation: u64,
    /// Grows from datagram to datagram of an incarnation; older ones arrive late and are dropped.
    number: u64,
    state: GatewayState,
    calls: Vec<(InstanceTag, u32)>,
}

/// A telling on the wire, without the names of its fields, which would be most of it.
type Datagram = (
    (String, u64, u64),
    (bool, PartitionSet, bool, u32),
    Vec<(InstanceTag, u32)>,
);

impl From<Telling> for Datagram {
    fn from(telling: Telling) -> Self {
        let state = telling.state;
        (
            (telling.gateway, telling.incarnation, telling.number),
            (
                state.reaches_store,
                state.loaded,
                state.is_stopping,
                state.processor_permille,
            ),
            telling.calls,
        )
    }
}

impl From<Datagram> for Telling {
    fn from((identity, state, calls): Datagram) -> Self {
        let (gateway, incarnation, number) = identity;
        let (reaches_store, loaded, is_stopping, processor_permille) = state;
        Self {
            gateway,
            incarnation,
            number,
            state: GatewayState {
                reaches_store,
                loaded,
                is_stopping,
                processor_permille,
            },
            calls,
        }
    }
}

/// What a gateway says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GatewayState {
    /// Whether it reaches the store by itself.
    pub(crate) reaches_store: bool,
    /// The partitions that it has loaded.
    pub(crate) loaded: PartitionSet,
    /// Whether it is about to stop.
    pub(crate) is_stopping: bool,
    /// What its VM may use, in thousandths of a core.
    pub(crate) processor_permille: u32,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    number: u64,
    state: GatewayState,
    heard_at: Instant,
    /// When it last left a question unanswered.
    suspected_at: Option<Instant>,
}

impl Peer {
    fn is_well(&self, now: Instant) -> bool {
        let is_heard = now.saturating_duration_since(self.heard_at) < WELL_LIMIT;
        let is_suspect = self
            .suspected_at
            .is_some_and(|at| now.saturating_duration_since(at) < SUSPECT_FOR);
        self.number > 0 && is_heard && !is_suspect
    }

    fn is_presumed(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.heard_at) < PRESUME_FOR;
        self.number == 0 && is_new && self.suspected_at.is_none()
    }
}

/// The other gateways.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    peers: RefCell<HashMap<String, Peer>>,
    own_name: String,
    /// Whether a gateway was met that has been told nothing yet.
    has_met: Cell<bool>,
}

impl Gossip {
    /// Makes one that knows nobody.
    pub(crate) fn new(own_name: &str) -> Self {
        Self {
            peers: RefCell::default(),
            own_name: own_name.to_owned(),
            has_met: Cell::new(false),
        }
    }

    /// Takes the record of a gateway.
    pub(crate) fn learn(&self, name: &str, record: &GatewayRecord) {
        let Ok(address) = record.address.parse() else {
            crate::event!("gateway_address_unreadable", "gateway" => name);
            return;
        };
        self.meet(name, address, record.incarnation, record.processor_permille);
    }

    fn meet(&self, name: &str, address: SocketAddr, incarnation: u64, processor_permille: u32) {
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
            state: GatewayState {
                processor_permille,
                ..GatewayState::default()
            },
            heard_at: Instant::now(),
            suspected_at: None,
        };
        peers.insert(name.to_owned(), peer);
        self.has_met.set(true);
    }

    /// Takes a telling; returns whether it is newer than what was heard before.
    fn take(&self, telling: &Telling, from: SocketAddr) -> bool {
        if telling.gateway == self.own_name {
            return false;
        }
        let processor_permille = telling.state.processor_permille;
        self.meet(
            &telling.gateway,
            from,
            telling.incarnation,
            processor_permille,
        );
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&telling.gateway) else {
            return false;
        };
        let is_newer = telling.number > peer.number;
        if is_newer {
            peer.number = telling.number;
            peer.state = telling.state;
            peer.heard_at = Instant::now();
        }
        is_newer
    }

    /// Gateways that said of late that they reach the store.
    fn relays(&self, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let relays = peers
            .values()
            .filter(|peer| peer.state.reaches_store && peer.is_well(now));
        relays.map(|peer| peer.address).collect()
    }

    /// The gateways that may serve partitions: those that answer or are about to, and will stay.
    pub(crate) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let peers = self.peers.borrow();
        let fit = peers.iter().filter(|(_, peer)| {
            !peer.state.is_stopping && (peer.is_well(now) || peer.is_presumed(now))
        });
        fit.map(|(name, peer)| Candidate {
            name: name.clone(),
            place: match peer.number {
                0 => Place::Awaited,
                _ => Place::There(peer.address),
            },
            loaded: peer.state.loaded,
            processor_permille: peer.state.processor_permille,
        })
        .collect()
    }

    /// Tells whether the gateway at an address answers.
    pub(crate) fn is_well(&self, address: SocketAddr, now: Instant) -> bool {
        let peers = self.peers.borrow();
        let mut at_address = peers.values().filter(|peer| peer.address == address);
        at_address.any(|peer| peer.is_well(now))
    }

    /// Notes that the gateway at an address left a question unanswered.
    pub(crate) fn suspect(&self, address: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        for peer in peers.values_mut().filter(|peer| peer.address == address) {
            peer.suspected_at = Some(Instant::now());
        }
    }

    fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < PEER_LIMIT);
        peers.values().map(|peer| peer.address).collect()
    }
}

/// What the other gateways were told last.
#[derive(Debug, Default)]
struct Told {
    state: GatewayState,
    calls: Vec<(InstanceTag, u32)>,
    at: Option<Instant>,
}

impl Told {
    /// Tells whether so many gateways are to be told something now.
    fn is_due(&self, now: Instant, telling: &Telling, peers: usize) -> bool {
        let Some(at) = self.at else {
            return true;
        };
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let pause = TELL_PAUSE.max(PAUSE_PER_PEER * peers);
        let is_same = self.state == telling.state && self.calls == telling.calls;
        let pause = if is_same {
            pause.max(QUIET_PAUSE)
        } else {
            pause
        };
        now.saturating_duration_since(at) >= pause
    }
}

impl<D: Dialect> Gateway<D> {
    /// Makes this gateway known to the others; returns whether its record stands in the store.
    pub(crate) async fn announce(&self) -> bool {
        let record = GatewayRecord {
            address: self.settings.peers.to_string(),
            incarnation: self.incarnation,
            processor_permille: self.processor_permille(),
        };
        let append = Append {
            topic: Topic::Gateways,
            producer: &self.producer(),
            sequence: self.announcements.get(),
            records: &[(self.settings.name.clone(), Some(encode(&record)))],
        };
        let call = D::append(&append);
        let answer = self.store_link().call(&call, ANNOUNCE_TIMEOUT).await;
        // One that failed is sent again, with the same number, in the next round.
        let is_done = answer.is_ok_and(|(status, body)| {
            !matches!(D::read_appended(status, &body), AppendOutcome::Refused)
        });
        if is_done {
            self.announcements.set(self.announcements.get() + 1);
        }
        is_done
    }

    /// What this gateway says of itself.
    fn state(&self) -> GatewayState {
        GatewayState {
            reaches_store: self.reaches_store(),
            loaded: self.loaded_partitions(),
            is_stopping: self.is_stopping(),
            processor_permille: self.processor_permille(),
        }
    }

    /// Tells the others this gateway's counts, for ever.
    pub(crate) async fn tell_counts(self: Rc<Self>, socket: UdpSocket) {
        let mut number = 0;
        let mut told = Told::default();
        loop {
            Timer::after(TELL_PAUSE).await;
            let now = Instant::now();
            self.store_ways.set_relays(self.gossip.relays(now));
            self.endpoints.borrow_mut().expire_peer_counts(now);
            if self.gossip.has_met.take() {
                told = Told::default();
            }
            let mut calls = self.endpoints.borrow().local_counts();
            calls.sort_unstable();
            number += 1;
            let telling = Telling {
                gateway: self.settings.name.clone(),
                incarnation: self.incarnation,
                number,
                state: self.state(),
                calls,
            };
            let addresses = self.gossip.addresses(now);
            if !told.is_due(now, &telling, addresses.len()) {
                continue;
            }
            let datagram = encode(&telling);
            for address in addresses {
                // The next datagram says the same and more.
                let _ = socket.send_to(&datagram, address).await;
            }
            told = Told {
                state: telling.state,
                calls: telling.calls,
                at: Some(now),
            };
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
            let telling: Telling = match decode(&buffer[..length]) {
                Ok(telling) => telling,
                Err(error) => {
                    crate::event!("datagram_unreadable", "error" => error);
                    continue;
                }
            };
            if self.gossip.take(&telling, from) {
                let mut endpoints = self.endpoints.borrow_mut();
                endpoints.set_peer_counts(Instant::now(), &telling.gateway, telling.calls);
            }
        }
    }
}
