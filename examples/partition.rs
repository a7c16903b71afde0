//! Measures a partition's memory, and its recovery from the whole stream and from a snapshot.
//!
//! `cargo run --release --example partition` prints rows for each number of programs. The log is
//! the stand-in over HTTP on loopback. Memory is the growth of the process's resident set due to
//! copies of the fold, and due to a reader's cache of bodies compared with a reader without one.

use galenapick::ids::{Offset, ProgramId, program_id};
use galenapick::protocol::log::{Log, LogError, LogPage, ReadLimit};
use galenapick::standin::{LogConfig, LogStandin};
use galenapick::{
    CommitLimits, Created, Entry, HttpLog, Message, PartitionConfig, PartitionHandle,
    PartitionIdentity, Role, Turn, Usage, initial_hash, turn_hash,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Number of programs in each measurement.
const PROGRAMS: [usize; 3] = [1_000, 3_000, 10_000];
/// Number of turns of a program.
const TURNS: u32 = 10;
/// Size of a turn's text in bytes, which is about 100 tokens.
const TURN_BYTES: usize = 400;
/// Number of bytes per token.
const TOKEN_BYTES: usize = 4;
/// Minimum number of entries per commit, except for the last one.
const PUSH_ENTRIES: usize = 2_000;
/// Number of copies of the fold in the memory measurement.
const COPIES: u64 = 8;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// A log that counts reads and the bytes read.
#[derive(Clone)]
struct CountingLog {
    log: HttpLog,
    bytes: Arc<AtomicU64>,
    reads: Arc<AtomicU64>,
}

impl Log for CountingLog {
    async fn append(&self, stream: &str, data: Vec<u8>) -> Result<Offset, LogError> {
        self.log.append(stream, data).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: ReadLimit,
    ) -> Result<LogPage, LogError> {
        let page = self.log.read(stream, from, limit).await?;
        let bytes: usize = page.records.iter().map(|record| record.data.len()).sum();
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(page)
    }
}

/// The time, reads and memory of a reader that recovers the partition.
struct Recovery {
    time: Duration,
    bytes: u64,
    reads: u64,
    memory_bytes: u64,
}

fn main() {
    println!(
        "{:>9} {:>7} {:>10} {:>8} {:>9} {:>7} {:>13} {:>13}",
        "programs", "turns", "start", "time ms", "MB read", "reads", "B/program", "B/1000 tokens"
    );
    for programs in PROGRAMS {
        smol::block_on(measure(programs));
    }
}

async fn measure(programs: usize) {
    let log = LogStandin::start(LogConfig {
        appends_per_s: 100_000.0,
        burst: 100_000.0,
        retention_records: usize::MAX,
        ..LogConfig::default()
    });
    let log = log.await.expect("the stand-in listens");
    let writer = spawn_partition(&log, "writer", partition_config(0, u64::MAX)).0;
    wait_for_ownership(&writer).await;
    write_programs(&writer, programs).await;
    drop(writer);

    let (index, handle) = recover(&log, "reader-1", 0).await;
    print_row(programs, "beginning", &index, None);
    print_copies(programs, &handle);
    drop(handle);
    let cache_bytes = programs * TURNS as usize * (TURN_BYTES + 1_000);
    let (cached, handle) = recover(&log, "reader-2", cache_bytes).await;
    print_row(programs, "with cache", &cached, Some(&index));
    drop(handle);

    let snapshot = spawn_partition(&log, "snapshot", partition_config(0, 1)).0;
    wait_for_ownership(&snapshot).await;
    while snapshot.with_state(|state| state.root()) == 0 {
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    // The batch that names the root is written after the end of the snapshot.
    smol::Timer::after(Duration::from_millis(200)).await;
    drop(snapshot);
    let (index, handle) = recover(&log, "reader-3", 0).await;
    print_row(programs, "snapshot", &index, None);
    drop(handle);
    log.stop().await;
}

async fn recover(
    log: &LogStandin,
    node: &str,
    cache_bytes: usize,
) -> (Recovery, PartitionHandle<CountingLog>) {
    let bytes_before = resident_bytes();
    let started = Instant::now();
    let (handle, log_counter) = spawn_partition(log, node, partition_config(cache_bytes, u64::MAX));
    wait_for_ownership(&handle).await;
    let recovery = Recovery {
        time: started.elapsed(),
        bytes: log_counter.bytes.load(Ordering::Relaxed),
        reads: log_counter.reads.load(Ordering::Relaxed),
        memory_bytes: resident_bytes().saturating_sub(bytes_before),
    };
    (recovery, handle)
}

fn print_row(programs: usize, start: &str, recovery: &Recovery, index: Option<&Recovery>) {
    let tokens = programs * TURNS as usize * TURN_BYTES / TOKEN_BYTES;
    let (per_program, per_tokens) = match index {
        None => (String::new(), String::new()),
        Some(index) => {
            let bodies = recovery.memory_bytes.saturating_sub(index.memory_bytes);
            (String::new(), (bodies * 1_000 / tokens as u64).to_string())
        }
    };
    println!(
        "{programs:>9} {:>7} {start:>10} {:>8} {:>9.1} {:>7} {per_program:>13} {per_tokens:>13}",
        TURNS,
        recovery.time.as_millis(),
        recovery.bytes as f64 / 1e6,
        recovery.reads,
    );
}

/// Prints the memory of the index per program.
fn print_copies(programs: usize, handle: &PartitionHandle<CountingLog>) {
    let bytes_before = resident_bytes();
    let copies: Vec<_> = (0..COPIES)
        .map(|_| handle.with_state(Clone::clone))
        .collect();
    let growth = resident_bytes().saturating_sub(bytes_before);
    println!(
        "{programs:>9} {TURNS:>7} {:>10} {:>42}",
        "index",
        growth / COPIES / programs as u64
    );
    drop(copies);
}

fn partition_config(cache_bytes: usize, snapshot_after_bytes: u64) -> PartitionConfig {
    PartitionConfig {
        commit: CommitLimits {
            append_interval: Duration::from_millis(1),
            ..CommitLimits::default()
        },
        cache_bytes,
        snapshot_after_bytes,
        tick: Duration::from_millis(5),
        ..PartitionConfig::default()
    }
}

fn spawn_partition(
    log: &LogStandin,
    node: &str,
    partition_config: PartitionConfig,
) -> (PartitionHandle<CountingLog>, CountingLog) {
    let log_counter = CountingLog {
        log: HttpLog::new(&log.url(), Duration::from_secs(10)),
        bytes: Arc::default(),
        reads: Arc::default(),
    };
    let identity = PartitionIdentity {
        node: node.to_owned(),
        incarnation: 1,
        partition: 0,
    };
    let handle = PartitionHandle::spawn(log_counter.clone(), identity, partition_config, |_| false);
    handle.set_should_own(true);
    (handle, log_counter)
}

async fn wait_for_ownership(handle: &PartitionHandle<CountingLog>) {
    while handle.epoch().is_none() {
        smol::Timer::after(Duration::from_millis(1)).await;
    }
}

/// Commits all programs with all their turns.
async fn write_programs(handle: &PartitionHandle<CountingLog>, programs: usize) {
    let mut entries = Vec::new();
    for index in 0..programs {
        let program = program_id(1_700_000_000_000, index as u128);
        entries.extend(program_entries(program));
        if entries.len() >= PUSH_ENTRIES {
            commit_entries(handle, std::mem::take(&mut entries)).await;
        }
    }
    commit_entries(handle, entries).await;
}

async fn commit_entries(handle: &PartitionHandle<CountingLog>, entries: Vec<Entry>) {
    handle
        .commit(entries)
        .await
        .expect("the log accepts the entries");
}

fn program_entries(program: ProgramId) -> Vec<Entry> {
    let client_account = "saa-mubadala".to_owned();
    let usage = Usage {
        tokens: 100,
        calls: 1,
        time_ms: 10,
    };
    let created = Created {
        program,
        client_account: client_account.clone(),
        environment: "tn-north".to_owned(),
        key: Some(format!("{program:x}")),
        budget: usage,
        deadline_ms: 0,
        reserved: usage,
    };
    let mut entries = vec![Entry::Created(created)];
    let mut previous = initial_hash(&client_account, program, 0);
    for number in 1..=TURNS {
        let turn = Turn {
            program,
            client_account: client_account.clone(),
            branch: 0,
            number,
            previous,
            call: program ^ u128::from(number),
            key: Some(format!("call-{number}")),
            messages: vec![Message::new(Role::Assistant, "x".repeat(TURN_BYTES))],
            spent: usage,
            reserved: usage,
            endpoint: "engine-1".to_owned(),
        };
        previous = turn_hash(&turn);
        entries.push(Entry::Turn(turn));
    }
    entries
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}
