use super::{
    GatewayState, Gossip, HEARTBEAT_INTERVAL, Heartbeat, IDLE_HEARTBEAT_INTERVAL, LastHeartbeat,
    PeerGroup, encode,
};
use crate::choice::endpoints::InstanceTag;
use crate::fleet::carrier::DELAY_PER_PEER;
use crate::turns::partition::PartitionSet;
use crate::turns::record::{GatewayRecord, decode};
use googletest::prelude::*;
use std::time::{Duration, Instant};

fn heartbeat(calls: &[(u32, u32)]) -> Heartbeat {
    Heartbeat {
        gateway: "edge-a-1".to_owned(),
        incarnation: 7,
        number: 1,
        state: GatewayState {
            reaches_store: true,
            ..GatewayState::default()
        },
        calls: calls.to_vec(),
    }
}

fn last_sent(heartbeat: &Heartbeat, sent_at: Instant) -> LastHeartbeat {
    LastHeartbeat {
        state: heartbeat.state,
        calls: heartbeat.calls.clone(),
        sent_at: Some(sent_at),
    }
}

#[googletest::test]
fn a_heartbeat_round_trips_in_a_short_datagram() {
    let calls: Vec<(u32, u32)> = (0..20).map(|tag| (tag << 20, 3)).collect();
    let heartbeat = heartbeat(&calls);
    let datagram = encode(&heartbeat);
    expect_that!(decode::<Heartbeat>(&datagram), ok(eq(&heartbeat)));
    // 7 bytes per count, and 60 bytes for the sender and its state.
    expect_that!(datagram.len(), le(7 * 20 + 60));
}

#[googletest::test]
fn unchanged_heartbeats_are_sent_less_often() {
    let now = Instant::now();
    let unchanged = heartbeat(&[(1, 1)]);
    let last_sent = last_sent(&unchanged, now);
    let changed = heartbeat(&[(1, 2)]);
    let due = |after, heartbeat| last_sent.is_due(now + after, heartbeat, 8);
    expect_that!(due(HEARTBEAT_INTERVAL, &changed), eq(true));
    expect_that!(due(HEARTBEAT_INTERVAL / 2, &changed), eq(false));
    expect_that!(due(HEARTBEAT_INTERVAL, &unchanged), eq(false));
    expect_that!(due(IDLE_HEARTBEAT_INTERVAL, &unchanged), eq(true));
}

#[googletest::test]
fn the_interval_grows_with_the_number_of_peers_up_to_the_idle_interval() {
    let now = Instant::now();
    let last_sent = last_sent(&heartbeat(&[(1, 1)]), now);
    let changed = heartbeat(&[(1, 2)]);
    let interval = DELAY_PER_PEER * 100;
    let due = |after| last_sent.is_due(now + after, &changed, 100);
    expect_that!(
        last_sent.is_due(now + IDLE_HEARTBEAT_INTERVAL, &changed, 1_000),
        eq(true)
    );
    expect_that!(due(interval - Duration::from_millis(1)), eq(false));
    expect_that!(due(interval), eq(true));
}

#[googletest::test]
fn the_first_heartbeat_is_sent_immediately() {
    let last_sent = LastHeartbeat::default();
    expect_that!(
        last_sent.is_due(Instant::now(), &heartbeat(&[]), 300),
        eq(true)
    );
}

fn record(failure_domain: Option<&str>, port: u16) -> GatewayRecord {
    GatewayRecord {
        address: format!("10.0.0.1:{port}"),
        incarnation: 7,
        processor_permille: 500,
        failure_domain: failure_domain.map(str::to_owned),
    }
}

// Guards against heartbeats to other failure domains as frequent as those to neighbors, which made
// most of the bytes between domains.
#[googletest::test]
fn peers_are_grouped_by_failure_domain_and_unknown_ones_are_near() {
    let gossip = Gossip::new("edge-a-1", "a");
    gossip.add_from_record("edge-a-2", &record(Some("a"), 2));
    gossip.add_from_record("edge-b-1", &record(Some("b"), 3));
    gossip.add_from_record("edge-old", &record(None, 4));
    let mut near = gossip.addresses(PeerGroup::Near);
    near.sort_unstable();
    let ports: Vec<u16> = near.iter().map(|address| address.port()).collect();
    expect_that!(ports, eq(&[2, 4]));
    expect_that!(gossip.addresses(PeerGroup::Far).len(), eq(1));
}

// Guards against a peer that is first known by its heartbeat and stays in the wrong group.
#[googletest::test]
fn the_record_of_a_known_peer_adds_its_failure_domain() {
    let gossip = Gossip::new("edge-b-1", "b");
    let from = "10.0.0.1:9".parse().expect("an address");
    gossip.receive(&heartbeat(&[]), from);
    expect_that!(gossip.addresses(PeerGroup::Far), is_empty());
    gossip.add_from_record("edge-a-1", &record(Some("a"), 9));
    expect_that!(gossip.addresses(PeerGroup::Far), eq(&[from]));
}

