//! Simulated load of a large site: many gateways that choose endpoints with delayed counts of each
//! other.

mod speeds;

use super::{CallOutcome, EndpointRecord, EndpointRequirements, Endpoints};
use googletest::prelude::*;
use std::ops::Range;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 127;
const ENGINES: usize = 73;
const SLOTS: u32 = 8;

/// Interval between heartbeats of a gateway to this many peers in its failure domain.
const NEAR_INTERVAL_MS: usize = 60;

/// Interval between heartbeats of a gateway to this many peers in other failure domains.
const FAR_INTERVAL_MS: usize = 318;

const DOMAINS: usize = 6;

/// Turns per second at a peak.
const PEAK_TURNS_PER_S: usize = 1_500;

/// Mean time that an engine works on a turn.
const MEAN_WORK: Duration = Duration::from_millis(200);

/// A turn at an engine.
struct Turn {
    gateway: usize,
    sent_at: Instant,
    /// Time that the engine works on it.
    work: Duration,
    /// End of the work, once that has begun.
    ends_at: Option<Instant>,
}

/// Gateways with their own views of the same engines, of which some fail each turn at once.
struct Fleet {
    gateways: Vec<Endpoints>,
    /// Turns of each engine, in order of arrival.
    engines: Vec<Vec<Turn>>,
    failing: Range<usize>,
    /// Turns that failed.
    failed_turns: usize,
    /// Times that turns waited for a slot.
    waits: Vec<Duration>,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut gateways: Vec<Endpoints> = Vec::new();
        gateways.resize_with(GATEWAYS, Endpoints::default);
        for gateway in &mut gateways {
            for engine in 0..ENGINES {
                gateway.upsert(EndpointRecord {
                    id: engine.to_string().into(),
                    service: "llm".into(),
                    address: "10.0.0.1:80".parse().expect("an address"),
                    failure_domain: format!("domain-{}", engine % DOMAINS),
                    slots: SLOTS,
                    is_draining: false,
                    started_unix_ms: Some(1),
                });
            }
        }
        let mut engines = Vec::new();
        engines.resize_with(ENGINES, Vec::new);
        Self {
            gateways,
            engines,
            failing: 0..0,
            failed_turns: 0,
            waits: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn send_turn(&mut self, now: Instant) {
        let at = self.rng.usize(..GATEWAYS);
        let requirements = EndpointRequirements {
            service: "llm",
            prompt_tokens: 1_000,
            answer_tokens: 70,
            prompt_parts: &[],
            ..EndpointRequirements::default()
        };
        let gateway = &mut self.gateways[at];
        let domain = format!("domain-{}", at % DOMAINS);
        let chosen = gateway.choose(now, &requirements, &domain, &mut self.rng);
        let id = chosen.expect("an engine").id;
        gateway.begin_call(&id);
        let engine: usize = id.parse().expect("a number");
        if self.failing.contains(&engine) {
            self.failed_turns += 1;
            gateway.finish_call(now, &id, Duration::ZERO, CallOutcome::Failed);
            return;
        }
        let work = MEAN_WORK.mul_f64(2.0 * self.rng.f64());
        self.engines[engine].push(Turn {
            gateway: at,
            sent_at: now,
            work,
            ends_at: None,
        });
    }

    /// Ends turns whose work is done and begins others in free slots.
    fn run_engines(&mut self, now: Instant) {
        for (engine, turns) in self.engines.iter_mut().enumerate() {
            turns.retain(|turn| {
                let has_ended = turn.ends_at.is_some_and(|at| at <= now);
                if has_ended {
                    let duration = now.duration_since(turn.sent_at);
                    let gateway = &mut self.gateways[turn.gateway];
                    let id = engine.to_string();
                    gateway.finish_call(now, &id, duration, CallOutcome::Answered);
                }
                !has_ended
            });
            for turn in turns.iter_mut().take(SLOTS as usize) {
                if turn.ends_at.is_none() {
                    turn.ends_at = Some(now + turn.work);
                    self.waits.push(now.duration_since(turn.sent_at));
                }
            }
        }
    }

    /// Sends the counts of a gateway to the others of its failure domain, or to those of the others.
    fn send_heartbeat(&mut self, now: Instant, from: usize, is_near: bool) {
        let counts = self.gateways[from].reported_counts(now);
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            if at != from && (at % DOMAINS == from % DOMAINS) == is_near {
                gateway.set_peer_counts(now, &format!("gateway-{from}"), counts.clone());
            }
        }
    }

    /// Simulates a period in steps of 1 ms. Each gateway sends its heartbeats at a time of its own.
    fn run(&mut self, start: Instant, duration: Duration, turns_per_s: usize) -> Instant {
        let mut turns_due = 0;
        for step in 0..duration.as_millis() as usize {
            let now = start + Duration::from_millis(step as u64);
            self.run_engines(now);
            turns_due += turns_per_s;
            while turns_due >= 1_000 {
                turns_due -= 1_000;
                self.send_turn(now);
            }
            for (interval_ms, is_near) in [(NEAR_INTERVAL_MS, true), (FAR_INTERVAL_MS, false)] {
                let due = |at: &usize| at * 7 % interval_ms == step % interval_ms;
                for from in (0..GATEWAYS).filter(due) {
                    self.send_heartbeat(now, from, is_near);
                }
            }
        }
        start + duration
    }

    /// Returns the wait that this share of the turns did not exceed.
    fn wait(&mut self, share: f64) -> Duration {
        self.waits.sort_unstable();
        let at = (self.waits.len() - 1) as f64 * share;
        self.waits[at as usize]
    }
}

// Guards against a failed engine that looks idle, so that each of many gateways sends turns to it.
#[googletest::test]
fn engines_that_fail_at_once_do_not_attract_turns_of_every_gateway() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        let now = fleet.run(Instant::now(), Duration::from_secs(1), PEAK_TURNS_PER_S);
        fleet.failing = 0..7;
        fleet.run(now, Duration::from_secs(3), PEAK_TURNS_PER_S);
        println!("seed {seed}: {} turns failed", fleet.failed_turns);
        // Fewer turns at each failing engine than a quarter of the gateways.
        expect_that!(fleet.failed_turns, le(7 * GATEWAYS / 4));
    }
}

// Guards against gateways that all choose the engine that looked idle at the last heartbeats.
#[googletest::test]
fn turns_of_many_gateways_do_not_queue_while_half_of_the_slots_are_free() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        let half = ENGINES * SLOTS as usize / 2 * 1_000 / MEAN_WORK.as_millis() as usize;
        fleet.run(Instant::now(), Duration::from_secs(3), half);
        let waits = [0.5, 0.95, 0.99].map(|share| fleet.wait(share));
        println!("seed {seed}: {half} turns/s, waits {waits:?}");
        // A turn that is on time has its first token within 200 ms.
        expect_that!(waits[1], le(Duration::from_millis(50)));
    }
}
