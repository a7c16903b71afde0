use super::{ConfigurationTail, Propagation, PropagationAction};
use crate::ids::Offset;
use crate::protocol::configuration::{Change, ChangeAction, ConfigurationRecord};
use crate::protocol::log::{LogError, LogPage, LogRecord};
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// A stream whose first records may be trimmed.
struct Stream {
    records: Vec<LogRecord>,
    first: Offset,
    next: Offset,
}

impl Stream {
    fn new() -> Self {
        Self {
            records: Vec::new(),
            first: 1,
            next: 1,
        }
    }

    fn append(&mut self, at_ms: u64, record: &ConfigurationRecord) {
        let mut data = Vec::new();
        ciborium::into_writer(record, &mut data).unwrap();
        self.records.push(LogRecord {
            offset: self.next,
            at_ms,
            data,
        });
        self.next += 1;
    }

    fn trim(&mut self, first: Offset) {
        self.first = first;
        self.records.retain(|record| record.offset >= first);
    }

    /// Reads at most two records, so that pages end before the end of the stream.
    fn read(&self, from: Offset) -> std::result::Result<LogPage, LogError> {
        if from < self.first {
            return Err(LogError::Trimmed { first: self.first });
        }
        let records = self.records.iter().filter(|record| record.offset >= from);
        Ok(LogPage {
            records: records.take(2).cloned().collect(),
            first: self.first,
            next: self.next,
        })
    }

    fn drive(&self, tail: &mut ConfigurationTail, reads: usize) {
        for _ in 0..reads {
            match self.read(tail.next_read().from) {
                Ok(page) => {
                    tail.on_page(&page);
                }
                Err(error) => tail.on_error(&error),
            }
        }
    }
}

fn change(expects: Offset, root: Offset) -> ConfigurationRecord {
    ConfigurationRecord::Change(Change {
        environment: "a".to_string(),
        expects,
        operator: "ops".to_string(),
        key: expects.to_string(),
        at_ms: 0,
        root,
        action: ChangeAction::Apply {
            document: format!("[environment]\nname = a\n# {expects}\n"),
        },
    })
}

fn new_tail() -> ConfigurationTail {
    ConfigurationTail::new(fastrand::Rng::with_seed(1))
}

const RETENTION_MS: u64 = 1_000;

/// Lets a node write checkpoints until none is due.
fn write_checkpoints(tail: &mut ConfigurationTail, stream: &mut Stream, now_ms: u64) {
    for _ in 0..200 {
        if let Some(record) = tail.checkpoint_if_due(now_ms, RETENTION_MS) {
            stream.append(now_ms, &record);
        }
        stream.drive(tail, 2);
    }
}

#[gtest]
fn a_new_stream_is_read_from_its_first_record() {
    let mut stream = Stream::new();
    stream.append(0, &change(0, 0));
    stream.append(0, &change(1, 0));
    stream.append(0, &change(2, 0));
    let mut tail = new_tail();
    expect_that!(tail.is_ready(), eq(false));
    stream.drive(&mut tail, 3);
    expect_that!(tail.is_ready(), eq(true));
    expect_that!(tail.fold().current().version(), eq(3));
}

#[gtest]
fn checkpoints_survive_trimming() {
    let mut stream = Stream::new();
    let mut writer = new_tail();
    stream.append(0, &change(0, 0));
    stream.drive(&mut writer, 2);
    for round in 1..20 {
        let now_ms = round * 300;
        write_checkpoints(&mut writer, &mut stream, now_ms);
        let kept = stream
            .records
            .iter()
            .find(|r| r.at_ms + RETENTION_MS >= now_ms);
        let first = kept.map_or(stream.next, |record| record.offset);
        stream.trim(first);
        let mut late = new_tail();
        stream.drive(&mut late, 40);
        expect_that!(late.fold().current().version(), eq(1), "round {round}");
    }
    expect_that!(stream.first, gt(1));
    // Allows for at most two checkpoints per quarter of the retention.
    expect_that!(stream.next, lt(60));
}

