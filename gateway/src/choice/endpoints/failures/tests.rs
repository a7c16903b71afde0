//! Many gateways before endpoints of which some fail calls with answers of their own. The gateways
//! tell each other of calls in flight and of failures, without a network.

use crate::choice::endpoints::{
    CallOutcome, EndpointRecord, EndpointRequirements, Endpoints, instance_tag,
};
use crate::choice::failing::EndpointReport;
use googletest::prelude::*;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 34;
const ENDPOINTS: usize = 40;
const CALLS_PER_S: usize = 400;

/// Interval between reports of a gateway to this many peers.
const INTERVAL_MS: usize = 102;

/// Time that an endpoint works on a call.
const WORK: Duration = Duration::from_millis(150);

/// How reports of failures reach the peers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Normal,
    /// After this many steps, and once more after as many again.
    LateAndTwice(usize),
    Never,
}

/// A report under way.
struct Datagram {
    arrives_at_step: usize,
    from: usize,
    number: u64,
    reports: Vec<EndpointReport>,
}

struct Fleet {
    gateways: Vec<Endpoints>,
    /// Share of the calls that each endpoint fails.
    failing_share: Vec<f64>,
    /// Calls in flight: end, gateway, endpoint.
    in_flight: Vec<(Instant, usize, usize)>,
    calls: Vec<usize>,
    failures: usize,
    /// Endpoints that some gateway came to consider as failing.
    judged_failing: Vec<usize>,
    delivery: Delivery,
    datagrams: Vec<Datagram>,
    start: Instant,
    step: usize,
    rng: fastrand::Rng,
}

fn record(endpoint: usize) -> EndpointRecord {
    EndpointRecord {
        id: endpoint.to_string().into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        failure_domain: "near".to_owned(),
        slots: 6,
        is_draining: false,
        started_unix_ms: Some(1),
    }
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut gateways: Vec<Endpoints> = Vec::new();
        gateways.resize_with(GATEWAYS, Endpoints::default);
        for (number, gateway) in gateways.iter_mut().enumerate() {
            gateway.set_judges_failures(true);
            gateway.trial_rng = fastrand::Rng::with_seed(seed * 1_000 + number as u64);
            for endpoint in 0..ENDPOINTS {
                gateway.upsert(record(endpoint));
            }
        }
        Self {
            gateways,
            failing_share: vec![0.0; ENDPOINTS],
            in_flight: Vec::new(),
            calls: vec![0; ENDPOINTS],
            failures: 0,
            judged_failing: Vec::new(),
            delivery: Delivery::Normal,
            datagrams: Vec::new(),
            start: Instant::now(),
            step: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.step as u64)
    }

    fn send_call(&mut self) {
        let now = self.now();
        let at = self.rng.usize(..GATEWAYS);
        let requirements = EndpointRequirements {
            service: "llm",
            ..EndpointRequirements::default()
        };
        let gateway = &mut self.gateways[at];
        let chosen = gateway.choose(now, &requirements, "near", &mut self.rng);
        let id = chosen.expect("an endpoint").id;
        let endpoint: usize = id.parse().expect("a number");
        gateway.begin_call(&id);
        self.calls[endpoint] += 1;
        if self.rng.f64() < self.failing_share[endpoint] {
            self.failures += 1;
            let outcome = CallOutcome::AnsweredWithFailure;
            gateway.finish_call(now, &id, Duration::from_millis(1), outcome);
        } else {
            let work = WORK.mul_f64(0.5 + self.rng.f64());
            self.in_flight.push((now + work, at, endpoint));
        }
    }

    fn end_calls(&mut self) {
        let now = self.now();
        for (ends_at, at, endpoint) in &self.in_flight {
            if *ends_at <= now {
                let id = endpoint.to_string();
                self.gateways[*at].finish_call(now, &id, WORK, CallOutcome::Answered);
            }
        }
        self.in_flight.retain(|(ends_at, _, _)| *ends_at > now);
    }

    /// Has a gateway judge the endpoints and report to the others.
    fn report(&mut self, from: usize) {
        let now = self.now();
        let gateway = &mut self.gateways[from];
        gateway.release_held_calls(now);
        for (id, verdict) in gateway.judge_failures(now) {
            if verdict.is_failing {
                self.judged_failing.push(id.parse().expect("a number"));
            }
        }
        gateway.forget_old_failures(now);
        let counts = gateway.reported_counts(now);
        let reports = gateway.failure_report(now);
        for (at, gateway) in self.gateways.iter_mut().enumerate() {
            if at != from {
                gateway.set_peer_counts(now, &format!("gateway-{from}"), counts.clone());
            }
        }
        let delays = match self.delivery {
            Delivery::Normal => vec![1],
            Delivery::LateAndTwice(steps) => vec![steps, 2 * steps],
            Delivery::Never => vec![],
        };
        for delay in delays {
            self.datagrams.push(Datagram {
                arrives_at_step: self.step + delay,
                from,
                number: self.step as u64 + 1,
                reports: reports.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let step = self.step;
        let arrived = self
            .datagrams
            .extract_if(.., |datagram| datagram.arrives_at_step <= step);
        for datagram in arrived {
            for (at, gateway) in self.gateways.iter_mut().enumerate() {
                if at != datagram.from {
                    let incarnation = datagram.from as u64;
                    gateway.merge_failures(now, incarnation, datagram.number, &datagram.reports);
                }
            }
        }
    }

    /// Runs for some time in steps of 1 ms.
    fn run(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() {
            self.step += 1;
            self.end_calls();
            self.deliver();
            for from in 0..GATEWAYS {
                if (self.step + from * 7).is_multiple_of(INTERVAL_MS) {
                    self.report(from);
                }
            }
            if self.step * CALLS_PER_S % 1_000 < CALLS_PER_S {
                self.send_call();
            }
        }
    }

    /// Runs until this many calls have been sent, and returns how many of them the endpoint got.
    fn calls_at(&mut self, endpoint: usize, calls: usize) -> usize {
        let before = self.calls[endpoint];
        self.run(Duration::from_millis((calls * 1_000 / CALLS_PER_S) as u64));
        self.calls[endpoint] - before
    }
}

// Guards against endpoints that fail at once and draw calls, as they look idle and quick.
#[googletest::test]
fn an_endpoint_that_fails_at_once_gets_less_than_its_even_share_after_50_calls() {
    for delivery in [
        Delivery::Normal,
        Delivery::LateAndTwice(300),
        Delivery::Never,
    ] {
        for seed in 1..=3 {
            let mut fleet = Fleet::new(seed);
            fleet.delivery = delivery;
            fleet.run(Duration::from_secs(1));
            fleet.failing_share[0] = 1.0;
            fleet.calls_at(0, 50);
            let calls = fleet.calls_at(0, 2_000);
            println!("{delivery:?}, seed {seed}: {calls} of 2,000 calls");
            expect_that!(calls, lt(2_000 / ENDPOINTS), "{delivery:?}, seed {seed}");
        }
    }
}

// Guards against an endpoint that fails part of its calls and is used again after each success.
#[googletest::test]
fn six_endpoints_that_fail_part_of_their_calls_get_few_of_them() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.run(Duration::from_secs(1));
        fleet.failing_share[..6].fill(0.38);
        fleet.run(Duration::from_secs(3));
        let before = fleet.failures;
        fleet.run(Duration::from_secs(5));
        let failures = fleet.failures - before;
        println!("seed {seed}: {failures} failures in 5 s");
        // A third of what an even share of the calls would be.
        let even = 5.0 * CALLS_PER_S as f64 * 6.0 / ENDPOINTS as f64 * 0.38;
        expect_that!(failures as f64, le(even / 3.0), "seed {seed}");
    }
}

