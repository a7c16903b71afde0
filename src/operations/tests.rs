//! Tests with the recorders of several entries against the log stand-in.

use super::{Operations, OperationsConfig};
use crate::adapter::HttpLog;
use crate::configuration::ConfigurationCell;
use crate::protocol::configuration::{ConfigurationImage, EnvironmentImage, Stage};
use crate::protocol::operations::EventKind;
use crate::protocol::refusal::RefusalCode;
use crate::standin::{LogConfig, LogControl, LogStandin, Outage};
use crate::state::burn::{BurnReport, BurnWindow, Measure};
use futures_lite::future::block_on;
use googletest::prelude::*;
use smol::{Task, Timer};
use std::time::{Duration, Instant};

/// Time limit for a condition that a test waits for.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn configuration() -> ConfigurationCell {
    let document = format!(
        "[environment]\nname = shop\n[member m]\ntoken_hash = {}\n\
         [objectives]\nprogram_latency_ms = 1000\n",
        "1".repeat(64)
    );
    let cell = ConfigurationCell::default();
    cell.adopt(&ConfigurationImage {
        version: 1,
        environments: vec![EnvironmentImage {
            name: "shop".to_string(),
            version: 1,
            stage: Stage::Trial,
            retired: false,
            document,
            changes: Vec::new(),
        }],
    });
    cell
}

fn start(log: &LogStandin, node: &str, retention_ms: u64) -> (Operations<HttpLog>, Task<()>) {
    let config = OperationsConfig {
        node: node.to_string(),
        incarnation: 1,
        flush_interval: Duration::from_millis(20),
        retention_ms,
    };
    let client = HttpLog::new(&log.url(), Duration::from_secs(2));
    let operations = Operations::new(config, client, configuration());
    let task = smol::spawn(operations.clone().run());
    (operations, task)
}

fn programs(report: &BurnReport) -> (u64, u64) {
    let line = report
        .lines
        .iter()
        .find(|line| line.client_account.is_none() && line.measure == Measure::Success);
    let count = line.unwrap().window(BurnWindow::Days3);
    (count.bad, count.total)
}

async fn wait_for(
    operations: &Operations<HttpLog>,
    condition: impl Fn(&BurnReport) -> bool,
) -> bool {
    let deadline = Instant::now() + WAIT_LIMIT;
    while Instant::now() < deadline {
        if condition(&operations.report()) {
            return true;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    false
}

#[gtest]
fn entries_report_the_counts_of_all_entries_and_of_earlier_runs() {
    block_on(async {
        let log = LogStandin::start(LogConfig::default()).await.unwrap();
        let (one, task_one) = start(&log, "e1", 3_600_000);
        let (two, task_two) = start(&log, "e2", 3_600_000);
        for number in 0..30 {
            let recorder = if number % 2 == 0 { &one } else { &two };
            recorder.record_program_end("shop", "m", Duration::from_millis(50), number % 10 != 0);
            Timer::after(Duration::from_millis(5)).await;
        }
        one.record_event(EventKind::LogDown);
        two.record_refusal("shop", RefusalCode::Overloaded);
        for recorder in [&one, &two] {
            expect_that!(
                wait_for(recorder, |r| programs(r) == (3, 30)).await,
                eq(true)
            );
            expect_that!(wait_for(recorder, |r| r.events.len() == 2).await, eq(true));
        }
        one.flush().await;
        two.flush().await;
        drop((task_one, task_two, one, two));
        let (late, _task) = start(&log, "e3", 3_600_000);
        expect_that!(wait_for(&late, |r| programs(r) == (3, 30)).await, eq(true));
        expect_that!(late.report().events.len(), eq(2));
    });
}

/// The log stores half of the appends without a response, so the recorder sends them again. Guards
/// against counting the repeated records twice.
#[gtest]
fn lost_append_responses_do_not_count_twice() {
    block_on(async {
        let log = LogStandin::start(LogConfig::default()).await.unwrap();
        log.control(LogControl {
            lose_answer_share: Some(0.5),
            ..LogControl::default()
        })
        .await;
        let (one, _task) = start(&log, "e1", 3_600_000);
        let (two, _other) = start(&log, "e2", 3_600_000);
        for _ in 0..20 {
            one.record_program_end("shop", "m", Duration::from_millis(50), true);
            Timer::after(Duration::from_millis(20)).await;
        }
        expect_that!(wait_for(&two, |r| programs(r) == (0, 20)).await, eq(true));
        Timer::after(Duration::from_millis(200)).await;
        expect_that!(programs(&two.report()), eq((0, 20)));
        expect_that!(programs(&one.report()), eq((0, 20)));
    });
}

#[gtest]
fn a_log_outage_is_recorded_and_loses_no_counts() {
    block_on(async {
        let log = LogStandin::start(LogConfig::default()).await.unwrap();
        let (one, _task) = start(&log, "e1", 3_600_000);
        let (two, _other) = start(&log, "e2", 3_600_000);
        expect_that!(wait_for(&one, |_| true).await, eq(true));
        log.control(LogControl {
            outage: Some(Outage::Refuse),
            outage_ms: Some(3_000),
            ..LogControl::default()
        })
        .await;
        one.record_program_end("shop", "m", Duration::from_millis(50), true);
        expect_that!(programs(&one.report()), eq((0, 1)));
        expect_that!(wait_for(&two, |r| programs(r) == (0, 1)).await, eq(true));
        let is_up = |report: &BurnReport| {
            let ups = report
                .events
                .iter()
                .filter(|e| matches!(e.kind, EventKind::LogUp { .. }));
            ups.count() == 2
        };
        expect_that!(wait_for(&two, is_up).await, eq(true));
    });
}

/// Trims the log at the newest checkpoint. Guards against counts that only the trimmed records held.
#[gtest]
fn a_checkpoint_preserves_counts_when_the_log_is_trimmed() {
    block_on(async {
        let log = LogStandin::start(LogConfig::default()).await.unwrap();
        let (one, task) = start(&log, "e1", 4);
        for _ in 0..10 {
            one.record_program_end("shop", "m", Duration::from_millis(50), true);
            Timer::after(Duration::from_millis(30)).await;
        }
        let deadline = Instant::now() + WAIT_LIMIT;
        while one.folded_programs() < 10 && Instant::now() < deadline {
            Timer::after(Duration::from_millis(10)).await;
        }
        let last_update = log
            .records("operations")
            .last()
            .map_or(0, |record| record.offset);
        while one.checkpoint_offset() <= last_update && Instant::now() < deadline {
            Timer::after(Duration::from_millis(10)).await;
        }
        let root = one.checkpoint_offset();
        expect_that!(root, gt(last_update));
        drop(task);
        log.trim("operations", root);
        let (late, _task) = start(&log, "e2", 3_600_000);
        expect_that!(wait_for(&late, |r| programs(r) == (0, 10)).await, eq(true));
    });
}

impl Operations<HttpLog> {
    /// Returns the number of programs counted in the log.
    fn folded_programs(&self) -> u64 {
        let tail = super::lock(&self.0.tail);
        let minutes = tail.fold.table().minutes();
        minutes
            .iter()
            .map(|slot_cell| slot_cell.cell.programs)
            .sum()
    }

    fn checkpoint_offset(&self) -> u64 {
        let tail = super::lock(&self.0.tail);
        tail.fold
            .referenced_checkpoint()
            .map_or(0, |checkpoint| checkpoint.offset)
    }
}
