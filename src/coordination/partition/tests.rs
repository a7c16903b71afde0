//! Tests of the partition driver against an in-memory log with faults.

use super::*;
use crate::coordination::commit::CommitLimits;
use crate::ids::program_id;
use crate::protocol::log::{LogError, LogPage, LogRecord, ReadLimit};
use crate::protocol::message::{Message, Role, Usage};
use crate::protocol::record::Created;
use crate::state::history::initial_hash;
use googletest::prelude::*;
use smol::Timer;
use std::time::Duration;

/// In-memory log with one stream.
#[derive(Clone, Default)]
struct TestLog(Arc<Mutex<LogContents>>);

#[derive(Default)]
struct LogContents {
    records: Vec<LogRecord>,
    /// First offset that is not trimmed.
    first: Offset,
    down: bool,
    /// Number of appends that are still to be stored without an answer.
    lose_answers: usize,
    reads: usize,
}

impl TestLog {
    fn lock(&self) -> MutexGuard<'_, LogContents> {
        self.0.lock().unwrap()
    }

    /// Removes the records before an offset.
    fn trim(&self, first: Offset) {
        self.lock().first = first;
    }
}

impl Log for TestLog {
    async fn append(&self, _: &str, data: Vec<u8>) -> std::result::Result<Offset, LogError> {
        let mut contents = self.lock();
        if contents.down {
            return Err(LogError::Unavailable("down".to_owned()));
        }
        let offset = contents.records.len() as Offset + 1;
        let at_ms = 100 * offset;
        contents.records.push(LogRecord {
            offset,
            at_ms,
            data,
        });
        if contents.lose_answers > 0 {
            contents.lose_answers -= 1;
            return Err(LogError::Unavailable("lost".to_owned()));
        }
        Ok(offset)
    }

    async fn read(
        &self,
        _: &str,
        from: Offset,
        limit: ReadLimit,
    ) -> std::result::Result<LogPage, LogError> {
        Timer::after(limit.wait.min(Duration::from_millis(3))).await;
        let mut contents = self.lock();
        contents.reads += 1;
        let first = contents.first.max(1);
        if contents.down {
            return Err(LogError::Unavailable("down".to_owned()));
        }
        if from < first {
            return Err(LogError::Trimmed { first });
        }
        let mut bytes = 0;
        let mut records = Vec::new();
        for record in contents.records.iter().skip(from as usize - 1) {
            bytes += record.data.len();
            records.push(record.clone());
            if bytes >= limit.max_bytes {
                break;
            }
        }
        let next = contents.records.len() as Offset + 1;
        Ok(LogPage {
            records,
            first,
            next,
        })
    }
}

fn config() -> PartitionConfig {
    PartitionConfig {
        commit: CommitLimits {
            append_interval: Duration::from_millis(1),
            resend_after: Duration::from_millis(5),
            ..CommitLimits::default()
        },
        tick: Duration::from_millis(5),
        read_wait: Duration::from_millis(20),
        ..PartitionConfig::default()
    }
}

fn spawn(log: &TestLog, node: &str, is_owner_alive: bool) -> PartitionHandle<TestLog> {
    spawn_with(log, node, is_owner_alive, config())
}

fn spawn_with(
    log: &TestLog,
    node: &str,
    is_owner_alive: bool,
    config: PartitionConfig,
) -> PartitionHandle<TestLog> {
    let identity = PartitionIdentity {
        node: node.to_owned(),
        incarnation: 1,
        partition: 0,
    };
    let handle = PartitionHandle::spawn(log.clone(), identity, config, move |_| is_owner_alive);
    handle.set_should_own(true);
    handle
}

/// Waits until a condition holds. The test harness ends a test that waits forever.
async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

async fn wait_for_epoch(handle: &PartitionHandle<TestLog>) -> Epoch {
    wait_until(|| handle.epoch().is_some()).await;
    handle.epoch().unwrap()
}

fn created(program: ProgramId) -> Entry {
    Entry::Created(Created {
        program,
        client_account: "saa".to_owned(),
        environment: "matching".to_owned(),
        key: Some(format!("key-{program}")),
        budget: usage(1_000),
        deadline_ms: 0,
        reserved: usage(10),
    })
}

