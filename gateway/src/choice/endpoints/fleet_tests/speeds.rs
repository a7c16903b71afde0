//! Engines of different speeds that are slow for parts of a second, before gateways with delayed
//! counts of each other, under several ways of choosing.

use crate::choice::endpoints::{CallOutcome, EndpointRecord, EndpointRequirements, Endpoints};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const ENGINES: usize = 39;
const SLOTS: usize = 6;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
const DOMAINS: usize = 3;

/// Time in which an engine keeps a slowness.
const SLOW_MS: usize = 600;

/// Tokens of a prompt that no engine has read, and of an answer.
const PROMPT_TOKENS: u32 = 700;
const ANSWER_TOKENS: u32 = 70;

/// Time of a turn alone at an engine of speed 1, by the cost model: prefill and steps.
const WORK_MS: f64 = 170.0;

/// Share of all slots that the turns would take at speed 1.
const LOAD: f64 = 0.45;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    RoundRobin,
    /// Fewest turns as far as the gateway knows.
    LeastLoaded,
    /// By cost without speeds and slowness, as before.
    Before,
    ExpectedEnd,
    /// Shortest time to the end, known exactly.
    Clairvoyant,
}

/// A turn at an engine.
struct Turn {
    gateway: usize,
    sent_at: usize,
    /// Work left in ms at speed 1; negative once done.
    left_ms: f64,
    /// Whether it waited for a slot.
    has_begun: bool,
}

struct Site {
    policy: Policy,
    gateways: Vec<Endpoints>,
    engines: Vec<Vec<Turn>>,
    slowdowns: Vec<f64>,
    sent: Vec<usize>,
    times_ms: Vec<f64>,
    start: Instant,
    rng: fastrand::Rng,
}

fn requirements() -> EndpointRequirements<'static> {
    EndpointRequirements {
        service: "llm",
        prompt_tokens: PROMPT_TOKENS,
        answer_tokens: ANSWER_TOKENS,
        ..EndpointRequirements::default()
    }
}

