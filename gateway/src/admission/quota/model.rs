//! A seeded model of gateways that grant and use the quota of one account while messages are late or
//! lost, gateways die and freeze, and the network is in two parts. In no window may more be sent than
//! the quota tolerates.

mod windows;

use super::{Ask, Demand, QuotaBucket, Verdict};
use crate::admission::lease::{Closed, Lease, lease_time};
use crate::admission::tenure::Tenure;
use crate::routes::Quota;
use galenapick::stable_hash;
use googletest::prelude::*;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(5);
const VIEW_STEPS: u32 = 10;
const RUN_TIME: Duration = Duration::from_secs(18);
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// As in `Gossip`: silence after which a peer is not healthy, and time for which a new one is presumed
/// to be.
const HEALTHY_TIMEOUT: Duration = Duration::from_millis(1_000);
const PRESUMED_TIME: Duration = Duration::from_millis(1_500);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_WAIT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A gateway is killed every 1.3 s and back 0.9 s later, first the granting one.
    Deaths,
    /// The granting gateway freezes for some seconds, again and again.
    Freezes,
    /// A third of the gateways is cut off from the others from 8 to 14 s.
    TwoViews,
    /// All are killed at 10 s, in the middle of the burst, and are back within 0.8 s.
    AllKilled,
    /// The quota is cut to an eighth at 10 s.
    Cut,
}

#[derive(Clone, Debug)]
enum Message {
    Ask(u64, Ask),
    Granted(u64, Duration, u32),
    Refused(u64, Duration, Duration),
    NotGranting(u64),
}

struct PendingAsk {
    number: u64,
    asked_at: Instant,
}

struct Node {
    back_at: Instant,
    frozen_until: Instant,
    /// When each other gateway was last heard; `None` before the first heartbeat.
    heard: Vec<Option<Instant>>,
    started_at: Instant,
    tenure: Tenure,
    view: Vec<usize>,
    share: f64,
    bucket: Option<QuotaBucket>,
    lease: Lease,
    pending: Vec<PendingAsk>,
}

impl Node {
    fn new(now: Instant, gateways: usize) -> Self {
        Self {
            back_at: now,
            frozen_until: now,
            heard: vec![None; gateways],
            started_at: now,
            tenure: Tenure::new(now),
            view: Vec::new(),
            share: 0.0,
            bucket: None,
            lease: Lease::new(now),
            pending: Vec::new(),
        }
    }

    fn runs(&self, now: Instant) -> bool {
        now >= self.back_at && now >= self.frozen_until
    }
}

struct Site {
    rng: fastrand::Rng,
    start: Instant,
    now: Instant,
    fault: Fault,
    loss: f64,
    quota: Quota,
    lease_time: Duration,
    nodes: Vec<Node>,
    messages: Vec<(Instant, usize, usize, Message)>,
    delayed: Vec<(Instant, Instant, usize)>,
    next_number: u64,
    next_fault_at: Instant,
    sent: Vec<Instant>,
    asked: u64,
}

