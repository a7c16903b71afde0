//! Heartbeats between gateways, which carry their state, their numbers of calls in flight and the
//! endpoints that fail for them.
//!
//! Each heartbeat contains all counts of its sender, so a lost datagram only delays an update.

mod heartbeat;
#[cfg(test)]
mod tests;

use crate::choice::endpoints::InstanceTag;
use crate::dialect::{Append, AppendOutcome, Dialect, Topic};
use crate::fleet::carrier::{MAX_REPORT_DELAY, MIN_REPORT_DELAY, report_delay};
use crate::fleet::owners::{Candidate, Location, MIN_PROCESSOR_SHARE};
use crate::node::Gateway;
use crate::routes::ConfigurationVersion;
use crate::turns::record::{GatewayRecord, encode};
use galenapick::stable_hash;
#[cfg(test)]
pub(crate) use heartbeat::is_readable_heartbeat;
pub(crate) use heartbeat::{GatewayState, Heartbeat};
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// Interval between heartbeats while counts change.
const HEARTBEAT_INTERVAL: Duration = MIN_REPORT_DELAY;

/// Interval between heartbeats while nothing changes, and the longest one while something does.
const IDLE_HEARTBEAT_INTERVAL: Duration = MAX_REPORT_DELAY;

/// Time without a heartbeat after which a peer is forgotten. It covers two announcements, so that
/// gateways that were disconnected for long find each other again.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(40);

/// Time after its record was read for which a peer without heartbeats is presumed healthy.
/// After a loss of all gateways, processes start a few hundred milliseconds apart.
const PRESUME_HEALTHY_FOR: Duration = Duration::from_millis(1_500);

/// Time without a heartbeat after which a peer gets no more requests, slightly more than two idle
/// intervals.
const HEALTHY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a peer that left a request unanswered gets no more requests. Missing heartbeats
/// show afterwards whether it is lost.
const SUSPECT_FOR: Duration = Duration::from_millis(1_500);

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Peers that get heartbeats at the same times.
///
/// A gateway sends most calls to endpoints of its own failure domain, so that the counts of its
/// neighbors matter more than those of the others, and heartbeats to other domains are charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum PeerGroup {
    /// Peers in the own failure domain, or in an unknown one.
    Near,
    /// Peers in other failure domains.
    Far,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Its failure domain, once its record was read.
    failure_domain: Option<String>,
    incarnation: u64,
    /// Sequence number of the newest heartbeat; 0 before the first one.
    number: u64,
    state: GatewayState,
    last_heard_at: Instant,
    /// Time at which it last left a request unanswered.
    suspected_at: Option<Instant>,
}

impl Peer {
    fn is_healthy(&self, now: Instant) -> bool {
        let is_recent = now.saturating_duration_since(self.last_heard_at) < HEALTHY_TIMEOUT;
        let is_suspect = self
            .suspected_at
            .is_some_and(|at| now.saturating_duration_since(at) < SUSPECT_FOR);
        self.number > 0 && is_recent && !is_suspect
    }

    fn is_presumed_healthy(&self, now: Instant) -> bool {
        let is_new = now.saturating_duration_since(self.last_heard_at) < PRESUME_HEALTHY_FOR;
        self.number == 0 && is_new && self.suspected_at.is_none()
    }
}

/// The known peers.
#[derive(Debug, Default)]
pub(crate) struct Gossip {
    peers: RefCell<HashMap<String, Peer>>,
    own_name: String,
    own_failure_domain: String,
    /// Whether a new peer has not been sent a heartbeat yet.
    has_new_peer: Cell<bool>,
}

impl Gossip {
    /// Creates an instance without peers.
    pub(crate) fn new(own_name: &str, own_failure_domain: &str) -> Self {
        Self {
            peers: RefCell::default(),
            own_name: own_name.to_owned(),
            own_failure_domain: own_failure_domain.to_owned(),
            has_new_peer: Cell::new(false),
        }
    }