/// Heartbeat of a gateway with the given version of the configuration.
fn heartbeat_at_version(gateway: &str, configuration_version: u64) -> Heartbeat {
    Heartbeat {
        gateway: gateway.to_owned(),
        state: GatewayState {
            configuration_version,
            ..GatewayState::default()
        },
        ..heartbeat(&[])
    }
}

// Guards against a configuration that is asked of gateways that lack it too, or fetched from another
// failure domain while a neighbor has it.
#[googletest::test]
fn configurations_are_taken_from_peers_that_have_them_neighbors_first() {
    let gossip = Gossip::new("edge-a-1", "a");
    let receive = |gateway: &str, domain: &str, port: u16, version: u64| {
        gossip.add_from_record(gateway, &record(Some(domain), port));
        let from = format!("10.0.0.1:{port}").parse().expect("an address");
        gossip.receive(&heartbeat_at_version(gateway, version), from);
    };
    receive("edge-a-2", "a", 2, 8);
    receive("edge-b-1", "b", 3, 9);
    receive("edge-b-2", "b", 4, 7);
    let ports = |version, now| {
        let holders = gossip.configuration_holders(version, now);
        holders
            .iter()
            .map(|address| address.port())
            .collect::<Vec<_>>()
    };
    let now = Instant::now();
    expect_that!(ports(9, now), elements_are![eq(&3)]);
    expect_that!(ports(8, now), elements_are![eq(&2), eq(&3)]);
    expect_that!(ports(10, now), is_empty());
    expect_that!(ports(8, now + Duration::from_secs(2)), is_empty());
}

// Guards against loads of all peers that fill the link of a small VM while larger ones reach the store.
#[googletest::test]
fn small_vms_relay_calls_only_if_no_larger_one_reaches_the_store() {
    let gossip = Gossip::new("edge-a-1", "a");
    let receive = |gateway: &str, port: u16, number: u64, permille: u32, reaches_store: bool| {
        let from = format!("10.0.0.1:{port}").parse().expect("an address");
        let heartbeat = Heartbeat {
            gateway: gateway.to_owned(),
            number,
            state: GatewayState {
                reaches_store,
                processor_permille: permille,
                ..GatewayState::default()
            },
            ..heartbeat(&[])
        };
        gossip.receive(&heartbeat, from);
    };
    receive("edge-a-2", 2, 1, 500, true);
    receive("edge-a-3", 3, 1, 250, true);
    receive("edge-a-4", 4, 1, 90, true);
    let ports = || {
        let relays = gossip.relays(Instant::now());
        let mut ports: Vec<u16> = relays.iter().map(|address| address.port()).collect();
        ports.sort_unstable();
        ports
    };
    expect_that!(ports(), eq(&[2, 3]));
    receive("edge-a-2", 2, 2, 500, false);
    receive("edge-a-3", 3, 2, 250, false);
    expect_that!(ports(), eq(&[4]));
    // A single large one is not left alone.
    receive("edge-a-2", 2, 3, 4_000, true);
    receive("edge-a-5", 5, 1, 100, true);
    expect_that!(ports(), eq(&[2, 4, 5]));
}

#[derive(serde::Serialize)]
struct RecordWithoutDomain {
    address: String,
    incarnation: u64,
    processor_permille: u32,
}

// Guards against gateways of an earlier version that cannot be found during an update.
#[googletest::test]
fn a_record_without_a_failure_domain_is_readable() {
    let record = RecordWithoutDomain {
        address: "10.0.0.1:9".to_owned(),
        incarnation: 7,
        processor_permille: 500,
    };
    let decoded: GatewayRecord = decode(&encode(&record)).expect("a readable record");
    expect_that!(decoded.failure_domain, none());
}

#[derive(serde::Serialize)]
struct EarlierHeartbeat(
    (String, u64, u64),
    (bool, PartitionSet, bool, u32),
    Vec<(InstanceTag, u32)>,
);

// Guards against gateways of an earlier version that are taken for lost during an update.
#[googletest::test]
fn a_heartbeat_without_the_version_of_the_configuration_is_readable() {
    let state = (true, PartitionSet::default(), false, 500);
    let earlier = EarlierHeartbeat(("edge-1".to_owned(), 7, 3), state, Vec::new());
    let decoded: Heartbeat = decode(&encode(&earlier)).expect("a readable heartbeat");
    expect_that!(decoded.state.configuration_version, eq(0));
    expect_that!(decoded.state.processor_permille, eq(500));
    expect_that!(decoded.state.has_read_configuration, eq(true));
    let with_version = Heartbeat {
        state: GatewayState {
            configuration_version: 9,
            ..decoded.state
        },
        ..decoded
    };
    let decoded: Heartbeat = decode(&encode(&with_version)).expect("a readable heartbeat");
    expect_that!(decoded, eq(&with_version));
}