#[gtest]
fn a_root_far_from_the_end_is_found() {
    let mut stream = Stream::new();
    let mut writer = new_tail();
    stream.append(0, &change(0, 0));
    stream.drive(&mut writer, 2);
    write_checkpoints(&mut writer, &mut stream, 300);
    let root = writer.fold().root();
    stream.append(300, &change(1, root));
    for _ in 0..500 {
        stream.append(300, &change(1, 0));
    }
    stream.trim(2);
    let mut late = new_tail();
    stream.drive(&mut late, 2_000);
    expect_that!(
        late.fold().current().image(),
        eq(&{
            stream.drive(&mut writer, 2_000);
            writer.fold().current().image().clone()
        })
    );
}

#[gtest]
fn without_a_root_another_nodes_configuration_is_adopted() {
    let mut stream = Stream::new();
    let mut writer = new_tail();
    stream.append(0, &change(0, 0));
    stream.append(0, &change(1, 0));
    stream.drive(&mut writer, 2);
    stream.trim(3);
    let mut late = new_tail();
    stream.drive(&mut late, 30);
    expect_that!(late.is_ready(), eq(false));
    let image = writer.fold().current().image().clone();
    expect_that!(late.adopt(&image, writer.fold().next()), eq(true));
    stream.append(0, &change(2, 0));
    stream.drive(&mut late, 3);
    stream.drive(&mut writer, 3);
    expect_that!(late.fold().current().version(), eq(3));
    expect_that!(writer.fold().current().version(), eq(3));
}

#[gtest]
fn an_image_from_before_the_gap_does_not_end_the_search() {
    let mut stream = Stream::new();
    let mut old = new_tail();
    stream.append(0, &change(0, 0));
    stream.drive(&mut old, 2);
    let image = old.fold().current().image().clone();
    let next = old.fold().next();
    stream.append(0, &change(1, 0));
    stream.append(0, &change(2, 0));
    stream.trim(3);
    let mut late = new_tail();
    stream.drive(&mut late, 4);
    late.adopt(&image, next);
    stream.drive(&mut late, 30);
    // The change at offset 3 must not be evaluated without the one at offset 2.
    expect_that!(late.fold().current().version(), eq(1));
}

#[gtest]
fn a_failed_read_is_retried_after_a_pause() {
    let mut tail = new_tail();
    tail.on_error(&LogError::Unavailable("down".to_string()));
    expect_that!(tail.next_read().pause, gt(Duration::ZERO));
    expect_that!(tail.next_read().from, eq(1));
}

#[gtest]
fn nodes_with_lower_versions_get_an_offer_and_higher_ones_are_fetched_from() {
    let now = Instant::now();
    let mut propagation = Propagation::default();
    propagation.on_peer_version("low", 3, now);
    propagation.on_peer_version("high", 9, now);
    propagation.on_peer_version("same", 5, now);
    propagation.on_version(5, now, |_| 0);
    let mut due = propagation.take_due(now);
    due.sort_by_key(|action| format!("{action:?}"));
    expect_that!(
        due,
        eq(&vec![
            PropagationAction::Fetch("high".to_string()),
            PropagationAction::Offer("low".to_string())
        ])
    );
    expect_that!(propagation.take_due(now), is_empty());
    propagation.on_transfer_done("low", Some(5), now);
    expect_that!(propagation.take_due(now), is_empty());
    expect_that!(propagation.count_at_version(5, |_| true), eq(3));
}

#[gtest]
fn a_failed_offer_is_retried_later() {
    let now = Instant::now();
    let mut propagation = Propagation::default();
    propagation.on_peer_version("n", 0, now);
    propagation.on_version(5, now, |_| 0);
    expect_that!(propagation.take_due(now).len(), eq(1));
    propagation.on_transfer_done("n", None, now);
    expect_that!(propagation.take_due(now), is_empty());
    expect_that!(
        propagation.take_due(now + Duration::from_secs(3)).len(),
        eq(1)
    );
}

#[gtest]
fn an_entry_of_lower_rank_delays_its_offer() {
    let now = Instant::now();
    let mut propagation = Propagation::default();
    propagation.on_peer_version("n", 0, now);
    propagation.on_version(5, now, |_| 2);
    expect_that!(propagation.take_due(now), is_empty());
    propagation.on_peer_version("n", 5, now);
    expect_that!(
        propagation.take_due(now + Duration::from_secs(3)),
        is_empty()
    );
}