    /// Adds the peer that a record of the gateways topic describes.
    pub(crate) fn add_from_record(&self, name: &str, record: &GatewayRecord) {
        let Ok(address) = record.address.parse() else {
            crate::event!("gateway_address_unreadable", "gateway" => name);
            return;
        };
        self.add_peer(name, address, record.incarnation, record.processor_permille);
        if let Some(peer) = self.peers.borrow_mut().get_mut(name)
            && peer.incarnation == record.incarnation
        {
            peer.failure_domain.clone_from(&record.failure_domain);
        }
    }

    fn add_peer(&self, name: &str, address: SocketAddr, incarnation: u64, processor_permille: u32) {
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
            failure_domain: None,
            incarnation,
            number: 0,
            state: GatewayState {
                processor_permille,
                ..GatewayState::default()
            },
            last_heard_at: Instant::now(),
            suspected_at: None,
        };
        peers.insert(name.to_owned(), peer);
        self.has_new_peer.set(true);
    }

    /// Processes a heartbeat. Returns whether it is newer than the last one from its sender.
    fn receive(&self, heartbeat: &Heartbeat, from: SocketAddr) -> bool {
        if heartbeat.gateway == self.own_name {
            return false;
        }
        let processor_permille = heartbeat.state.processor_permille;
        self.add_peer(
            &heartbeat.gateway,
            from,
            heartbeat.incarnation,
            processor_permille,
        );
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&heartbeat.gateway) else {
            return false;
        };
        let is_newer = heartbeat.number > peer.number;
        if is_newer {
            peer.number = heartbeat.number;
            peer.state = heartbeat.state;
            peer.last_heard_at = Instant::now();
        }
        is_newer
    }

    /// Returns the healthy peers that reach the store, without the VMs that are small beside others of
    /// them: those would be fully used by the calls of all peers. Two at least are left, since one may
    /// be lost at any time.
    fn relays(&self, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let reaching: Vec<&Peer> = peers
            .values()
            .filter(|peer| peer.state.reaches_store && peer.is_healthy(now))
            .collect();
        let permille = |peer: &&Peer| peer.state.processor_permille;
        let mut sizes: Vec<u32> = reaching.iter().map(permille).collect();
        sizes.sort_unstable_by_key(|size| Reverse(*size));
        let second_largest = sizes.get(1).copied().unwrap_or_default();
        let min_permille = (f64::from(second_largest) * MIN_PROCESSOR_SHARE) as u32;
        let relays = reaching
            .iter()
            .filter(|peer| permille(peer) >= min_permille);
        relays.map(|peer| peer.address).collect()
    }

    /// Returns the healthy peers whose configuration has at least the given version, those in the own
    /// failure domain first.
    pub(crate) fn configuration_holders(
        &self,
        version: ConfigurationVersion,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let mut holders: Vec<(bool, u64, SocketAddr)> = peers
            .values()
            .filter(|peer| peer.state.configuration_version >= version && peer.is_healthy(now))
            .map(|peer| {
                let is_far = peer.failure_domain.as_ref() != Some(&self.own_failure_domain);
                // An order of each gateway's own, so that not all ask the same peer.
                let rank = stable_hash((&self.own_name, peer.address));
                (is_far, rank, peer.address)
            })
            .collect();
        holders.sort_unstable();
        holders.into_iter().map(|(.., address)| address).collect()
    }

    /// Returns the peers that may own partitions: those that are healthy or presumed healthy and
    /// are not shutting down.
    pub(crate) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let peers = self.peers.borrow();
        let eligible = peers.iter().filter(|(_, peer)| {
            !peer.state.is_stopping && (peer.is_healthy(now) || peer.is_presumed_healthy(now))
        });
        eligible
            .map(|(name, peer)| Candidate {
                name: name.clone(),
                location: match peer.number {
                    0 => Location::Pending,
                    _ => Location::Remote(peer.address),
                },
                loaded: peer.state.loaded,
                processor_permille: peer.state.processor_permille,
            })
            .collect()
    }

    /// Returns a hash of the peers that may own partitions, with all that decides on it.
    pub(crate) fn view_hash(&self, now: Instant) -> u64 {
        let peers = self.peers.borrow();
        let eligible = peers.iter().filter(|(_, peer)| {
            !peer.state.is_stopping && (peer.is_healthy(now) || peer.is_presumed_healthy(now))
        });
        let hashes = eligible.map(|(name, peer)| {
            let permille = peer.state.processor_permille;
            stable_hash((name, peer.incarnation, peer.number == 0, permille))
        });
        hashes.fold(0, |view, hash| view ^ hash)
    }

    /// Returns the number of known peers, also those that are not heard of.
    pub(crate) fn known_count(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns whether the peer at an address is healthy.
    pub(crate) fn is_healthy(&self, address: SocketAddr, now: Instant) -> bool {
        let peers = self.peers.borrow();
        let mut at_address = peers.values().filter(|peer| peer.address == address);
        at_address.any(|peer| peer.is_healthy(now))
    }

    /// Returns the share of the gateways that are reachable, this one included. Those that have
    /// announced their end are not missed.
    ///
    /// Where gateways are cut off from each other, the shares on all sides together are 1.
    pub(crate) fn reachable_share(&self, now: Instant) -> f64 {
        let peers = self.peers.borrow();
        let is_reachable = |peer: &&Peer| peer.is_healthy(now) || peer.is_presumed_healthy(now);
        let reachable = peers.values().filter(is_reachable).count();
        let missing = peers
            .values()
            .filter(|peer| !is_reachable(peer) && !peer.state.is_stopping);
        (reachable + 1) as f64 / (reachable + 1 + missing.count()) as f64
    }

    /// Records that the peer at an address left a request unanswered.
    pub(crate) fn suspect(&self, address: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        for peer in peers.values_mut().filter(|peer| peer.address == address) {
            peer.suspected_at = Some(Instant::now());
        }
    }

    /// Forgets the peers that have been silent for long.
    fn forget_silent_peers(&self, now: Instant) {
        self.peers.borrow_mut().retain(|_, peer| {
            now.saturating_duration_since(peer.last_heard_at) < FORGET_PEER_AFTER
        });
    }

    /// Returns the addresses of all peers.
    pub(crate) fn all_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        peers.values().map(|peer| peer.address).collect()
    }

    /// Returns the addresses of the peers of a group.
    fn addresses(&self, group: PeerGroup) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let members = peers.values().filter(|peer| {
            let domain = peer.failure_domain.as_ref();
            let is_far = domain.is_some_and(|domain| *domain != self.own_failure_domain);
            is_far == (group == PeerGroup::Far)
        });
        members.map(|peer| peer.address).collect()
    }
}

