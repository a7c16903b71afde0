use super::{GatewayState, PAUSE_PER_PEER, QUIET_PAUSE, TELL_PAUSE, Telling, Told, encode};
use crate::record::decode;
use googletest::prelude::*;
use std::time::{Duration, Instant};

fn telling(calls: &[(u32, u32)]) -> Telling {
    Telling {
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

fn told(telling: &Telling, at: Instant) -> Told {
    Told {
        state: telling.state,
        calls: telling.calls.clone(),
        at: Some(at),
    }
}

#[googletest::test]
fn a_telling_survives_the_wire_and_is_short() {
    let calls: Vec<(u32, u32)> = (0..20).map(|tag| (tag << 20, 3)).collect();
    let telling = telling(&calls);
    let datagram = encode(&telling);
    expect_that!(decode::<Telling>(&datagram), ok(eq(&telling)));
    // Seven bytes a count and some for who tells it.
    expect_that!(datagram.len(), le(7 * 20 + 60));
}

#[googletest::test]
fn changes_are_told_soon_and_the_same_again_after_a_while() {
    let now = Instant::now();
    let before = telling(&[(1, 1)]);
    let told = told(&before, now);
    let changed = telling(&[(1, 2)]);
    let due = |after, telling| told.is_due(now + after, telling, 8);
    expect_that!(due(TELL_PAUSE, &changed), eq(true));
    expect_that!(due(TELL_PAUSE / 2, &changed), eq(false));
    expect_that!(due(TELL_PAUSE, &before), eq(false));
    expect_that!(due(QUIET_PAUSE, &before), eq(true));
}

#[googletest::test]
fn large_groups_are_told_less_often() {
    let now = Instant::now();
    let told = told(&telling(&[(1, 1)]), now);
    let changed = telling(&[(1, 2)]);
    let pause = PAUSE_PER_PEER * 300;
    let due = |after| told.is_due(now + after, &changed, 300);
    expect_that!(due(pause - Duration::from_millis(1)), eq(false));
    expect_that!(due(pause), eq(true));
}

#[googletest::test]
fn who_was_told_nothing_is_told_at_once() {
    let told = Told::default();
    expect_that!(told.is_due(Instant::now(), &telling(&[]), 300), eq(true));
}
