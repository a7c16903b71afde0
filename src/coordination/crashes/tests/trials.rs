//! Trials over several gateways.

use super::*;

// Guards against a trial at each of many gateways.
#[googletest::test]
fn one_trial_runs_at_a_time_over_all_gateways() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    gossip(end, &mut crashes, &mut peer);
    expect_that!(
        peer.admit(end, &COPY, PEER),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    let next = end + TRIAL_TIMEOUT;
    expect_that!(peer.admit(next, &COPY, PEER), eq(Admission::Trial));
}

// Guards against trials at gateways that claim them before they know of each other.
#[googletest::test]
fn of_two_claims_to_a_trial_one_counts() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    expect_that!(peer.admit(end, &COPY, PEER), eq(Admission::Trial));
    gossip(end, &mut peer, &mut crashes);
    gossip(end, &mut crashes, &mut peer);
    expect_that!(
        crashes.confirm_trial(end, &COPY, HERE),
        eq(Admission::Trial)
    );
    expect_that!(
        peer.confirm_trial(end, &COPY, PEER),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    peer.cancel_trial(end, &COPY, PEER);
    gossip(end, &mut peer, &mut crashes);
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    // A request that was answered meanwhile needs no trial.
    peer.record_answer(end, FATAL);
    expect_that!(peer.confirm_trial(end, &COPY, PEER), eq(Admission::Open));
}