// Guards against taking endpoints out of use because the tool that they run fails some calls.
#[googletest::test]
fn failures_that_all_endpoints_share_take_none_out_of_use() {
    for share in [0.01, 0.05, 0.5, 1.0] {
        for seed in 1..=2 {
            let mut fleet = Fleet::new(seed);
            fleet.failing_share.fill(share);
            fleet.run(Duration::from_secs(5));
            expect_that!(
                fleet.judged_failing,
                is_empty(),
                "share {share}, seed {seed}"
            );
        }
    }
}

// Guards against the last endpoints of a service being taken out of use.
#[googletest::test]
fn calls_go_on_to_endpoints_that_all_begin_to_fail() {
    let mut fleet = Fleet::new(1);
    fleet.run(Duration::from_secs(1));
    fleet.failing_share.fill(1.0);
    fleet.run(Duration::from_secs(5));
    let usable = (0..ENDPOINTS)
        .filter(|endpoint| !fleet.gateways[0].is_failing(&endpoint.to_string()))
        .count();
    expect_that!(usable, ge(ENDPOINTS / 2));
}

// Guards against a return by a timer alone, and against none at all.
#[googletest::test]
fn an_endpoint_comes_back_once_its_trials_succeed_and_not_before() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed);
        fleet.run(Duration::from_secs(1));
        fleet.failing_share[0] = 1.0;
        fleet.run(Duration::from_secs(2));
        let calls = fleet.calls_at(0, 20 * CALLS_PER_S);
        println!("seed {seed}: {calls} trials in 20 s");
        // One trial in half of the longest pause.
        expect_that!(calls, all![ge(1), le(25)], "seed {seed}");
        fleet.failing_share[0] = 0.0;
        // The longest pause, then successes.
        fleet.run(Duration::from_secs(8));
        let calls = fleet.calls_at(0, 2_000);
        println!("seed {seed}: {calls} calls after its return");
        expect_that!(calls, ge(2_000 / ENDPOINTS / 2), "seed {seed}");
    }
}

// Guards against quick failures that make an endpoint look idle or quick.
#[googletest::test]
fn failed_calls_count_as_in_flight_for_an_average_duration_and_not_as_quick() {
    let mut endpoints = Endpoints::default();
    endpoints.set_judges_failures(true);
    endpoints.upsert(record(0));
    let now = Instant::now();
    let second = Duration::from_secs(1);
    endpoints.begin_call("0");
    endpoints.finish_call(now, "0", second, CallOutcome::Answered);
    let wait = endpoints.queue_wait("0");
    for _ in 0..3 {
        endpoints.begin_call("0");
        endpoints.finish_call(now, "0", Duration::ZERO, CallOutcome::AnsweredWithFailure);
    }
    expect_that!(endpoints.queue_wait("0"), eq(wait));
    expect_that!(
        endpoints.reported_counts(now),
        elements_are![eq(&(instance_tag("0"), 3))]
    );
    endpoints.release_held_calls(now + second);
    expect_that!(endpoints.reported_counts(now + second), is_empty());
}

// Guards against a change for services whose deployment does not ask for the judgement.
#[googletest::test]
fn nothing_is_judged_unless_the_settings_ask_for_it() {
    let mut fleet = Fleet::new(1);
    for gateway in &mut fleet.gateways {
        gateway.set_judges_failures(false);
    }
    fleet.failing_share[0] = 1.0;
    fleet.run(Duration::from_secs(3));
    expect_that!(fleet.judged_failing, is_empty());
    expect_that!(fleet.gateways[0].failure_report(fleet.now()), is_empty());
}