fn usage(amount: u64) -> Usage {
    Usage {
        tokens: amount,
        calls: amount,
        time_ms: amount,
    }
}

/// Returns the next turn of branch 0 according to the handle's state.
fn next_turn(handle: &PartitionHandle<TestLog>, program: ProgramId, text: &str) -> Turn {
    let client_account = "saa".to_owned();
    let head = handle.with_state(|state| state.program(program).map(|p| p.head(0)));
    let (number, previous) = match head {
        Some(head) => (head.number + 1, head.hash),
        None => (1, initial_hash(&client_account, program, 0)),
    };
    Turn {
        program,
        client_account,
        branch: 0,
        number,
        previous,
        call: u128::from(number),
        key: None,
        messages: vec![Message::new(Role::Assistant, text)],
        spent: usage(1),
        reserved: usage(10),
        endpoint: "engine-1".to_owned(),
    }
}

async fn add_turns(handle: &PartitionHandle<TestLog>, program: ProgramId, count: usize) {
    for index in 0..count {
        let turn = next_turn(handle, program, &format!("turn {index}"));
        handle.commit(vec![Entry::Turn(turn)]).await.unwrap();
    }
}

async fn texts(handle: &PartitionHandle<TestLog>, program: ProgramId) -> Vec<String> {
    let turns = handle.history(&"saa".to_owned(), program, 0).await.unwrap();
    turns
        .iter()
        .map(|t| t.messages[0].content.clone())
        .collect()
}

#[gtest]
fn commits_and_reads_history_back() {
    smol::block_on(async {
        let log = TestLog::default();
        let handle = spawn(&log, "a", false);
        wait_for_epoch(&handle).await;
        let program = program_id(1, 1);
        handle.commit(vec![created(program)]).await.unwrap();
        add_turns(&handle, program, 3).await;
        expect_that!(texts(&handle, program).await, len(eq(3)));
        let other = handle.history(&"other".to_owned(), program, 0).await;
        expect_that!(other, err(eq(&HistoryError::NotFound)));
    });
}

#[gtest]
fn a_second_owner_supersedes_the_first() {
    smol::block_on(async {
        let log = TestLog::default();
        let old = spawn(&log, "a", true);
        let first = wait_for_epoch(&old).await;
        let program = program_id(1, 1);
        old.commit(vec![created(program)]).await.unwrap();
        let new = spawn(&log, "b", false);
        let second = wait_for_epoch(&new).await;
        expect_that!(second, gt(first));
        wait_until(|| old.epoch().is_none()).await;
        let refused = old.commit(vec![Entry::Released]).await;
        expect_that!(refused, err(eq(&CommitError::NotOwner)));
        let spent = new.with_state(|state| state.program(program).unwrap().spent);
        expect_that!(spent, eq(usage(10)));
    });
}

#[gtest]
fn an_append_with_a_lost_answer_is_found_by_reading() {
    smol::block_on(async {
        let log = TestLog::default();
        let handle = spawn(&log, "a", false);
        wait_for_epoch(&handle).await;
        log.lock().lose_answers = 1;
        let offset = handle.commit(vec![created(program_id(1, 1))]).await;
        expect_that!(offset, ok(eq(&2)));
        expect_that!(log.lock().records.len(), eq(2));
    });
}

#[gtest]
fn a_claim_with_a_lost_answer_is_found_by_reading() {
    smol::block_on(async {
        let log = TestLog::default();
        log.lock().lose_answers = 1;
        let handle = spawn(&log, "a", false);
        expect_that!(wait_for_epoch(&handle).await, eq(1));
    });
}

#[gtest]
fn the_backlog_keeps_its_order_in_a_log_outage() {
    smol::block_on(async {
        let log = TestLog::default();
        let handle = spawn(&log, "a", false);
        wait_for_epoch(&handle).await;
        log.lock().down = true;
        let first = handle.push(vec![created(program_id(1, 1))]).unwrap();
        let second = handle.push(vec![created(program_id(1, 2))]).unwrap();
        wait_until(|| handle.log_health() != LogHealth::Up).await;
        expect_that!(handle.backlog().0, eq(2));
        log.lock().down = false;
        let offsets = (first.await.unwrap(), second.await.unwrap());
        expect_that!(offsets.0, le(offsets.1));
        wait_until(|| handle.log_health() == LogHealth::Up).await;
        expect_that!(handle.with_state(|state| state.ignored_entries()), eq(0));
    });
}

