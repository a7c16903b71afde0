//! Simulated load of a large site: many gateways that choose endpoints with delayed counts of each
//! other.

use super::{CallOutcome, EndpointRecord, EndpointRequirements, Endpoints};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 127;
const ENGINES: usize = 73;
const SLOTS: u32 = 8;

/// Interval between heartbeats of a gateway with this many peers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(126);

/// Turns per second at a peak.
const TURNS_PER_S: u64 = 1_500;

/// Duration of a turn.
const TURN_DURATION: Duration = Duration::from_millis(250);

/// A turn that is being executed.
struct RunningTurn {
    gateway: usize,
    endpoint: String,
    ends_at: Instant,
}

/// Gateways with their own views of the same engines, of which some fail each turn at once.
struct Fleet {
    gateways: Vec<Endpoints>,
    failing: Vec<String>,
    running: Vec<RunningTurn>,
    /// Turns that failed.
    failed_turns: usize,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut gateways: Vec<Endpoints> = Vec::new();
        gateways.resize_with(GATEWAYS, Endpoints::default);
        for gateway in &mut gateways {
            for engine in 0..ENGINES {
                gateway.upsert(EndpointRecord {
                    id: format!("engine-{engine}").into(),
                    service: "llm".into(),
                    address: "10.0.0.1:80".parse().expect("an address"),
                    failure_domain: format!("domain-{}", engine % 6),
                    slots: SLOTS,
                    is_draining: false,
                    started_unix_ms: Some(1),
                });
            }
        }
        Self {
            gateways,
            failing: Vec::new(),
            running: Vec::new(),
            failed_turns: 0,
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
            exclude: &[],
        };
        let gateway = &mut self.gateways[at];
        let domain = format!("domain-{}", at % 6);
        let chosen = gateway.choose(now, &requirements, &domain, &mut self.rng);
        let endpoint = chosen.expect("an engine").id.to_string();
        gateway.begin_call(&endpoint);
        if self.failing.contains(&endpoint) {
            self.failed_turns += 1;
            gateway.finish_call(now, &endpoint, Duration::ZERO, CallOutcome::Failed);
            return;
        }
        self.running.push(RunningTurn {
            gateway: at,
            endpoint,
            ends_at: now + TURN_DURATION,
        });
    }

    fn end_turns(&mut self, now: Instant) {
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|turn| turn.ends_at <= now);
        self.running = running;
        let ended: Vec<RunningTurn> = ended;
        for turn in ended {
            let gateway = &mut self.gateways[turn.gateway];
            gateway.finish_call(now, &turn.endpoint, TURN_DURATION, CallOutcome::Answered);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, from: usize) {
        let counts = self.gateways[from].reported_counts(now);
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            if at != from {
                gateway.set_peer_counts(now, &format!("gateway-{from}"), counts.clone());
            }
        }
    }

    /// Simulates a period in steps of 1 ms. Each gateway sends its heartbeats at a time of its own.
    fn run(&mut self, start: Instant, duration: Duration) -> Instant {
        let interval_ms = HEARTBEAT_INTERVAL.as_millis() as usize;
        let mut turns_due = 0;
        for step in 0..duration.as_millis() as usize {
            let now = start + Duration::from_millis(step as u64);
            self.end_turns(now);
            turns_due += TURNS_PER_S;
            while turns_due >= 1_000 {
                turns_due -= 1_000;
                self.send_turn(now);
            }
            let senders = (0..GATEWAYS).filter(|at| at % interval_ms == step % interval_ms);
            for from in senders.collect::<Vec<_>>() {
                self.send_heartbeat(now, from);
            }
        }
        start + duration
    }
}

// Guards against a failed engine that looks idle, so that each of many gateways sends turns to it.
#[googletest::test]
fn engines_that_fail_at_once_do_not_attract_turns_of_every_gateway() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        let now = fleet.run(Instant::now(), Duration::from_secs(1));
        fleet.failing = (0..7).map(|engine| format!("engine-{engine}")).collect();
        fleet.run(now, Duration::from_secs(3));
        println!("seed {seed}: {} turns failed", fleet.failed_turns);
        // Fewer turns at each failing engine than a quarter of the gateways.
        expect_that!(fleet.failed_turns, le(7 * GATEWAYS / 4));
    }
}
