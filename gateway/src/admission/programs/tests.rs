use super::{GENERATION_PROGRAMS, Programs};
use std::time::{Duration, Instant};

const ROUTE: &str = "chat";

/// Duration of a call without a wait.
const CALL: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns what is learned from programs of 8 turns, 250 ms apart, with 3 s to their finish.
fn learned(now: Instant) -> Programs {
    let mut programs = Programs::default();
    for program in 0..400 {
        for turn in 0..8 {
            let at = now + ms(250) * turn;
            programs.record_turn(at, program, ROUTE, Some(ms(3_000)), false);
        }
    }
    programs
}

#[test]
fn turns_and_their_interval_are_learned() {
    let programs = learned(Instant::now());
    let estimate = programs.estimate(u32::MAX, ROUTE, Some(ms(3_000)), CALL);
    assert!(!estimate.has_begun);
    assert!((7.5..8.5).contains(&estimate.turns_left), "{estimate:?}");
    assert!((1.8..2.2).contains(&estimate.work_left.as_secs_f64()));
    let long = programs.estimate(u32::MAX, ROUTE, Some(ms(6_000)), CALL);
    assert!((15.0..17.0).contains(&long.turns_left), "{long:?}");
}

#[test]
fn work_left_falls_with_each_turn() {
    let now = Instant::now();
    let mut programs = learned(now);
    programs.record_turn(now, u32::MAX, ROUTE, Some(ms(3_000)), false);
    let first = programs.estimate(u32::MAX, ROUTE, Some(ms(2_700)), CALL);
    programs.record_turn(now, u32::MAX, ROUTE, Some(ms(2_700)), true);
    let second = programs.estimate(u32::MAX, ROUTE, Some(ms(1_000)), CALL);
    assert!(first.has_begun && second.work_left < first.work_left);
    assert_eq!(second.turns_done, 2);
}

// Guards against programs on their last turn that are taken for late, since a pause after it was counted.
#[test]
fn the_last_turn_takes_a_call_and_no_pause() {
    let now = Instant::now();
    let mut programs = learned(now);
    let time_left = Some(ms(3_000));
    for _ in 0..7 {
        programs.record_turn(now, u32::MAX, ROUTE, time_left, true);
    }
    let last = programs.estimate(u32::MAX, ROUTE, time_left, CALL);
    assert_eq!((last.turns_done, last.work_left), (7, CALL));
    programs.record_turn(now, u32::MAX, ROUTE, time_left, true);
    let last = programs.estimate_recorded(u32::MAX, ROUTE, time_left, CALL);
    assert_eq!((last.turns_done, last.work_left), (7, CALL));
}

// Guards against the turn that waits being left out of what its program needs.
#[test]
fn a_turn_that_was_recorded_is_part_of_the_work_left() {
    let now = Instant::now();
    let mut programs = learned(now);
    let time_left = Some(ms(3_000));
    let before = programs.estimate(u32::MAX, ROUTE, time_left, CALL);
    programs.record_turn(now, u32::MAX, ROUTE, time_left, true);
    let after = programs.estimate_recorded(u32::MAX, ROUTE, time_left, CALL);
    assert!(
        after.work_left.abs_diff(before.work_left) <= ms(10),
        "{before:?} {after:?}"
    );
    assert_eq!(after.turns_done, 0);
}

#[test]
fn a_crowd_does_not_make_programs_look_longer() {
    let now = Instant::now();
    let mut programs = learned(now);
    for turn in 0..100 {
        programs.record_turn(now + ms(3_000) * turn, 0, ROUTE, None, true);
    }
    let interval = |programs: &Programs| programs.usual[ROUTE].interval;
    assert_eq!(interval(&programs), interval(&learned(now)));
}

#[test]
fn memory_is_bounded() {
    let mut programs = Programs::default();
    let now = Instant::now();
    for program in 0..10 * GENERATION_PROGRAMS as u32 {
        programs.record_turn(now, program, ROUTE, None, false);
    }
    assert!(programs.recent.len() + programs.older.len() <= 2 * GENERATION_PROGRAMS);
}

// Programs under way were refused as new ones by the gateway to which their clients came after a
// failure.
#[test]
fn a_program_that_began_elsewhere_is_known() {
    let now = Instant::now();
    let mut programs = learned(now);
    programs.record_begun_elsewhere(now, u32::MAX, Some(ms(6_000)));
    let estimate = programs.estimate(u32::MAX, ROUTE, Some(ms(4_000)), CALL);
    assert!(estimate.has_begun);
    assert!((14.0..16.0).contains(&estimate.turns_left), "{estimate:?}");
}
