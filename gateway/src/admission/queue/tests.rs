use super::{MAX_SPARE_ENTRIES, OLDEST_EVERY, UNTOLD_FOR, WaitQueue};
use crate::admission::rank::{Need, Rank};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a request of a program that needs 500 ms more and should be finished in `finish_ms`.
fn need(now: Instant, priority: u32, finish_ms: u64) -> Need {
    Need {
        priority,
        finish_at: Some(now + ms(finish_ms)),
        work_left: ms(500),
        turns_done: 0,
        tokens: 1_000,
    }
}

fn order(queue: &mut WaitQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop(now)).collect()
}

#[test]
fn urgent_first_then_the_least_slack_and_late_programs_last() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let until = now + ms(1_000);
    queue.push(now, need(now, 0, 100), until, "late and urgent");
    queue.push(now, need(now, 2, 900), until, "ample");
    queue.push(now, need(now, 2, 700), until, "scarce");
    queue.push(now, need(now, 0, 2_000), until, "urgent");
    let expected = ["urgent", "scarce", "ample", "late and urgent"];
    assert_eq!(order(&mut queue, now), expected);
}

#[test]
fn one_with_much_done_goes_before_one_that_has_just_come() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let until = now + ms(1_000);
    queue.push(now, need(now, 0, 1_000), until, "new");
    let done = Need {
        turns_done: 5,
        ..need(now, 0, 1_001)
    };
    queue.push(now, done, until, "nearly done");
    assert_eq!(order(&mut queue, now), ["nearly done", "new"]);
}

#[test]
fn a_program_that_becomes_late_while_it_waits_goes_behind() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let until = now + ms(5_000);
    queue.push(now, need(now, 0, 600), until, "becomes late");
    queue.push(now, need(now, 0, 3_000), until, "in time");
    let later = now + ms(200);
    assert_eq!(order(&mut queue, later), ["in time", "becomes late"]);
}

#[test]
fn no_request_waits_for_as_long_as_others_come() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let until = now + ms(60_000);
    queue.push(now, need(now, 2, 0), until, "late");
    for _ in 0..2 * OLDEST_EVERY {
        queue.push(now, need(now, 0, 60_000), until, "urgent");
    }
    let position = order(&mut queue, now).iter().position(|it| *it == "late");
    assert_eq!(position, Some(OLDEST_EVERY as usize - 1));
}

#[test]
fn a_wait_ends_at_its_bound_and_a_client_that_left_frees_its_place() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let gone = queue.push(now, need(now, 0, 900), now + ms(10), "gone");
    queue.push(now, need(now, 2, 900), now + ms(20), "overdue");
    assert_eq!(queue.remove(gone), Some("gone"));
    assert_eq!(queue.pop_overdue(now + ms(19)), None);
    assert_eq!(queue.pop_overdue(now + ms(20)), Some("overdue"));
    assert!(queue.is_empty());
}

// 32 gateways released 6 times the free places, as each took its share of the rest again while the
// others' counts were old.
#[test]
fn gateways_with_old_counts_share_the_free_places() {
    let now = Instant::now();
    let mut released = 0;
    for _ in 0..32 {
        let mut queue = WaitQueue::new(now);
        for _ in 0..10 {
            queue.push(now, need(now, 0, 900), now + ms(900), ());
        }
        for step in 0..6 {
            let at = now + ms(10) * step;
            let taken = 10 - queue.len();
            let free = 64.0 - taken as f64;
            let count = queue.releasable(at, free, 310.0);
            released += count;
            for _ in 0..count {
                queue.pop(at);
            }
        }
    }
    assert!((32..=96).contains(&released), "{released}");
}

#[test]
fn the_places_of_a_gateway_that_died_are_used_by_the_others() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    for _ in 0..20 {
        queue.push(now, need(now, 0, 900), now + ms(900), ());
    }
    assert_eq!(queue.releasable(now, 10.0, 20.0), 5);
    // Its counts have expired.
    assert_eq!(queue.releasable(now + UNTOLD_FOR, 10.0, 0.0), 10);
}

/// Requests in the order of arrival, of which each decision looks at all.
struct Plain {
    epoch: Instant,
    waiting: Vec<(u64, Need, Instant)>,
    releases: u64,
}