#[gtest]
fn entries_of_an_epoch_that_ends_in_a_log_outage_are_returned_in_full() {
    smol::block_on(async {
        let log = TestLog::default();
        let old = spawn(&log, "a", true);
        wait_for_epoch(&old).await;
        log.lock().down = true;
        let entry = created(program_id(1, 1));
        let commit = old.push(vec![entry.clone()]).unwrap();
        wait_until(|| old.log_health() != LogHealth::Up).await;
        // The claim of another node is stored before the old owner sends its batch again.
        let claim = crate::protocol::record::Claim {
            owner: "b".to_owned(),
            incarnation: 1,
            expects: 1,
            root: 0,
        };
        let data = crate::coordination::commit::encode(&Record::Claim(claim));
        log.lock().records.push(LogRecord {
            offset: 2,
            at_ms: 2,
            data,
        });
        log.lock().down = false;
        let result = commit.await;
        expect_that!(result, err(eq(&CommitError::EpochEnded(vec![entry]))));
    });
}

// Guards against a handover that begins in an outage of the log, so that no node takes calls until its
// end.
#[gtest]
fn a_partition_is_not_released_during_a_log_outage() {
    smol::block_on(async {
        let log = TestLog::default();
        let old = spawn(&log, "a", true);
        let epoch = wait_for_epoch(&old).await;
        log.lock().down = true;
        old.set_should_own(false);
        Timer::after(Duration::from_millis(100)).await;
        expect_that!(old.epoch(), some(eq(epoch)));
        let commit = old.push(vec![created(program_id(1, 1))]);
        log.lock().down = false;
        expect_that!(commit.unwrap().await, ok(anything()));
        wait_until(|| old.epoch().is_none()).await;
        let new = spawn(&log, "b", true);
        expect_that!(wait_for_epoch(&new).await, gt(epoch));
    });
}

#[gtest]
fn a_release_does_not_charge_reservations() {
    smol::block_on(async {
        let log = TestLog::default();
        let old = spawn(&log, "a", true);
        wait_for_epoch(&old).await;
        let program = program_id(1, 1);
        old.commit(vec![created(program)]).await.unwrap();
        old.set_should_own(false);
        let new = spawn(&log, "b", true);
        wait_for_epoch(&new).await;
        let spent = new.with_state(|state| state.program(program).unwrap().spent);
        expect_that!(spent, eq(usage(0)));
    });
}

#[gtest]
fn a_reader_of_a_trimmed_stream_starts_at_the_snapshot() {
    smol::block_on(async {
        let log = TestLog::default();
        // Log time advances by 100 ms per record, so a snapshot is due every 50 records.
        let config = PartitionConfig {
            retention: Duration::from_secs(20),
            ..config()
        };
        let old = spawn_with(&log, "a", true, config);
        wait_for_epoch(&old).await;
        let program = program_id(1, 1);
        old.commit(vec![created(program)]).await.unwrap();
        add_turns(&old, program, 500).await;
        let first_kept = log.lock().records.len() as Offset - 200;
        expect_that!(old.with_state(PartitionState::root), gt(first_kept));
        log.trim(first_kept);
        let new = spawn(&log, "b", false);
        wait_for_epoch(&new).await;
        let expected: Vec<String> = (0..500).map(|index| format!("turn {index}")).collect();
        expect_that!(texts(&new, program).await, eq(&expected));
        let by_key = new.with_state(|state| {
            let key = format!("key-{program}");
            let found = state.program_by_key(&"matching".to_owned(), &"saa".to_owned(), &key);
            found.map(|p| p.program)
        });
        expect_that!(by_key, some(eq(program)));
        expect_that!(new.with_state(|state| state.ignored_entries()), eq(0));
    });
}