// Guards against two trials that end on one endpoint, so that neither request is singled out.
#[googletest::test]
fn requests_that_share_crashes_are_tried_one_after_the_other() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (Crashes::default(), Crashes::default());
    for crashes in [&mut crashes, &mut peer] {
        for request in [&COPY, &OTHER] {
            crash_under(crashes, now, request, 1..=3);
        }
    }
    let end = now + SHARED_QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    expect_that!(
        crashes.admit(end, &OTHER, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    expect_that!(peer.admit(end, &OTHER, PEER), eq(Admission::Trial));
    gossip(end, &mut peer, &mut crashes);
    gossip(end, &mut crashes, &mut peer);
    expect_that!(
        crashes.confirm_trial(end, &COPY, HERE),
        eq(Admission::Trial)
    );
    expect_that!(
        peer.confirm_trial(end, &OTHER, PEER),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
    peer.cancel_trial(end, &OTHER, PEER);
    // The trial of the other request follows at once, at any gateway.
    crash_under(&mut crashes, end, &COPY, [4]);
    let later = end + REPORT_INTERVAL;
    gossip(later, &mut crashes, &mut peer);
    gossip(later, &mut peer, &mut crashes);
    expect_that!(crashes.admit(later, &OTHER, HERE), eq(Admission::Trial));
    expect_that!(
        peer.admit(later, &COPY, PEER),
        eq(Admission::Refused(QUARANTINE * 2 - REPORT_INTERVAL))
    );
}

// Guards against a trial that was claimed but not sent, and keeps others waiting.
#[googletest::test]
fn a_trial_that_is_not_run_makes_way_at_all_gateways() {
    let now = Instant::now();
    let (mut crashes, mut peer) = (quarantined(now), quarantined(now));
    let end = now + QUARANTINE;
    expect_that!(crashes.admit(end, &COPY, HERE), eq(Admission::Trial));
    gossip(end, &mut crashes, &mut peer);
    crashes.cancel_trial(end, &COPY, HERE);
    gossip(end, &mut crashes, &mut peer);
    expect_that!(peer.admit(end, &COPY, PEER), eq(Admission::Trial));
    gossip(end, &mut peer, &mut crashes);
    // Another gateway's trial cannot be ended here.
    crashes.cancel_trial(end, &COPY, HERE);
    expect_that!(
        crashes.admit(end, &COPY, HERE),
        eq(Admission::Refused(TRIAL_TIMEOUT))
    );
}

/// Gateways that get copies of two requests all the time. One of them crashes endpoints, the other
/// one was on all endpoints that crashed.
struct Fleet {
    tables: Vec<Crashes>,
    /// Order in which copies arrive at each gateway.
    order: [Fingerprints; 2],
    /// Reports on their way, with their arrival.
    sent: Vec<(Instant, Vec<CrashReport>)>,
    /// Requests that wait for the claims of others, with the end of the wait and their gateway.
    held: Vec<(Instant, usize, Fingerprints)>,
    fatal_runs: u64,
    served_at: Option<Instant>,
}

impl Fleet {
    const GATEWAYS: usize = 20;
    const STEP: Duration = Duration::from_millis(20);
    const TRANSIT: Duration = Duration::from_millis(40);
    const STEPS_PER_REPORT: usize = 20;
    const CLAIM_TIME: Duration = Duration::from_millis(900);

    fn new(now: Instant, order: [Fingerprints; 2]) -> Self {
        let table = |_| {
            let mut table = Crashes::default();
            for request in [&COPY, &OTHER] {
                crash_under(&mut table, now, request, 1..=3);
            }
            table
        };
        Self {
            tables: (0..Self::GATEWAYS).map(table).collect(),
            order,
            sent: Vec::new(),
            held: Vec::new(),
            fatal_runs: 0,
            served_at: None,
        }
    }

    fn step(&mut self, now: Instant, number: usize) {
        for (_, reports) in self.sent.extract_if(.., |(at, _)| *at <= now) {
            for table in &mut self.tables {
                for report in &reports {
                    table.merge(now, report);
                }
            }
        }
        for gateway in 0..Self::GATEWAYS {
            if (number + gateway * 7).is_multiple_of(Self::STEPS_PER_REPORT) {
                let reports = self.tables[gateway].due_reports(now, 9);
                self.sent.push((now + Self::TRANSIT, reports));
            }
            for request in self.order {
                self.receive(now, gateway, &request);
            }
        }
        let confirmed: Vec<_> = self.held.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, gateway, request) in confirmed {
            self.confirm(now, gateway, &request);
        }
    }

    fn receive(&mut self, now: Instant, gateway: usize, request: &Fingerprints) {
        match self.tables[gateway].admit(now, request, gateway as Claimant) {
            Admission::Open => self.run(now, gateway, request),
            Admission::Trial => self.held.push((now + Self::CLAIM_TIME, gateway, *request)),
            Admission::Refused(_) => {}
        }
    }

    fn confirm(&mut self, now: Instant, gateway: usize, request: &Fingerprints) {
        let table = &mut self.tables[gateway];
        match table.confirm_trial(now, request, gateway as Claimant) {
            Admission::Refused(_) => table.cancel_trial(now, request, gateway as Claimant),
            Admission::Open | Admission::Trial => self.run(now, gateway, request),
        }
    }

    fn run(&mut self, now: Instant, gateway: usize, request: &Fingerprints) {
        let table = &mut self.tables[gateway];
        if *request == COPY {
            self.fatal_runs += 1;
            crash_under(table, now, request, [100 + self.fatal_runs]);
        } else {
            for fingerprint in request {
                table.record_answer(now, *fingerprint);
            }
            self.served_at.get_or_insert(now);
        }
    }
}

// Guards against trials at each of many gateways, and against requests that wait for them for long.
#[googletest::test]
fn many_gateways_try_a_request_once_and_serve_the_other_one_soon() {
    let now = Instant::now();
    let steps = 20_000 / Fleet::STEP.as_millis() as usize;
    for (order, fatal_runs) in [([COPY, OTHER], 1), ([OTHER, COPY], 0)] {
        let mut fleet = Fleet::new(now, order);
        for number in 0..steps {
            fleet.step(now + Fleet::STEP * number as u32, number);
        }
        expect_that!(fleet.fatal_runs, eq(fatal_runs));
        let served_at = fleet.served_at.expect("an answer");
        expect_that!(served_at - now, lt(Duration::from_secs(6)));
    }
}
