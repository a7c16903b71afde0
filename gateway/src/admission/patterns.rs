//! Load patterns, played against the decisions in a small queue model and compared with first come
//! first served. Times are in steps of 10 ms.

use crate::admission::programs::Programs;
use crate::admission::queue::WaitQueue;
use crate::admission::rank::Need;
use crate::admission::refusal::{Arrival, RefusedPrograms, judge};
use crate::admission::room::Room;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

const SLOTS: usize = 60;
const STEP: Duration = Duration::from_millis(10);
const TURN_STEPS: u32 = 20;
const PAUSE_STEPS: u32 = 20;
const DURATION_STEPS: u32 = 4_000;
/// No program begins later, so that those that are owed can end.
const LAST_ARRIVAL: u32 = 3_000;
const PRIORITIES: [u32; 2] = [0, 2];
/// Worth of a program in time and of a late one, by kind.
const WORTH: [(f64, f64); 2] = [(7.0, 0.84), (6.1, 2.8)];

#[derive(Clone, Copy, Debug)]
struct Program {
    id: u32,
    kind: usize,
    turns: u32,
    begun_at: u32,
    /// Time in which it should be finished.
    time: Duration,
    turns_done: u32,
    refusals: u32,
}

fn steps(count: u32) -> Duration {
    STEP * count
}

/// Returns a program with the usual number of turns of its kind, spread by 40 in 100.
fn program(rng: &mut fastrand::Rng, id: u32, kind: usize, at: u32) -> Program {
    let usual = [4.0, 7.0][kind];
    let turns = (usual * (0.6 + 0.8 * rng.f64())).round() as u32;
    let idle = steps(turns * TURN_STEPS + (turns - 1) * PAUSE_STEPS);
    let (factor, extra_ms) = [(1.4, 250), (1.3, 500)][kind];
    Program {
        id,
        kind,
        turns,
        begun_at: at,
        time: idle.mul_f64(factor) + Duration::from_millis(extra_ms),
        turns_done: 0,
        refusals: 0,
    }
}

/// Programs that begin in a step, by kind; and the share of the slots that is there.
struct Pattern {
    arrivals: fn(u32) -> [f64; 2],
    slots: fn(u32) -> f64,
}

const USUAL: [f64; 2] = [0.1, 0.1];

fn all_slots(_: u32) -> f64 {
    1.0
}

fn is_burst(at: u32) -> bool {
    (800..1_400).contains(&at)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    FirstComeFirstServed,
    Ranked,
}