impl Site {
    fn new(seed: u64, gateways: usize, rate_per_s: f64, fault: Fault, loss: f64) -> Self {
        let now = Instant::now();
        Self {
            rng: fastrand::Rng::with_seed(seed),
            start: now,
            now,
            fault,
            loss,
            quota: Quota {
                rate_per_s,
                burst: rate_per_s,
            },
            lease_time: lease_time(WINDOW, OVERAGE),
            nodes: (0..gateways).map(|_| Node::new(now, gateways)).collect(),
            messages: Vec::new(),
            delayed: Vec::new(),
            next_number: 0,
            next_fault_at: now + MS * 7_000,
            sent: Vec::new(),
            asked: 0,
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn is_linked(&self, one: usize, other: usize) -> bool {
        let is_cut =
            self.fault == Fault::TwoViews && (MS * 8_000..MS * 14_000).contains(&self.elapsed());
        let side = |gateway: usize| gateway.is_multiple_of(3);
        !is_cut || side(one) == side(other)
    }

    fn rank(gateway: usize) -> u64 {
        stable_hash((7, gateway))
    }

    /// Returns the gateway that `gateway` takes for the granting one.
    fn granting(&self, gateway: usize) -> Option<usize> {
        let view = self.nodes[gateway].view.iter().copied();
        view.max_by_key(|it| Self::rank(*it))
    }

    fn update_views(&mut self) {
        let now = self.now;
        for sender in 0..self.nodes.len() {
            if !self.nodes[sender].runs(now) || self.rng.f64() > 0.4 {
                continue;
            }
            for receiver in 0..self.nodes.len() {
                let is_lost = !self.is_linked(sender, receiver) || self.rng.f64() < self.loss;
                if receiver != sender && !is_lost && self.nodes[receiver].runs(now) {
                    self.nodes[receiver].heard[sender] = Some(now);
                }
            }
        }
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if !node.runs(now) {
                continue;
            }
            let is_presumed = now - node.started_at < PRESUMED_TIME;
            let heard = node.heard.iter().enumerate();
            let healthy = heard.filter(|(peer, heard)| {
                *peer == number || heard.map_or(is_presumed, |at| now - at < HEALTHY_TIMEOUT)
            });
            node.view = healthy.map(|(peer, _)| peer).collect();
            node.share = node.view.len() as f64 / node.heard.len() as f64;
            if node.tenure.resume(now) {
                node.bucket = None;
            }
            let view = stable_hash(&node.view);
            node.tenure.set_view(now, view);
        }
        for number in 0..self.nodes.len() {
            if self.nodes[number].runs(now) && self.granting(number) != Some(number) {
                self.nodes[number].bucket = None;
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let delay = if self.rng.f64() < 0.05 {
            MS * self.rng.u32(20..120)
        } else {
            MS * self.rng.u32(1..6)
        };
        if self.rng.f64() >= self.loss && self.is_linked(from, to) {
            self.messages.push((self.now + delay, from, to, message));
        }
    }

    fn decide(&mut self, gateway: usize, ask: &Ask) -> Option<Verdict> {
        if self.granting(gateway) != Some(gateway) {
            return None;
        }
        let (now, quota) = (self.now, self.quota);
        let node = &mut self.nodes[gateway];
        if node.tenure.resume(now) {
            node.bucket = None;
        }
        let since = node.tenure.since();
        let share = node.share;
        let bucket = node
            .bucket
            .get_or_insert_with(|| QuotaBucket::new(now, since, quota, share, SLACK * 0.1));
        bucket.set_quota(now, quota, share);
        Some(bucket.decide(now, ask))
    }

    /// Has a client's request arrive at a gateway.
    fn request(&mut self, gateway: usize) {
        let now = self.now;
        if !self.nodes[gateway].runs(now) {
            return;
        }
        let lease = &mut self.nodes[gateway].lease;
        if lease.take(now).is_some() {
            self.record(gateway);
            return;
        }
        if lease.closed(now, Demand::UnderWay, MAX_WAIT).is_some() {
            return;
        }
        let ask = Ask {
            demand: Demand::UnderWay,
            spare: lease.spare(now),
            max_wait: MAX_WAIT,
            used: lease.take_unreported(),
        };
        match self.granting(gateway) {
            Some(granting) if granting == gateway => match self.decide(gateway, &ask) {
                Some(verdict) => self.apply(gateway, now, verdict),
                None => self.fall_back(gateway),
            },
            // A peer of which nothing has been heard yet has no known address.
            Some(granting) if self.nodes[gateway].heard[granting].is_some() => {
                let number = self.next_number;
                self.next_number += 1;
                self.asked += 1;
                let asked_at = now;
                let pending = PendingAsk { number, asked_at };
                self.nodes[gateway].pending.push(pending);
                self.send(gateway, granting, Message::Ask(number, ask));
            }
            _ => self.fall_back(gateway),
        }
    }

    fn record(&mut self, gateway: usize) {
        let now = self.now;
        self.nodes[gateway].lease.record_use(now, Demand::UnderWay);
        self.sent.push(now);
    }

    fn fall_back(&mut self, gateway: usize) {
        let (now, quota, lease_time) = (self.now, self.quota, self.lease_time);
        let gateways = self.nodes.len();
        let lease = &mut self.nodes[gateway].lease;
        if lease
            .take_fallback(now, quota, gateways, lease_time)
            .is_some()
        {
            self.record(gateway);
        }
    }

    fn apply(&mut self, gateway: usize, asked_at: Instant, verdict: Verdict) {
        let now = self.now;
        let lease = &mut self.nodes[gateway].lease;
        lease.end_fallback();
        match verdict {
            Verdict::Granted { delay, spare } => {
                lease.put(now, asked_at + self.lease_time, spare);
                let expires_at = asked_at + delay + self.lease_time;
                self.delayed.push((now + delay, expires_at, gateway));
            }
            Verdict::Refused { wait, retry_after } => {
                lease.close(Demand::UnderWay, Closed::new(now, wait, retry_after));
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let number = match message {
            Message::Ask(number, ask) => {
                let answer = match self.decide(to, &ask) {
                    Some(Verdict::Granted { delay, spare }) => {
                        Message::Granted(number, delay, spare)
                    }
                    Some(Verdict::Refused { wait, retry_after }) => {
                        Message::Refused(number, wait, retry_after)
                    }
                    None => Message::NotGranting(number),
                };
                self.send(to, from, answer);
                return;
            }
            Message::Granted(number, ..)
            | Message::Refused(number, ..)
            | Message::NotGranting(number) => number,
        };
        let pending = &mut self.nodes[to].pending;
        let Some(position) = pending.iter().position(|it| it.number == number) else {
            return;
        };
        let asked_at = pending.swap_remove(position).asked_at;
        match message {
            Message::Granted(_, delay, spare) => {
                self.apply(to, asked_at, Verdict::Granted { delay, spare });
            }
            Message::Refused(_, wait, retry_after) => {
                self.apply(to, asked_at, Verdict::Refused { wait, retry_after });
            }
            _ => self.fall_back(to),
        }
    }

    fn cause_faults(&mut self) {
        if self.now < self.next_fault_at {
            return;
        }
        let count = self.nodes.len();
        let granting = (0..count)
            .filter(|it| self.nodes[*it].runs(self.now))
            .max_by_key(|it| Self::rank(*it));
        let kill = |nodes: &mut Vec<Node>, number: usize, down: Duration| {
            nodes[number] = Node::new(self.now + down, count);
        };
        match self.fault {
            Fault::Deaths => {
                let other = self.rng.usize(0..count);
                let killed = if self.rng.bool() {
                    granting.unwrap_or(other)
                } else {
                    other
                };
                kill(&mut self.nodes, killed, MS * 900);
                self.next_fault_at = self.now + MS * 1_300;
            }
            Fault::Freezes => {
                if let Some(granting) = granting {
                    let frozen = MS * self.rng.u32(300..4_000);
                    self.nodes[granting].frozen_until = self.now + frozen;
                }
                self.next_fault_at = self.now + MS * 1_900;
            }
            Fault::AllKilled if self.elapsed() >= MS * 10_000 => {
                for number in 0..count {
                    let down = MS * self.rng.u32(200..800);
                    kill(&mut self.nodes, number, down);
                }
                self.next_fault_at = self.now + RUN_TIME;
            }
            Fault::Cut if self.elapsed() >= MS * 10_000 => {
                self.quota.rate_per_s /= 8.0;
                self.quota.burst /= 8.0;
                self.next_fault_at = self.now + RUN_TIME;
            }
            _ => {}
        }
    }

    fn step(&mut self, number: u32, per_s: f64, spread: usize) {
        if number.is_multiple_of(VIEW_STEPS) {
            self.update_views();
        }
        self.cause_faults();
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _, to, _)| *at <= now && now >= self.nodes[*to].frozen_until);
        self.messages = later;
        for (_, from, to, message) in due {
            if now >= self.nodes[to].back_at {
                self.receive(from, to, message);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.delayed = later;
        for (_, expires_at, gateway) in due {
            let runs = self.nodes[gateway].runs(now);
            if runs && expires_at > now {
                self.record(gateway);
            }
        }
        for gateway in 0..self.nodes.len() {
            let pending = &mut self.nodes[gateway].pending;
            let before = pending.len();
            pending.retain(|it| now - it.asked_at < ANSWER_TIMEOUT);
            for _ in pending.len()..before {
                self.fall_back(gateway);
            }
        }
        let mean = per_s * STEP.as_secs_f64();
        let count = mean.floor() as u32 + u32::from(self.rng.f64() < mean.fract());
        for _ in 0..count {
            let gateway = self.rng.usize(0..spread);
            self.request(gateway);
        }
        self.now += STEP;
    }

    /// Runs the site with this many requests a second, which come to the first `spread` gateways.
    fn run(&mut self, per_s: impl Fn(Duration) -> f64, spread: usize) {
        let mut number = 0;
        while self.elapsed() < RUN_TIME {
            let per_s = per_s(self.elapsed());
            self.step(number, per_s, spread);
            number += 1;
        }
    }

    fn sent_between(&self, from: Duration, to: Duration) -> usize {
        let span = self.start + from..self.start + to;
        self.sent.iter().filter(|at| span.contains(at)).count()
    }
}