impl Site {
    fn new(policy: Policy, gateways: usize, seed: u64) -> Self {
        let mut all: Vec<Endpoints> = Vec::new();
        all.resize_with(gateways, Endpoints::default);
        for gateway in &mut all {
            for engine in 0..ENGINES {
                gateway.upsert(EndpointRecord {
                    id: engine.to_string().into(),
                    service: "llm".into(),
                    address: "10.0.0.1:80".parse().expect("an address"),
                    failure_domain: format!("domain-{}", engine / 3 % DOMAINS),
                    slots: SLOTS as u32,
                    is_draining: false,
                    started_unix_ms: Some(1),
                });
            }
        }
        let mut engines = Vec::new();
        engines.resize_with(ENGINES, Vec::new);
        Self {
            policy,
            gateways: all,
            engines,
            slowdowns: vec![1.0; ENGINES],
            sent: vec![0; ENGINES],
            times_ms: Vec::new(),
            start: Instant::now(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn rate(&self, engine: usize) -> f64 {
        SPEEDS[engine % 3] / self.slowdowns[engine]
    }

    /// Returns the time that an engine takes for work from now on: its slowness until that changes,
    /// then the mean one.
    fn work_time_ms(&self, engine: usize, work_ms: f64, step: usize) -> f64 {
        let left_ms = (SLOW_MS - (step + engine * 17) % SLOW_MS) as f64;
        let rate = self.rate(engine);
        if work_ms / rate <= left_ms {
            return work_ms / rate;
        }
        let mean_slowdown = 0.85 + 0.15 * 2.5;
        left_ms + (work_ms - left_ms * rate) * mean_slowdown / SPEEDS[engine % 3]
    }

    /// Returns the time to the end of a turn of mean work that is sent to an engine now.
    fn true_end_ms(&self, engine: usize, step: usize) -> f64 {
        let turns = &self.engines[engine];
        let growth = 1.0 + 0.033 * turns.len().min(SLOTS - 1) as f64;
        let mut slots = [0.0_f64; SLOTS];
        for turn in turns {
            slots.sort_unstable_by(f64::total_cmp);
            slots[0] += turn.left_ms;
        }
        let free_after = slots.into_iter().fold(f64::MAX, f64::min);
        self.work_time_ms(engine, (free_after + WORK_MS) * growth, step)
    }

    /// Returns the turns at an engine as far as a gateway knows.
    fn known_turns(&self, at: usize, engine: usize) -> f64 {
        let gateway = &self.gateways[at];
        let endpoint = &gateway.endpoints[engine.to_string().as_str()];
        f64::from(gateway.calls_in_flight(endpoint))
    }

    fn choose(&mut self, now: Instant, at: usize, step: usize) -> usize {
        let shortest = |cost: &dyn Fn(usize) -> f64, rng: &mut fastrand::Rng| {
            let ranked = (0..ENGINES).map(|engine| (cost(engine) + rng.f64() * 0.01, engine));
            let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0));
            best.expect("an engine").1
        };
        let mut rng = self.rng.fork();
        match self.policy {
            Policy::RoundRobin => self.sent.iter().sum::<usize>() % ENGINES,
            Policy::LeastLoaded => shortest(&|engine| self.known_turns(at, engine), &mut rng),
            Policy::Clairvoyant => shortest(&|engine| self.true_end_ms(engine, step), &mut rng),
            Policy::Before | Policy::ExpectedEnd => {
                let domain = format!("domain-{}", at % DOMAINS);
                let chosen = self.gateways[at].choose(now, &requirements(), &domain, &mut rng);
                chosen.expect("an engine").id.parse().expect("a number")
            }
        }
    }

    fn send_turn(&mut self, now: Instant, step: usize) {
        let at = self.rng.usize(..self.gateways.len());
        let engine = self.choose(now, at, step);
        self.sent[engine] += 1;
        self.gateways[at].begin_call(&engine.to_string());
        let left_ms = WORK_MS * (0.5 + self.rng.f64());
        let has_begun = self.engines[engine].len() < SLOTS;
        self.engines[engine].push(Turn {
            gateway: at,
            sent_at: step,
            left_ms,
            has_begun,
        });
    }

    fn run_engines(&mut self, now: Instant, step: usize) {
        for engine in 0..ENGINES {
            let rate = self.rate(engine);
            let turns = &mut self.engines[engine];
            let running = turns.len().min(SLOTS) as f64;
            for turn in turns.iter_mut().take(SLOTS) {
                turn.left_ms -= rate / (1.0 + 0.033 * (running - 1.0));
            }
            let id = engine.to_string();
            let slowdown = self.slowdowns[engine];
            let is_learning = self.policy == Policy::ExpectedEnd;
            for turn in turns.iter().filter(|turn| turn.left_ms <= 0.0) {
                let ms = (step - turn.sent_at) as f64;
                self.times_ms.push(ms);
                let duration = Duration::from_secs_f64(ms / 1_000.0);
                let gateway = &mut self.gateways[turn.gateway];
                let work = gateway.expected_work(&id, &requirements());
                gateway.finish_call(now, &id, duration, CallOutcome::Answered);
                if is_learning {
                    gateway.observe_slowdown(now, &id, slowdown);
                    if let Some(work) = work.filter(|_| turn.has_begun) {
                        let tokens = u64::from(ANSWER_TOKENS);
                        gateway.measure_call(now, &id, &work, duration, tokens);
                    }
                }
            }
            turns.retain(|turn| turn.left_ms > 0.0);
        }
    }

    fn exchange(&mut self, now: Instant, from: usize, with_measured: bool) {
        let counts = self.gateways[from].reported_counts(now);
        let speeds = self.gateways[from].take_speed_reports(now, with_measured);
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            if at != from {
                gateway.set_peer_counts(now, &format!("gateway-{from}"), counts.clone());
                gateway.merge_speeds(now, from as u64, &speeds);
            }
        }
        self.gateways[from].refresh_speeds();
    }

