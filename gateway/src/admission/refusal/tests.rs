use super::{Arrival, Cause, MAX_REMEMBERED, RefusedPrograms, judge};
use crate::admission::programs::Estimate;
use crate::admission::room::Room;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a room with 100 slots in which a call waits for `wait_ms`.
fn room(wait_ms: f64) -> Room {
    Room {
        slots: 100.0,
        calls: 99.0 + wait_ms / 2.0,
        waiting: 0.0,
        call_ms: 200.0,
        age: ms(60),
    }
}

/// Returns a program of 4 turns with 600 ms of slack: 800 ms, but at most a quarter of its time.
fn arrival(steps: u32) -> Arrival {
    Arrival {
        steps,
        is_return: false,
        account_share: 1.0,
        time_left: Some(ms(2_400)),
        estimate: Estimate {
            has_begun: false,
            turns_done: 0,
            turns_left: 4.0,
            work_left: ms(1_600),
        },
    }
}

#[test]
fn nothing_is_refused_while_a_slot_is_free() {
    let mut free = room(0.0);
    free.calls = 99.0;
    let hopeless = Arrival {
        time_left: Some(Duration::ZERO),
        ..arrival(3)
    };
    assert_eq!(judge(&free, &hopeless, 0.0), None);
}

#[test]
fn a_program_that_cannot_end_in_time_is_refused() {
    assert_eq!(
        judge(&room(250.0), &arrival(0), 0.99),
        Some(Cause::Hopeless)
    );
}

#[test]
fn less_urgent_programs_are_refused_first() {
    let room = room(90.0);
    assert_eq!(judge(&room, &arrival(1), 0.99), Some(Cause::Crowded));
    assert_eq!(judge(&room, &arrival(0), 0.99), None);
}

#[test]
fn those_who_come_back_go_before_newcomers() {
    let back = Arrival {
        is_return: true,
        ..arrival(1)
    };
    let room = room(80.0);
    assert_eq!(judge(&room, &arrival(1), 0.5), Some(Cause::Crowded));
    assert_eq!(judge(&room, &back, 0.5), None);
}

#[test]
fn an_account_beyond_its_share_is_refused_first() {
    let large = Arrival {
        account_share: 6.0,
        ..arrival(0)
    };
    let room = room(40.0);
    assert_eq!(judge(&room, &large, 0.99), Some(Cause::Crowded));
    assert_eq!(judge(&room, &arrival(0), 0.5), None);
}

#[test]
fn refusals_set_in_with_the_wait_and_not_at_once() {
    let refused = |wait_ms: f64| {
        let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
        let verdicts = draws.filter(|draw| judge(&room(wait_ms), &arrival(0), *draw).is_some());
        verdicts.count()
    };
    assert_eq!(refused(55.0), 0);
    assert!((20..=80).contains(&refused(90.0)));
    assert_eq!(refused(125.0), 100);
}

#[test]
fn returns_are_spread_at_the_pace_of_admissions() {
    let now = Instant::now();
    let mut refused = RefusedPrograms::default();
    for number in 0..200 {
        refused.admit(now + ms(20) * number, u32::MAX);
    }
    let now = now + ms(4_000);
    let mut delays = Vec::new();
    for program in 0..20 {
        delays.push(refused.refuse(now, program, &room(100.0), ms(3_000), 0.5));
    }
    assert!(delays[0] >= ms(100));
    assert!(delays.windows(2).all(|pair| pair[1] - pair[0] >= ms(15)));
    assert!(refused.contains(now + ms(1_000), 7));
    assert!(!refused.contains(now + ms(5_000), 7));
}

#[test]
fn no_client_is_told_to_wait_longer_than_it_would() {
    let now = Instant::now();
    let mut refused = RefusedPrograms::default();
    for program in 0..3 * MAX_REMEMBERED as u32 {
        let delay = refused.refuse(now, program, &room(100.0), ms(3_000), 0.9);
        assert!(delay <= ms(1_000) && delay >= ms(50));
    }
    assert!(refused.refused.len() <= MAX_REMEMBERED);
}

// Programs that came back were admitted until those under way were late: 500 calls waited for 282
// slots after a burst, and a tenth of the programs ended in time.
#[test]
fn returns_do_not_use_more_of_the_slack_than_the_most_urgent_programs() {
    let back = Arrival {
        is_return: true,
        ..arrival(0)
    };
    assert_eq!(judge(&room(125.0), &back, 0.99), Some(Cause::Crowded));
}