/// Content of the last heartbeat that was sent to a group of peers.
#[derive(Debug, Default)]
struct LastHeartbeat {
    state: GatewayState,
    calls: Vec<(InstanceTag, u32)>,
    sent_at: Option<Instant>,
}

impl LastHeartbeat {
    /// Returns whether a heartbeat to a group of `peers` peers is due.
    fn is_due(&self, now: Instant, heartbeat: &Heartbeat, peers: usize) -> bool {
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        let interval = report_delay(peers);
        let is_same = self.state == heartbeat.state && self.calls == heartbeat.calls;
        let interval = if is_same {
            interval.max(IDLE_HEARTBEAT_INTERVAL)
        } else {
            interval
        };
        now.saturating_duration_since(sent_at) >= interval
    }
}

impl<D: Dialect> Gateway<D> {
    /// Announces this gateway in the gateways topic. Returns whether the store has acknowledged the
    /// record.
    pub(crate) async fn announce(&self) -> bool {
        let record = GatewayRecord {
            address: self.settings.peer_address.to_string(),
            incarnation: self.incarnation,
            processor_permille: self.processor_permille(),
            failure_domain: Some(self.settings.failure_domain.clone()),
        };
        let append = Append {
            topic: Topic::Gateways,
            producer: &self.producer(),
            sequence: self.announcements.get(),
            records: &[(self.settings.name.clone(), Some(encode(&record)))],
        };
        let call = D::build_append(&append);
        let answer = self.store_link().call(&call, ANNOUNCE_TIMEOUT).await;
        // A failed announcement is repeated in the next round with the same sequence number.
        let is_written = answer.is_ok_and(|(status, body)| {
            !matches!(D::parse_appended(status, &body), AppendOutcome::Failed)
        });
        if is_written {
            self.announcements.set(self.announcements.get() + 1);
        }
        is_written
    }

