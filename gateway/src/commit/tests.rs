use super::queue::{CommitQueue, MAX_APPEND_RECORDS};
use super::{AppendLatency, MAX_FIRST_TIMEOUT, MIN_FIRST_TIMEOUT};
use futures_lite::future;
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

#[googletest::test]
fn a_lost_answer_is_noticed_soon_where_appends_are_quick() {
    let mut latency = AppendLatency::new();
    for _ in 0..30 {
        latency.record(Duration::from_millis(12));
    }
    expect_that!(latency.timeout(), eq(MIN_FIRST_TIMEOUT));
}

#[googletest::test]
fn a_slow_store_is_given_time() {
    let mut latency = AppendLatency::new();
    for _ in 0..30 {
        latency.record(Duration::from_millis(12));
    }
    for _ in 0..3 {
        latency.record(Duration::from_millis(400));
    }
    expect_that!(latency.timeout(), eq(MAX_FIRST_TIMEOUT));
}

const LONG: Duration = Duration::from_secs(60);

fn push(queue: &CommitQueue, key: &str, delay: Duration) {
    queue.push(key.to_owned(), Some(Vec::new()), delay, None);
}

fn next_keys(queue: &CommitQueue) -> Vec<String> {
    let batch = smol::block_on(queue.next_batch());
    batch.into_iter().map(|record| record.key).collect()
}

#[googletest::test]
fn records_that_may_wait_go_with_one_that_must_not_and_in_order() {
    let queue = CommitQueue::default();
    push(&queue, "reserved", LONG);
    push(&queue, "kept", Duration::ZERO);
    push(&queue, "ended", LONG);
    expect_that!(next_keys(&queue), eq(&["reserved", "kept", "ended"]));
    expect_that!(queue.is_empty(), eq(true));
}

#[googletest::test]
fn a_record_waits_no_longer_than_it_may() {
    let queue = CommitQueue::default();
    let delay = Duration::from_millis(30);
    let pushed_at = Instant::now();
    push(&queue, "reserved", delay);
    push(&queue, "settled", LONG);
    expect_that!(next_keys(&queue).len(), eq(2));
    expect_that!(pushed_at.elapsed(), ge(delay));
}

#[googletest::test]
fn a_record_that_must_not_wait_ends_the_wait_of_others() {
    let queue = CommitQueue::default();
    push(&queue, "reserved", LONG);
    let hurry = async {
        Timer::after(Duration::from_millis(5)).await;
        push(&queue, "kept", Duration::ZERO);
        std::future::pending().await
    };
    let batch = smol::block_on(future::or(queue.next_batch(), hurry));
    expect_that!(batch.len(), eq(2));
}

#[googletest::test]
fn what_one_append_does_not_hold_goes_with_the_next() {
    let queue = CommitQueue::default();
    for _ in 0..=MAX_APPEND_RECORDS {
        push(&queue, "kept", Duration::ZERO);
    }
    expect_that!(next_keys(&queue).len(), eq(MAX_APPEND_RECORDS));
    expect_that!(next_keys(&queue).len(), eq(1));
}