impl Plain {
    fn pop(&mut self, now: Instant) -> Option<u64> {
        self.releases += 1;
        let requests = self.waiting.iter();
        let next = if self.releases.is_multiple_of(OLDEST_EVERY) {
            requests.min_by_key(|(number, ..)| *number)?.0
        } else {
            let place = |(number, need, until): &&(u64, Need, Instant)| {
                let rank = Rank::new(need, self.epoch, *until, *number);
                (need.is_late(now), rank)
            };
            requests.min_by_key(place)?.0
        };
        self.remove(next)
    }

    fn pop_overdue(&mut self, now: Instant) -> Option<u64> {
        let overdue = self.waiting.iter().filter(|(_, _, until)| *until <= now);
        let next = overdue
            .min_by_key(|(number, _, until)| (*until, *number))?
            .0;
        self.remove(next)
    }

    fn remove(&mut self, number: u64) -> Option<u64> {
        let at = self.waiting.iter().position(|(it, ..)| *it == number)?;
        Some(self.waiting.remove(at).0)
    }
}

// Guards against an order that depends on requests which have left by another way.
#[test]
fn the_order_is_that_of_looking_at_all_requests_each_time() {
    for seed in 1..=20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let mut queue = WaitQueue::new(start);
        let mut plain = Plain {
            epoch: start,
            waiting: Vec::new(),
            releases: 0,
        };
        let mut pushed = 0;
        for step in 0..2_000 {
            let now = start + ms(step * 2);
            match rng.u32(0..100) {
                0..50 => {
                    let need = need(now, rng.u32(0..3), rng.u64(400..900));
                    let until = now + ms(rng.u64(20..400));
                    let number = queue.push(now, need, until, pushed);
                    assert_eq!(number, pushed, "seed {seed}");
                    plain.waiting.push((number, need, until));
                    pushed += 1;
                }
                50..85 => assert_eq!(queue.pop(now), plain.pop(now), "seed {seed}"),
                85..95 => assert_eq!(
                    queue.pop_overdue(now),
                    plain.pop_overdue(now),
                    "seed {seed}"
                ),
                _ => {
                    let number = rng.u64(0..=step);
                    assert_eq!(queue.remove(number), plain.remove(number), "seed {seed}");
                }
            }
            assert_eq!(queue.len(), plain.waiting.len(), "seed {seed}");
            assert_eq!(queue.is_empty(), plain.waiting.is_empty(), "seed {seed}");
        }
    }
}

// Guards against memory that grows with the clients that left before their turn.
#[test]
fn requests_that_have_left_take_no_memory() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let until = now + ms(60_000);
    queue.push(now, need(now, 2, 60_000), until, ());
    for _ in 0..100_000 {
        let number = queue.push(now, need(now, 0, 60_000), until, ());
        assert_eq!(queue.remove(number), Some(()));
    }
    assert_eq!(queue.len(), 1);
    let limit = 2 * queue.len() + MAX_SPARE_ENTRIES + 1;
    assert!(queue.in_time.len() + queue.late.len() <= limit);
    assert!(queue.bounds.len() <= limit);
    assert!(queue.requests.places.len() <= limit);
}

#[test]
fn five_thousand_waiting_are_ordered_fast() {
    let now = Instant::now();
    let mut queue = WaitQueue::new(now);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut push = |queue: &mut WaitQueue<u64>| {
        let need = need(now, rng.u32(0..3), rng.u64(0..4_000));
        queue.push(now, need, now + ms(rng.u64(1_000..9_000)), 0);
    };
    for _ in 0..5_000 {
        push(&mut queue);
    }
    // The fastest of ten rounds, as other processes interrupt some.
    let decisions = 2_000;
    let rounds = (0..10).map(|_| {
        let started_at = Instant::now();
        for _ in 0..decisions {
            push(&mut queue);
            queue.releasable(now, 1.0, 100.0);
            queue.pop(now);
        }
        started_at.elapsed() / decisions
    });
    let each = rounds.min().unwrap_or(Duration::MAX);
    assert_eq!(queue.len(), 5_000);
    assert!(each <= Duration::from_micros(20), "{each:?}");
}