    /// Returns the state that this gateway reports about itself.
    fn own_state(&self) -> GatewayState {
        GatewayState {
            reaches_store: self.reaches_store(),
            loaded: self.loaded_partitions(),
            is_stopping: self.is_stopping(),
            processor_permille: self.processor_permille(),
            configuration_version: self.configuration_version(),
            has_read_configuration: self.version_watch.borrow().has_read_store(Instant::now()),
        }
    }

    /// Sends heartbeats to all peers until the process ends.
    pub(crate) async fn send_heartbeats(self: Rc<Self>) {
        let mut number = 0;
        let groups = PeerGroup::iter().map(|group| (group, LastHeartbeat::default()));
        let mut last_sent: Vec<(PeerGroup, LastHeartbeat)> = groups.collect();
        loop {
            Timer::after(HEARTBEAT_INTERVAL).await;
            let now = Instant::now();
            self.store_paths.set_relays(self.gossip.relays(now));
            {
                let mut endpoints = self.endpoints.borrow_mut();
                endpoints.expire_peer_counts(now);
                endpoints.release_held_calls(now);
            }
            self.report_failing_endpoints(now).await;
            self.gossip.forget_silent_peers(now);
            self.update_carrier_peers();
            if self.gossip.has_new_peer.take() {
                for (_, last_sent) in &mut last_sent {
                    *last_sent = LastHeartbeat::default();
                }
                self.report_all_crashes();
            }
            let mut calls = self.endpoints.borrow().reported_counts(now);
            calls.extend(self.waiting_counts());
            calls.sort_unstable();
            number += 1;
            let heartbeat = Heartbeat {
                gateway: self.settings.name.clone(),
                incarnation: self.incarnation,
                number,
                state: self.own_state(),
                calls,
            };
            for (group, last_sent) in &mut last_sent {
                let addresses = self.gossip.addresses(*group);
                if !last_sent.is_due(now, &heartbeat, addresses.len()) {
                    continue;
                }
                // A lost datagram needs no retry, because the next one contains all counts again.
                self.carrier.send_each(&addresses, &heartbeat).await;
                *last_sent = LastHeartbeat {
                    state: heartbeat.state,
                    calls: heartbeat.calls.clone(),
                    sent_at: Some(now),
                };
            }
        }
    }

    /// Takes in a heartbeat of a peer.
    pub(super) fn receive_heartbeat(&self, heartbeat: Heartbeat, from: SocketAddr) {
        let is_newer = self.gossip.receive(&heartbeat, from);
        if self.gossip.has_new_peer.get() {
            self.update_carrier_peers();
        }
        if is_newer {
            let state = heartbeat.state;
            let is_from_store = state.has_read_configuration;
            self.hear_version(from, state.configuration_version, is_from_store);
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.set_peer_counts(Instant::now(), &heartbeat.gateway, heartbeat.calls);
        }
    }

    /// Tells the carrier the addresses of the peers.
    pub(crate) fn update_carrier_peers(&self) {
        self.carrier.set_peers(self.gossip.all_addresses());
    }
}
