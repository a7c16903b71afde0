use super::{
    GatewayState, HEARTBEAT_INTERVAL, Heartbeat, IDLE_HEARTBEAT_INTERVAL, INTERVAL_PER_PEER,
    LastHeartbeat, encode,
};
use crate::record::decode;
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
fn the_interval_grows_with_the_number_of_peers() {
    let now = Instant::now();
    let last_sent = last_sent(&heartbeat(&[(1, 1)]), now);
    let changed = heartbeat(&[(1, 2)]);
    let interval = INTERVAL_PER_PEER * 300;
    let due = |after| last_sent.is_due(now + after, &changed, 300);
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
