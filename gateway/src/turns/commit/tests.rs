use super::queue::{CommitQueue, MAX_APPEND_RECORDS};
use super::{AppendLatency, MAX_FIRST_TIMEOUT, MIN_FIRST_TIMEOUT};
use futures_lite::future;
use googletest::prelude::*;
use smol::Timer;
use std::time::{Duration, Instant};

#[googletest::test]
fn fast_appends_give_the_minimum_timeout() {
    let mut latency = AppendLatency::new();
    for _ in 0..30 {
        latency.record(Duration::from_millis(12));
    }
    expect_that!(latency.timeout(), eq(MIN_FIRST_TIMEOUT));
}

#[googletest::test]
fn slow_appends_give_the_maximum_timeout() {
    let mut latency = AppendLatency::new();
    for _ in 0..30 {
        latency.record(Duration::from_millis(12));
    }
    for _ in 0..3 {
        latency.record(Duration::from_millis(400));
    }
    expect_that!(latency.timeout(), eq(MAX_FIRST_TIMEOUT));
}

const LONG_DELAY: Duration = Duration::from_secs(60);

fn push(queue: &CommitQueue, key: &str, delay: Duration) {
    queue.push(key.to_owned(), Some(Vec::new()), delay, None);
}

fn next_keys(queue: &CommitQueue) -> Vec<String> {
    let batch = smol::block_on(queue.next_batch());
    batch.into_iter().map(|record| record.key).collect()
}

#[googletest::test]
fn delayed_records_join_an_urgent_one_in_order() {
    let queue = CommitQueue::default();
    push(&queue, "reserved", LONG_DELAY);
    push(&queue, "completed", Duration::ZERO);
    push(&queue, "settled", LONG_DELAY);
    expect_that!(next_keys(&queue), eq(&["reserved", "completed", "settled"]));
    expect_that!(queue.is_empty(), eq(true));
}

#[googletest::test]
fn a_delayed_record_is_sent_when_its_delay_expires() {
    let queue = CommitQueue::default();
    let delay = Duration::from_millis(30);
    let pushed_at = Instant::now();
    push(&queue, "reserved", delay);
    push(&queue, "settled", LONG_DELAY);
    expect_that!(next_keys(&queue).len(), eq(2));
    expect_that!(pushed_at.elapsed(), ge(delay));
}

#[googletest::test]
fn an_urgent_record_ends_the_delay_of_others() {
    let queue = CommitQueue::default();
    push(&queue, "reserved", LONG_DELAY);
    let add_urgent = async {
        Timer::after(Duration::from_millis(5)).await;
        push(&queue, "completed", Duration::ZERO);
        std::future::pending().await
    };
    let batch = smol::block_on(future::or(queue.next_batch(), add_urgent));
    expect_that!(batch.len(), eq(2));
}

#[googletest::test]
fn records_beyond_the_append_limit_go_into_the_next_batch() {
    let queue = CommitQueue::default();
    for _ in 0..=MAX_APPEND_RECORDS {
        push(&queue, "completed", Duration::ZERO);
    }
    expect_that!(next_keys(&queue).len(), eq(MAX_APPEND_RECORDS));
    expect_that!(next_keys(&queue).len(), eq(1));
}
