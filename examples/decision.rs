//! Measures the time of a scheduling decision and the memory of the tables.
//!
//! `cargo run --release --example decision`

use fastrand::Rng;
use galenapick::protocol::link::{Priority, SidecarLoad};
use galenapick::{
    Admission, AdmissionConfig, CacheTable, CacheTableConfig, CallObservation, CapConfig,
    ChoiceConfig, Chooser, Cost, EndpointInfo, EndpointKind, EndpointRequirements, PendingCall,
    Target,
};
use std::time::{Duration, Instant};

/// Number of programs in the cache table.
const PROGRAMS: u128 = 140_000;

/// Number of decisions in one timed round.
const DECISIONS: u32 = 20_000;

/// Number of rounds. The median is printed.
const ROUNDS: usize = 5;

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4_096;

fn main() {
    println!(
        "{:>10} {:>14} {:>14}",
        "endpoints", "us/decision", "table_MB"
    );
    for endpoints in [10, 100, 650] {
        let bytes_before = resident_bytes();
        let mut bench = ChoiceBench::new(endpoints);
        let table_mb = resident_bytes().saturating_sub(bytes_before) as f64 / 1e6;
        let cost = median(|| bench.run_round());
        println!("{endpoints:>10} {:>14.2} {table_mb:>14.1}", as_micros(cost));
    }
    println!("{:>10} {:>14}", "queued", "us/push+pop");
    for queued in [10, 100, 500] {
        let cost = median(|| admission_round(queued));
        println!("{queued:>10} {:>14.2}", as_micros(cost));
    }
}

/// The chooser and the cache table of one entry.
struct ChoiceBench {
    chooser: Chooser,
    cache: CacheTable,
    now: Instant,
    rng: Rng,
}

impl ChoiceBench {
    fn new(endpoints: usize) -> Self {
        let now = Instant::now();
        let mut bench = Self {
            chooser: Chooser::new(ChoiceConfig::default()),
            cache: CacheTable::new(CacheTableConfig::default(), now),
            now,
            rng: Rng::with_seed(1),
        };
        for index in 0..endpoints {
            bench.add_endpoint(index);
        }
        for program in 0..PROGRAMS {
            let endpoint = endpoint_name(bench.rng.usize(..endpoints));
            bench
                .cache
                .record_answer(now, &endpoint, program, 4_000, 0, 150);
        }
        bench
    }

    fn add_endpoint(&mut self, index: usize) {
        let info = EndpointInfo {
            kind: EndpointKind::Engine,
            models: vec![("matcher-llm".into(), 1)],
            failure_domain: format!("domain-{}", index % 6),
        };
        let load = SidecarLoad {
            running: self.rng.u32(..40),
            cap: 40,
            call_ms: 3_000.0,
            token_gap_ms: 20.0,
            prefill_tokens_per_s: 8_000.0,
            ..SidecarLoad::default()
        };
        self.chooser.upsert(self.now, &endpoint_name(index), info);
        self.chooser
            .update_load(self.now, &endpoint_name(index), &load);
    }

    /// Looks up a program's cache and chooses an endpoint, repeatedly. Returns the mean time.
    fn run_round(&mut self) -> Duration {
        let started = Instant::now();
        for _ in 0..DECISIONS {
            let program = self.rng.u128(..PROGRAMS);
            let cached = self.cache.holders(self.now, program);
            let requirements = EndpointRequirements {
                target: Target::Model {
                    model: "matcher-llm",
                    version: 1,
                },
                prompt_tokens: 4_300,
                answer_tokens: 150,
                cache_holders: &cached,
                local_domain: "domain-0",
                exclude: &[],
            };
            let choice = self.chooser.choose(self.now, &requirements, &mut self.rng);
            std::hint::black_box(choice);
        }
        started.elapsed() / DECISIONS
    }
}

/// Pushes a call into a queue of a given length and pops one, repeatedly. Returns the mean time.
fn admission_round(queued: u128) -> Duration {
    let cap = CapConfig {
        start_calls: 1,
        min_calls: 1,
        ..CapConfig::default()
    };
    let mut admission = Admission::new(AdmissionConfig {
        cap,
        ..AdmissionConfig::default()
    });
    let now = Instant::now();
    for call in 0..queued {
        let _ = admission.push(now, pending_call(call));
    }
    let started = Instant::now();
    for call in queued..queued + u128::from(DECISIONS) {
        let _ = admission.push(now, pending_call(call));
        if let Some(popped) = admission.pop(now) {
            admission.finish(now, popped, CallObservation::default());
        }
    }
    started.elapsed() / DECISIONS
}

fn pending_call(call: u128) -> PendingCall<u128> {
    let priority = Priority {
        environment: "production".into(),
        production: true,
        client_account: format!("member-{}", call % 50),
        share: 1.0,
        attained_tokens: (call as u64 * 7_919) % 100_000,
        slack_ms: 60_000,
    };
    let cost = Cost {
        uncached_tokens: 300,
        max_tokens: 150,
    };
    PendingCall {
        call,
        program: call,
        priority,
        cost,
        item: call,
    }
}

fn endpoint_name(index: usize) -> String {
    format!("endpoint-{index}")
}

fn median(mut round: impl FnMut() -> Duration) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS).map(|_| round()).collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn as_micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Returns the resident memory of this process, or 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