/// Plays a pattern and returns the worth of the served programs as a share of all.
fn play(pattern: &Pattern, order: Order, seed: u64) -> f64 {
    // Decisions draw from numbers of their own, so that both orders get the same programs.
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut draws = fastrand::Rng::with_seed(!seed);
    let epoch = Instant::now();
    let mut ready: HashMap<u32, Vec<Program>> = HashMap::new();
    let mut running: Vec<(u32, Program)> = Vec::new();
    let mut fifo: VecDeque<Program> = VecDeque::new();
    let mut ranked: WaitQueue<Program> = WaitQueue::new(epoch);
    let (mut programs, mut refused) = (Programs::default(), RefusedPrograms::default());
    let (mut owed, mut earned, mut next_id) = (0.0, 0.0, 0);
    for at in 0..DURATION_STEPS {
        let now = epoch + steps(at);
        for (kind, (worth, _)) in WORTH.iter().enumerate() {
            let is_over = at > LAST_ARRIVAL;
            let rate = if is_over {
                0.0
            } else {
                (pattern.arrivals)(at)[kind]
            };
            let count = rate.floor() as u32 + u32::from(rng.f64() < rate.fract());
            for _ in 0..count {
                let program = program(&mut rng, next_id, kind, at);
                next_id += 1;
                owed += worth;
                ready.entry(at).or_default().push(program);
            }
        }
        let slots = (SLOTS as f64 * (pattern.slots)(at)).floor() as usize;
        let (ended, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|it| it.0 <= at);
        running = left;
        for (_, mut program) in ended {
            program.turns_done += 1;
            if program.turns_done < program.turns {
                let next = at + PAUSE_STEPS;
                ready.entry(next).or_default().push(program);
                continue;
            }
            let took = steps(at - program.begun_at);
            let (in_time, late) = WORTH[program.kind];
            earned += match took.div_duration_f64(program.time) {
                ..=1.0 if program.refusals == 0 => in_time,
                ..=1.0 => f64::midpoint(in_time, late),
                ..=2.0 => late,
                _ => 0.0,
            };
        }
        for mut program in ready.remove(&at).unwrap_or_default() {
            if order == Order::FirstComeFirstServed {
                fifo.push_back(program);
                continue;
            }
            let room = Room {
                slots: slots as f64,
                calls: running.len() as f64,
                waiting: ranked.len() as f64,
                call_ms: steps(TURN_STEPS).as_secs_f64() * 1_000.0,
                age: Duration::ZERO,
            };
            let time_left = program.time.saturating_sub(steps(at - program.begun_at));
            let route = ["urgent", "other"][program.kind];
            let estimate = programs.estimate(program.id, route, Some(time_left), steps(TURN_STEPS));
            let arrival = Arrival {
                steps: program.kind as u32,
                is_return: refused.contains(now, program.id),
                account_share: 1.0,
                time_left: Some(time_left),
                estimate,
            };
            if program.turns_done == 0 && judge(&room, &arrival, draws.f64()).is_some() {
                let left = Duration::from_secs(3);
                let delay = refused.refuse(now, program.id, &room, left, draws.f64());
                program.refusals += 1;
                if program.refusals <= 5 {
                    let delay = delay.div_duration_f64(STEP).ceil() as u32;
                    // The time counts anew from the attempt that is served.
                    program.begun_at = at + delay;
                    ready.entry(at + delay).or_default().push(program);
                }
                continue;
            }
            if program.turns_done == 0 {
                refused.admit(now, program.id);
            }
            let is_crowded = !room.is_free();
            programs.record_turn(now, program.id, route, Some(time_left), is_crowded);
            let need = Need {
                priority: PRIORITIES[program.kind],
                finish_at: Some(now + time_left),
                work_left: estimate.work_left,
                turns_done: estimate.turns_done,
                tokens: 0,
            };
            ranked.push(now, need, now + Duration::from_secs(1), program);
        }
        while running.len() < slots {
            let next = match order {
                Order::FirstComeFirstServed => fifo.pop_front(),
                Order::Ranked => ranked.pop(now),
            };
            let Some(program) = next else {
                break;
            };
            running.push((at + TURN_STEPS, program));
        }
    }
    earned / owed
}

fn check(name: &str, pattern: &Pattern) {
    for seed in [1, 2, 3] {
        let first_come = play(pattern, Order::FirstComeFirstServed, seed);
        let ranked = play(pattern, Order::Ranked, seed);
        println!("{name} seed {seed}: first come {first_come:.3}, ranked {ranked:.3}");
        assert!(ranked >= first_come, "{name}: {first_come} {ranked}");
    }
}

#[test]
fn burst_of_one_kind() {
    let arrivals = |at| if is_burst(at) { [0.1, 0.5] } else { USUAL };
    let pattern = Pattern {
        arrivals,
        slots: all_slots,
    };
    check("burst of one kind", &pattern);
}

#[test]
fn urgent_burst_into_a_full_house() {
    let arrivals = |at| {
        if is_burst(at) {
            [0.6, 0.25]
        } else {
            [0.1, 0.25]
        }
    };
    let pattern = Pattern {
        arrivals,
        slots: all_slots,
    };
    check("urgent burst into a full house", &pattern);
}

#[test]
fn loss_of_half_of_the_room() {
    let pattern = Pattern {
        arrivals: |_| [0.15, 0.15],
        slots: |at| if is_burst(at) { 0.5 } else { 1.0 },
    };
    check("loss of half of the room", &pattern);
}

#[test]
fn all_come_back_at_once() {
    let arrivals = |at| if at == 800 { [60.0, 60.0] } else { USUAL };
    let pattern = Pattern {
        arrivals,
        slots: all_slots,
    };
    check("all come back at once", &pattern);
}

#[test]
fn nothing_is_lost_where_there_is_room() {
    let pattern = Pattern {
        arrivals: |_| USUAL,
        slots: all_slots,
    };
    check("usual load", &pattern);
}