    /// Simulates a period in steps of 1 ms and forgets the times of its first half.
    fn run(&mut self, steps: usize) {
        let rate_sum: f64 = (0..ENGINES).map(|engine| SPEEDS[engine % 3]).sum();
        let per_ms = LOAD * rate_sum * SLOTS as f64 / WORK_MS;
        let interval = (self.gateways.len() * 3).clamp(40, 400);
        let mut due = 0.0;
        for step in 0..steps {
            let now = self.start + Duration::from_millis(step as u64);
            if step == steps / 2 {
                self.times_ms.clear();
                self.sent.fill(0);
            }
            for engine in 0..ENGINES {
                if (step + engine * 17).is_multiple_of(SLOW_MS) {
                    let is_slow = self.rng.f64() < 0.15;
                    self.slowdowns[engine] = if is_slow { 2.5 } else { 1.0 };
                }
            }
            self.run_engines(now, step);
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                self.send_turn(now, step);
            }
            for from in 0..self.gateways.len() {
                let phase = step + from * 7;
                if phase.is_multiple_of(interval) {
                    self.exchange(now, from, (phase / interval).is_multiple_of(10));
                }
            }
        }
        self.times_ms.sort_unstable_by(f64::total_cmp);
    }

    fn mean_ms(&self) -> f64 {
        self.times_ms.iter().sum::<f64>() / self.times_ms.len() as f64
    }

    fn p95_ms(&self) -> f64 {
        self.times_ms[self.times_ms.len() * 95 / 100]
    }
}

fn play(policy: Policy, gateways: usize) -> Site {
    let mut site = Site::new(policy, gateways, 1);
    site.run(8_000);
    println!(
        "{gateways} gateways, {policy:?}: mean {:.0} ms, p95 {:.0} ms",
        site.mean_ms(),
        site.p95_ms()
    );
    site
}

/// Checks the expected end against other ways of choosing and one that knows all.
fn compare(gateways: usize) {
    let best = play(Policy::Clairvoyant, gateways);
    let chosen = play(Policy::ExpectedEnd, gateways);
    expect_that!(chosen.mean_ms(), le(best.mean_ms() * 1.25), "{gateways}");
    expect_that!(chosen.p95_ms(), le(best.p95_ms() * 1.25), "{gateways}");
    for policy in [Policy::RoundRobin, Policy::LeastLoaded, Policy::Before] {
        let other = play(policy, gateways);
        expect_that!(
            chosen.mean_ms(),
            lt(other.mean_ms()),
            "{gateways}, {policy:?}"
        );
    }
}

// Guards against turns that go to slow engines while fast ones are free.
#[googletest::test]
fn turns_of_few_gateways_end_about_as_soon_as_with_a_choice_that_knows_all() {
    compare(7);
    compare(34);
}

// Guards against the same where counts are a third of a second old.
#[googletest::test]
fn turns_of_127_gateways_end_about_as_soon_as_with_a_choice_that_knows_all() {
    compare(127);
}

// Guards against gateways that all send their turns to the same fast engine.
#[googletest::test]
fn turns_of_many_gateways_spread_over_the_fast_engines() {
    for gateways in [7, 34, 127] {
        let site = play(Policy::ExpectedEnd, gateways);
        let fast = site.sent.iter().copied().skip(2).step_by(3);
        let sent: Vec<usize> = fast.collect();
        let mean = sent.iter().sum::<usize>() as f64 / sent.len() as f64;
        let most = sent.iter().max().copied().unwrap_or_default() as f64;
        println!("{gateways} gateways, fast engines: mean {mean:.0}, most {most}");
        expect_that!(most, le(mean * 1.5), "{gateways} gateways");
    }
}
